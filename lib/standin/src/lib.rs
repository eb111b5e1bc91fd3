//! Test doubles ("stand-ins") for the systems that mothvale talks to: model engines, store
//! hosts, the table service, object stores and a booking service.
//!
//! Each one is an HTTP server on a real socket that keeps its state in memory. [`dev`]
//! starts them together with mothvale hosts in one process.

pub mod booking;
pub mod dev;
pub mod engine;
pub mod objects;
pub mod server;
pub mod store;
pub mod table;
