//! A simulated file system that loses power, and random writes whose outcome is checked.

pub mod disk;
pub mod writes;
