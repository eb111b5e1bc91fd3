//! Splits limits over the hosts without communication: each host computes its own share.

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
    share + u32::from(hosts_ahead("cold", key, me, hosts) < remainder as usize)
}

/// A host's share of a rate limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateShare {
    /// Requests per second.
    pub per_second: f64,
    /// Requests that the host may send at once after a while without any.
    pub burst: f64,
}

/// Returns the share of host `me` in a limit of `per_second` requests that an upstream, which `key`
/// names, takes from all hosts together, or `None` if it has none. `total_burst` is what all hosts
/// together may send at once in addition.
///
/// As many hosts have a share as can each send one request at once; those rank first for `key`. On
/// more hosts, single requests sent at the same time would add up to more than the upstream takes.
pub fn rate_share(
    per_second: f64,
    total_burst: f64,
    key: &str,
    me: &Host,
    hosts: &[Host],
) -> Option<RateShare> {
    let holders = (total_burst as usize).clamp(1, hosts.len().max(1));
    let has_share = holders >= hosts.len() || hosts_ahead("rate", key, me, hosts) < holders;
    let part = 1.0 / holders as f64;
    has_share.then_some(RateShare { per_second: per_second * part, burst: total_burst * part })
}

/// Returns how many hosts rank before `me` for a key; `purpose` keeps the rankings of different limits
/// apart.
fn hosts_ahead(purpose: &str, key: &str, me: &Host, hosts: &[Host]) -> usize {
    let key = rendezvous::hash_parts(&[purpose, key]);
    let my_weight = rendezvous::weight(key, me.as_str());
    let others = hosts.iter().filter(|it| *it != me);
    others.filter(|it| rendezvous::weight(key, it.as_str()) > my_weight).count()
}
