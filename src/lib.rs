//! A router between callers and backend servers: separate prefill and decode pools of
//! language-model engines, and plain HTTP services.
//!
//! The crate is a library with thin daemons. Decisions are made by state machines without I/O: they
//! take the current time and a message, and return the actions to take. [`gateway::run`] and
//! [`control::run`] drive them over sockets and disks.
//!
//! # Example
//!
//! A client account may use 100 tokens per second and 1,000 at once. The owner of its limiter
//! charges requests, and grants a request with a delay if enough tokens will be there within the
//! request's `max_wait`:
//!
//! ```
//! use buckthorncleat::clock;
//! use buckthorncleat::controller::limiter;
//! use buckthorncleat::id;
//! use buckthorncleat::sorted;
//! use buckthorncleat::state::model;
//! use buckthorncleat::unit;
//!
//! # fn main() -> buckthorncleat::Result<()> {
//! let account = model::ClientAccount {
//!     id: "chefs".parse()?,
//!     rate: unit::TokensPerSecond::new(100),
//!     burst: unit::Tokens::new(1_000),
//!     priority: model::Priority::Normal,
//!     weight: 1,
//! };
//! let id = account.id.clone();
//! let accounts: sorted::Map<_, _> = [(id.clone(), account)].into_iter().collect();
//!
//! let start = clock::Millis::ZERO;
//! let mut owner = limiter::Owner::new(start);
//! owner.configure(start, &accounts);
//! owner.start_account(start, &id);
//!
//! let charge = limiter::Request::Charge(limiter::Charge {
//!     request: id::RequestId::new(1),
//!     account: id,
//!     tokens: unit::Tokens::new(500),
//!     max_wait: clock::Millis::from_secs(1),
//! });
//! let later = clock::Millis::from_secs(60);
//! let granted = limiter::Reply::Granted { delay: clock::Millis::ZERO };
//! assert_eq!(owner.handle(later, &charge), granted);
//! # Ok(())
//! # }
//! ```
//!
//! docs/DESIGN.md explains the design, and docs/INVARIANTS.md lists the invariants.

mod macros;

pub mod backend;
pub mod cli;
pub mod clock;
pub mod config;
pub mod control;
pub mod controller;
pub mod daemon;
pub mod document;
pub mod error;
pub mod event;
pub mod explain;
pub mod filter;
pub mod fleet;
pub mod gateway;
pub mod http;
pub mod id;
pub mod keeper;
pub mod logging;
pub mod peer;
pub mod replica;
pub mod router;
pub mod sorted;
pub mod state;
pub mod tasks;
pub mod unit;

pub use error::{Category, Error, Result};
