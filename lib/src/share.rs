//! Splits a limit over the hosts without communication: each host computes its own share.

use crate::{name::Host, rendezvous};

/// Returns the share of host `me` in a limit on a cold upstream, which `key` names. The remainder
/// of the division goes to the hosts that rank first for `key`, so that the shares add up to the
/// limit if all hosts have the same list.
pub fn host_share(limit: u32, key: &str, me: &Host, hosts: &[Host]) -> u32 {
    let count = hosts.len().max(1) as u32;
    let (share, remainder) = (limit / count, limit % count);
    if remainder == 0 {
        return share;
    }
    let key = rendezvous::hash_parts(&["cold", key]);
    let my_weight = rendezvous::weight(key, me.as_str());
    let others = hosts.iter().filter(|it| *it != me);
    let ahead = others.filter(|it| rendezvous::weight(key, it.as_str()) > my_weight).count() as u32;
    share + u32::from(ahead < remainder)
}
