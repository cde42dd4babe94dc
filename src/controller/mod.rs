//! Controllers: state machines that decide without I/O.
//!
//! Each takes the time and a message and returns what is to be done. None reads a clock, a socket
//! or a random source, so that randomised tests run millions of steps of the same code.

pub mod entries;
pub mod freshness;
pub mod limiter;
pub mod membership;
pub mod outlier;
pub mod ownership;
pub mod quarantine;
pub mod scheduler;
