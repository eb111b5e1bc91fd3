//! Removes hop-by-hop header fields, which concern one connection only and are not forwarded.

use http::{HeaderMap, HeaderName, header};

use crate::prelude::*;

/// Header fields that are not forwarded, whatever `Connection` names.
const NOT_FORWARDED: [HeaderName; 10] = [
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

/// Returns a copy without hop-by-hop fields, including those that `Connection` names. The
/// content length is left out as well: it is set again when the body is sent.
pub fn strip(headers: &HeaderMap) -> HeaderMap {
    let named: SmallVec<[HeaderName; 2]> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|it| it.to_str().ok())
        .flat_map(|it| it.split(','))
        .filter_map(|it| it.trim().parse().ok())
        .collect();
    // Leaves room for the fields that the gateway adds.
    let mut kept = HeaderMap::with_capacity(headers.len() + 8);
    for (name, value) in headers {
        if !NOT_FORWARDED.contains(name) && !named.contains(name) {
            kept.append(name, value.clone());
        }
    }
    kept
}
