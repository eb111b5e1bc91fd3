//! x.
fn main() {}
