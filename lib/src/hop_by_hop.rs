//! Header fields that concern one connection only and are not passed on.

use http::{HeaderMap, HeaderName, header};

use crate::prelude::*;

const FIELDS: [HeaderName; 10] = [
    header::CONNECTION,
    header::CONTENT_LENGTH,
    header::EXPECT,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    HeaderName::from_static("keep-alive"),
];

/// Returns a copy without the fields of one connection, those that `Connection` names
/// included. The length is left out as well; whoever sends the body writes it anew.
pub fn strip(headers: &HeaderMap) -> HeaderMap {
    let named: SmallVec<[HeaderName; 2]> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|it| it.to_str().ok())
        .flat_map(|it| it.split(','))
        .filter_map(|it| it.trim().parse().ok())
        .collect();
    let mut kept = HeaderMap::with_capacity(headers.len() + 8);
    for (name, value) in headers {
        if !FIELDS.contains(name) && !named.contains(name) {
            kept.append(name, value.clone());
        }
    }
    kept
}
