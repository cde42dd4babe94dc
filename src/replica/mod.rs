//! The replicated log of the control group: a Raft core, its storage, and the tasks that run a
//! member.

pub mod core;
pub mod group;
pub mod storage;

pub use group::Group;
