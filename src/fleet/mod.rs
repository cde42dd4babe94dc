//! State that the gateways of a fleet share through the leader of the control group.
//!
//! A gateway here is a process that runs [`crate::router`].
//!
//! Each gateway sends a report several times a second: its version of the configuration document,
//! its use of quotas and retry budgets, and its load on each server. The leader adds the reports up
//! in its [`ledger::Ledger`] and replies with a summary: the sums over the fleet, as changes against
//! the last summary where they are long, and a newer document or list of servers if there is one. A
//! gateway without a recent summary continues with its last known state and uses only its share of
//! each quota and budget.

pub mod allowance;
pub mod budget;
pub mod call_limit;
pub mod cold;
pub mod crashes;
pub mod evacuation;
pub mod failing;
pub mod forward;
pub mod known;
pub mod ledger;
pub mod listing;
pub mod message;
pub mod origin;
pub mod permit;
pub mod quota;
pub mod reach;
pub mod share;
pub mod totals;
pub mod upgrade;
pub mod window;
