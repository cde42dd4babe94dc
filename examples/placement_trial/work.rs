//! What callers ask for: seeded arrivals, prompts, outputs and shared prefixes.

use rand::Rng as _;
use rand::SeedableRng as _;

/// The tokens of one piece of a prompt that the prefix cache keeps.
pub const PIECE: u64 = 4_096;

/// The parts of the demand, and the weights, of the five client accounts.
pub const SHARES: [u32; 5] = [35, 30, 20, 10, 5];

/// The shared prompt beginnings of each account.
const PREFIXES: u64 = 6;

/// One request of the open-loop callers.
#[derive(Clone, Debug)]
pub struct Work {
    pub at: u64,
    pub account: usize,
    pub prompt: u64,
    pub output: u64,
    pub prefix: Vec<u64>,
}

/// Draws the arrivals of `millis` at a mean `rate` a second; one account may ask for a multiple.
pub fn draw(seed: u64, millis: u64, rate: f64, flood: Option<(usize, f64)>) -> Vec<Work> {
    let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
    let mut all = Vec::new();
    for (account, share) in SHARES.iter().enumerate() {
        let times = match flood {
            Some((flooding, times)) if flooding == account => times,
            _ => 1.0,
        };
        let per_milli = rate * times * f64::from(*share) / 100.0 / 1000.0;
        let mut at = 0.0;
        loop {
            at += -(1.0 - rng.random::<f64>()).ln() / per_milli;
            if at >= millis as f64 {
                break;
            }
            all.push(one(&mut rng, at as u64, account));
        }
    }
    all.sort_by_key(|work| (work.at, work.account));
    all
}

fn one(rng: &mut rand_chacha::ChaCha8Rng, at: u64, account: usize) -> Work {
    let own = log_normal(rng, 600.0, 1.2).clamp(32.0, 12_000.0) as u64;
    let output = log_normal(rng, 150.0, 0.7).clamp(8.0, 800.0) as u64;
    let mut prefix = Vec::new();
    if rng.random_bool(0.3) {
        let shared = rng.random_range(0..PREFIXES);
        let pieces = 1 + shared % 2;
        prefix = (0..pieces)
            .map(|n| digest(account as u64, shared, n))
            .collect();
    }
    let prompt = own + prefix.len() as u64 * PIECE;
    while (prefix.len() as u64 + 1) * PIECE <= prompt {
        prefix.push(rng.random());
    }
    Work {
        at,
        account,
        prompt,
        output,
        prefix,
    }
}

fn digest(account: u64, shared: u64, piece: u64) -> u64 {
    let mixed = (account << 32 | shared << 16 | piece) + 1;
    mixed.wrapping_mul(0x9e37_79b9_7f4a_7c15)
}

fn log_normal(rng: &mut rand_chacha::ChaCha8Rng, median: f64, sigma: f64) -> f64 {
    let radius = (-2.0 * (1.0 - rng.random::<f64>()).ln()).sqrt();
    let normal = radius * (std::f64::consts::TAU * rng.random::<f64>()).cos();
    median * (sigma * normal).exp()
}
