//! Small stand-ins for the outside systems, over real sockets.

pub mod dev;
pub mod engine;
pub mod objects;
pub mod server;
pub mod service;
pub mod store;
pub mod table;
