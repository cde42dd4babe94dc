//! End-to-end tests with real processes: the caller interface, failures, and replacing a control
//! member. Build the daemons first with `cargo build --workspace --bins`, as `./test` does.

mod contract;
mod failure;
mod members;
mod support;
