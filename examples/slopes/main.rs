//! Measures the slopes behind `docs/CAPACITY.md`: `cargo run --release --example slopes`.

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
