//! The simulated workload: seeded arrival times, prompt and output lengths and shared prefixes.
//!
//! Arrivals of an account are a Poisson process. Prompt and output lengths are log-normal.

use rand::Rng as _;
use rand::SeedableRng as _;

/// Tokens of one piece: the unit in which the prefix cache stores prompts and engines reserve
/// memory.
pub const PIECE_TOKENS: u64 = 4_096;

/// Weights of the five client accounts. Each account's share of the arrivals, in per cent, is equal
/// to its weight.
pub const ACCOUNT_WEIGHTS: [u32; 5] = [35, 30, 20, 10, 5];

/// Number of prompt prefixes that requests of the same account share.
const SHARED_PREFIXES_PER_ACCOUNT: u64 = 6;

/// One request as its caller sends it.
#[derive(Clone, Debug)]
pub struct Request {
    /// Virtual time in milliseconds.
    pub arrived_at: u64,
    /// Index in [`ACCOUNT_WEIGHTS`].
    pub account: usize,
    /// Length of the prompt in tokens, with the shared prefix.
    pub prompt: u64,
    /// Tokens that the model generates for it.
    pub output: u64,
    /// Digests of the whole pieces of the prompt, in order.
    pub prefix: Vec<u64>,
}

/// Returns the requests that arrive within `duration_ms`, in order of arrival, at a mean total of
/// `rate` a second.
///
/// `flood` names an account and the factor by which its arrival rate is raised; the rates of the
/// other accounts stay.
pub fn generate(
    seed: u64,
    duration_ms: u64,
    rate: f64,
    flood: Option<(usize, f64)>,
) -> Vec<Request> {
    let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
    let mut requests = Vec::new();
    for (account, share) in ACCOUNT_WEIGHTS.iter().enumerate() {
        let factor = match flood {
            Some((flooding, factor)) if flooding == account => factor,
            _ => 1.0,
        };
        let per_ms = rate * factor * f64::from(*share) / 100.0 / 1000.0;
        let mut at = 0.0;
        loop {
            at += -(1.0 - rng.random::<f64>()).ln() / per_ms;
            if at >= duration_ms as f64 {
                break;
            }
            requests.push(draw_request(&mut rng, at as u64, account));
        }
    }
    requests.sort_by_key(|request| (request.arrived_at, request.account));
    requests
}

/// Draws one request. With probability 0.3 its prompt begins with a prefix, of one or two pieces,
/// that it shares with other requests of the account; the digests of all other pieces are random,
/// so that they match no other request.
fn draw_request(rng: &mut rand_chacha::ChaCha8Rng, arrived_at: u64, account: usize) -> Request {
    let unshared = log_normal(rng, 600.0, 1.2).clamp(32.0, 12_000.0) as u64;
    let output = log_normal(rng, 150.0, 0.7).clamp(8.0, 800.0) as u64;
    let mut prefix = Vec::new();
    if rng.random_bool(0.3) {
        let shared = rng.random_range(0..SHARED_PREFIXES_PER_ACCOUNT);
        let pieces = 1 + shared % 2;
        prefix = (0..pieces)
            .map(|n| piece_digest(account as u64, shared, n))
            .collect();
    }
    let prompt = unshared + prefix.len() as u64 * PIECE_TOKENS;
    while (prefix.len() as u64 + 1) * PIECE_TOKENS <= prompt {
        prefix.push(rng.random());
    }
    Request {
        arrived_at,
        account,
        prompt,
        output,
        prefix,
    }
}

/// Returns the digest of a piece of a shared prefix, the same for each request that has it.
fn piece_digest(account: u64, shared: u64, piece: u64) -> u64 {
    let mixed = (account << 32 | shared << 16 | piece) + 1;
    mixed.wrapping_mul(0x9e37_79b9_7f4a_7c15)
}

/// Draws from a log-normal distribution by the Box-Muller transform.
fn log_normal(rng: &mut rand_chacha::ChaCha8Rng, median: f64, sigma: f64) -> f64 {
    let radius = (-2.0 * (1.0 - rng.random::<f64>()).ln()).sqrt();
    let normal = radius * (std::f64::consts::TAU * rng.random::<f64>()).cos();
    median * (sigma * normal).exp()
}
