//! The router daemon: forwards callers' requests as the deployment's document says.
//!
//! A platform's messages are encoded and decoded by a [`protocol::Codec`]; this module works with
//! types of this crate.

pub mod arrivals;
pub mod availability;
mod backend;
pub mod balancer;
mod call;
pub mod core;
pub mod departures;
pub mod directory;
pub mod discovery;
pub mod event_reader;
pub mod events;
mod forward;
pub mod generate;
mod headroom;
mod helper;
pub mod helpers;
pub mod http_server;
pub mod in_flight;
mod limited;
mod origin_gate;
pub mod origins;
pub mod output;
mod path_changes;
pub mod paths;
pub mod permits;
pub mod plain;
pub mod prefill;
mod probes;
pub mod protocol;
pub mod relay;
pub mod reporting;
pub mod request;
pub mod reserve;
pub mod retries;
pub mod retry_after;
mod retry_gate;
pub mod run;
pub mod run_gate;
pub mod scrape;
pub mod sequence;
mod server_check;
pub mod suspects;
pub mod table;
pub mod upstream;
pub mod warmth;

pub use run::run;
