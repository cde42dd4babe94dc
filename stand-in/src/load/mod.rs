//! The load tool: seeded open-loop callers against running gateways, and reports on the results.

pub mod arrival;
pub mod caller;
pub mod case;
pub mod cluster;
pub mod compare;
pub mod entries;
pub mod fairness;
pub mod ideal;
pub mod plan;
pub mod plot;
pub mod policy;
pub mod record;
pub mod report;
pub mod run;
pub mod soak;
