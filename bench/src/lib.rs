//! Parts of the benchmark program that tests use as well.

pub mod soak;
