//! Small stand-ins for the outside systems, over real sockets.

pub mod booking;
pub mod dev;
pub mod engine;
pub mod objects;
pub mod server;
pub mod store;
pub mod table;
