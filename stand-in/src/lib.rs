//! Stand-ins for model engines, plain services, the platform and the weight store, and a load tool.

pub mod client;
pub mod connection;
pub mod engine;
pub mod fault;
pub mod load;
pub mod plain;
pub mod platform;
pub mod ports;
pub mod process;
pub mod server;
pub mod shutdown;
pub mod weights;
pub mod wire;
