//! The replicated state: configuration, operator requests and order claims.

pub mod audit;
pub mod change;
pub mod check;
pub mod claim;
pub mod command;
pub mod model;
pub mod operation;
pub mod subject;
