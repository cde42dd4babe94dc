//! Small stand-ins for model engines, plain services and the platform.

pub mod client;
pub mod connection;
pub mod engine;
pub mod fault;
pub mod load;
pub mod plain;
pub mod platform;
pub mod process;
pub mod server;
pub mod shutdown;
pub mod weights;
pub mod wire;
