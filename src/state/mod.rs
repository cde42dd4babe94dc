//! The replicated state: configuration, operator requests and order claims.

pub mod change;
pub mod command;
pub mod model;
