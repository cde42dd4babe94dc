//! Measures how the time and encoded size of internal operations grow with the size of a
//! deployment.
//!
//! `cargo run --release --example slopes`
//!
//! Runs each operation in this process and on one thread, without network or disk, over a series of
//! sizes, and prints the points with a least-squares line. `docs/CAPACITY.md` uses the slopes.

mod fit;
mod fleet;
mod limiter;
mod scheduler;
mod state;
mod wire;

fn main() {
    limiter::run();
    scheduler::run();
    state::run();
    wire::run();
}
