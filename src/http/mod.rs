//! HTTP interfaces: completion and plain calls from callers, administration by operators.

pub mod admin;
pub mod allowance;
pub mod body;
pub mod caller;
pub mod hop;
pub mod memory;
pub mod outgoing;
pub mod progress;
pub mod status;
pub mod stop;
