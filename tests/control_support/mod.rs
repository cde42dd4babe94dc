//! Control processes on the loopback interface, and a writer that records acknowledged changes.

pub mod cluster;
pub mod operators;
#[path = "../../stand-in/src/ports.rs"]
mod ports;
pub mod writer;
