//! Controllers: state machines without I/O.
//!
//! Each takes the time and a message and returns the actions to take. None reads a clock, a socket
//! or a random source, so that randomised tests can run millions of steps of the same code.

pub mod entries;
pub mod freshness;
pub mod limiter;
pub mod membership;
pub mod outlier;
pub mod ownership;
pub mod quarantine;
pub mod scheduler;
