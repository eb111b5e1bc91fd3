//! Client of a host's admin API.

use std::{net::SocketAddr, time::Duration};

use http::Method;
use mothvale_lib::client::{Call, Client};

use crate::failure::Failure;

/// Timeout of a call, from connecting to the end of the response.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Returns the body of the response to `GET path` at a host's admin address.
///
/// # Errors
///
/// Returns an error when the call fails or its status is not a success.
pub fn get(admin: SocketAddr, path: &str) -> Result<String, Failure> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(Failure::failed)?;
    let call = Call::new(admin, Method::GET, path, CALL_TIMEOUT);
    let response = runtime.block_on(async { Client::unpooled().send_buffered(call).await });
    let response = response.map_err(|fault| Failure::failed(format!("{admin}: {fault}")))?;
    let text = String::from_utf8_lossy(response.body()).into_owned();
    if !response.status().is_success() {
        return Err(Failure::failed(format!("{admin}: {} {text}", response.status())));
    }
    Ok(text)
}
