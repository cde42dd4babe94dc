//! The replicated state: configuration, operators' requests and claims of non-idempotent calls.

pub mod audit;
pub mod change;
pub mod check;
pub mod claim;
pub mod command;
pub mod model;
pub mod operation;
pub mod subject;
