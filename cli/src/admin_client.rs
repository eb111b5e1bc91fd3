//! Questions to a host's operators' address.

use std::{net::SocketAddr, time::Duration};

use http::Method;
use mothvale_lib::client::{Call, Client};

use crate::failure::Failure;

const TIMEOUT: Duration = Duration::from_secs(5);

/// Returns the body of a successful answer.
pub fn get(admin: SocketAddr, path: &str) -> Result<String, Failure> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(Failure::failed)?;
    let call = Call::new(admin, Method::GET, path, TIMEOUT);
    let answer = runtime.block_on(async { Client::unpooled().send_buffered(call).await });
    let answer = answer.map_err(|fault| Failure::failed(format!("{admin}: {fault}")))?;
    let text = String::from_utf8_lossy(answer.body()).into_owned();
    if !answer.status().is_success() {
        return Err(Failure::failed(format!("{admin}: {} {text}", answer.status())));
    }
    Ok(text)
}
