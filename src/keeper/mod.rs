//! The keeper daemon: a member of the control group that stores the deployment's document, reads
//! the platform's server list, and adds up the reports of routers while it leads.

pub mod aggregator;
mod allowances;
pub mod evacuations;
mod level;
pub mod operators;
mod quarantine;
pub mod run;

pub use run::run;
