//! A simulated model engine for tests. docs/ENGINES.md describes its interface.

pub mod cache;
pub mod decode;
pub mod export;
pub mod link;
pub mod load;
pub mod machine;
pub mod prefill;
pub mod refusal;
pub mod request;
pub mod server;
pub mod settings;
pub mod stream;
pub mod text;
pub mod totals;
pub mod transfer;
