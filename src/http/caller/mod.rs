//! The interface towards callers: shapes of requests and answers.

pub mod answer;
pub mod chat;
