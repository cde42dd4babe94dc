//! The admin interface of a control group member: HTTP/1.1 with JSON bodies.

pub mod member;
pub mod read;
pub mod reply;
pub mod sample;
pub mod serve;
pub mod service;
pub mod target;
pub mod token;
pub mod wire;
pub mod write;

pub use serve::serve;
