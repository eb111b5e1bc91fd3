//! Helpers of the tests.

use std::sync::Once;

pub mod caller;
pub mod claims;
pub mod cluster;
pub mod gateway;

/// Makes broken invariants panic; every test that runs the program's own code calls this.
pub fn init() {
    static ONCE: Once = Once::new();
    ONCE.call_once(mothvale_lib::invariant::panic_on_violation);
}
