//! Token buckets of client accounts, counted over the whole fleet by one owner each.

pub mod bucket;
pub mod flows;
pub mod handover;
pub mod history;
pub mod level;
pub mod message;
pub mod owner;
pub mod places;
pub mod share;

pub use handover::HandOver;
pub use message::{Charge, Refund, Reply, Request};
pub use owner::Owner;
pub use share::StaticShare;
