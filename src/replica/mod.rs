//! The replicated log of the control group.

pub mod group;

pub use group::Group;
