//! The router daemon: forwards callers' requests by the deployment's document.
//!
//! How callers, servers and the platform speak is the matter of an [`protocol::Codec`]; this module
//! decides by the product's own types.

pub mod balancer;
pub mod core;
pub mod directory;
pub mod discovery;
pub mod events;
pub mod generate;
pub mod http_server;
pub mod in_flight;
pub mod output;
pub mod plain;
pub mod prefill;
pub mod protocol;
pub mod relay;
pub mod reporting;
pub mod request;
pub mod reserve;
pub mod retry_after;
pub mod run;
pub mod scrape;
pub mod table;
pub mod upstream;

pub use run::run;
