//! What the gateways of a fleet share through the leader of the control group.
//!
//! Each gateway sends a report several times a second: what it serves, what it spent of quotas
//! and retry budgets, how busy it keeps which server. The leader adds them up in its
//! [`ledger::Ledger`] and answers with the sums over all others, and with a newer document or
//! list of servers. A gateway that gets no answer goes on with what it knows, and spends only its
//! share.

pub mod budget;
pub mod ledger;
pub mod message;
pub mod quota;
pub mod window;
