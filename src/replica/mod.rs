//! The replicated log of the control group.

pub mod core;
pub mod group;
pub mod storage;

pub use group::Group;
