//! The HTTP interfaces towards callers and operators.

pub mod admin;
pub mod body;
pub mod caller;
pub mod hop;
