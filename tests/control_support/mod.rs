//! Real control processes on the loopback interface, and a writer that keeps the acknowledgements.

pub mod cluster;
pub mod operators;
pub mod writer;
