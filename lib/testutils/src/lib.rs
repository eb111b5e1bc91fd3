//! Helpers that tests and benchmarks share: clusters, callers, fixtures and a simulation of
//! claims.

use std::sync::Once;

pub mod caller;
pub mod claims;
pub mod cluster;
pub mod gateway;

/// Makes broken invariants panic in addition to being counted. Every test that runs production
/// code calls this.
pub fn init() {
    static ONCE: Once = Once::new();
    ONCE.call_once(mothvale_lib::invariant::panic_on_violation);
}
