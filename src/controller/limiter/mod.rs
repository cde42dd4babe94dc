//! Token buckets of client accounts, counted over the whole fleet by one owner each.

pub mod message;

pub use message::{Charge, Refund, Reply, Request};
