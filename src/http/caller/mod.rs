//! The interface to callers: formats of requests and responses.

pub mod answer;
pub mod chat;
