//! Splits a limit over the hosts without any message: each host works out its own part.

use crate::{name::Host, rendezvous};

/// Returns the part of `limit` that is `me`'s. The remainder goes to the hosts that rank
/// first for `key`, so that all parts add up to the limit when hosts know the same hosts.
pub fn host_share(limit: u32, key: &str, me: &Host, hosts: &[Host]) -> u32 {
    let count = hosts.len().max(1) as u32;
    let (part, rest) = (limit / count, limit % count);
    if rest == 0 {
        return part;
    }
    let key = rendezvous::hash_parts(&["cold", key]);
    let mine = rendezvous::weight(key, me.as_str());
    let others = hosts.iter().filter(|it| *it != me);
    let ahead = others.filter(|it| rendezvous::weight(key, it.as_str()) > mine).count() as u32;
    part + u32::from(ahead < rest)
}
