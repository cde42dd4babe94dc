//! A router between callers and separate prefill and decode pools, and the plain services beside
//! them.

mod macros;

pub mod backend;
pub mod cli;
pub mod clock;
pub mod config;
pub mod control;
pub mod controller;
pub mod daemon;
pub mod error;
pub mod event;
pub mod filter;
pub mod gateway;
pub mod http;
pub mod id;
pub mod logging;
pub mod peer;
pub mod replica;
pub mod sorted;
pub mod state;
pub mod unit;

pub use error::{Category, Error, Result};
