//! The whole path over real processes: its contract towards callers, and its promises under
//! failure. The daemons are built by `./test`.

mod contract;
mod failure;
mod members;
mod support;
