//! Rate limits of client accounts: token buckets, each kept by one owner for the whole fleet.

pub mod bucket;
pub mod handover;
pub mod history;
pub mod level;
pub mod message;
pub mod owner;
pub mod positions;
pub mod share;
pub mod transforms;

pub use handover::HandOver;
pub use message::{Charge, Refund, Reply, Request};
pub use owner::Owner;
pub use share::StaticShare;
