//! Measures the slopes behind `docs/CAPACITY.md`: `cargo run --release --example slopes`.

mod fit;
mod fleet;
mod limiter;
mod placing;
mod state;
mod wire;

fn main() {
    limiter::run();
    placing::run();
    state::run();
    wire::run();
}
