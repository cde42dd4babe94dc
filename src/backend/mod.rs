//! Clients of backend servers: model engines and plain services.

pub mod client;
pub mod engine;
pub mod prompt;
pub mod wire;
