//! Plan of one run of the load tool, read from a JSON file.

use std::fs;
use std::net;
use std::path;

use buckthorncleat::clock;
use buckthorncleat::id;
use buckthorncleat::unit;

/// The plan of one run.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// Gateway addresses that callers ask first for the list of entries.
    pub entries: Vec<net::SocketAddr>,
    /// Stand-in engines whose totals are read before, during and after the run.
    #[serde(default)]
    pub engines: Vec<net::SocketAddr>,
    /// Stand-in plain services whose order counts are read at the end.
    #[serde(default)]
    pub services: Vec<net::SocketAddr>,
    pub accounts: Vec<Account>,
    pub model: Model,
    pub traffic: Traffic,
}

/// Client account that makes calls.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Account {
    pub id: id::ClientAccountId,
    /// Secret of the account's API key.
    pub key: String,
    /// Rate limit over the whole fleet.
    pub rate: unit::TokensPerSecond,
    /// Burst limit over the whole fleet.
    pub burst: unit::Tokens,
    /// Weight in the fair division of capacity among the accounts.
    pub weight: u32,
    /// Part of the traffic, relative to the `share` of the other accounts.
    pub share: f64,
    /// Period of increased traffic, if any.
    #[serde(default)]
    pub surge: Option<Surge>,
}

/// Period in which an account sends a multiple of its usual traffic.
#[derive(Clone, Copy, Debug, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Surge {
    /// Multiplier of the account's usual rate.
    pub factor: f64,
    /// Start of the surge, from the start of the run.
    pub from_ms: clock::Millis,
    /// End of the surge, from the start of the run.
    pub until_ms: clock::Millis,
}

/// Model and its latency targets.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    pub id: id::ModelId,
    /// Target for the time to the first token.
    pub first_token_ms: clock::Millis,
    /// Target for the mean time between tokens.
    pub between_tokens_ms: clock::Millis,
}

/// Traffic of all accounts together.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Traffic {
    /// Seed of all random choices.
    pub seed: u64,
    /// Period in which calls are sent.
    pub duration_ms: clock::Millis,
    /// Period at the start whose calls are not counted, because caches are cold.
    pub warm_up_ms: clock::Millis,
    /// Most calls in the run. Calls beyond it are left out.
    pub max_calls: usize,
    /// Time after which a caller gives up a call.
    pub call_timeout_ms: clock::Millis,
    /// Number of callers. Each caches its own list of gateway entries.
    pub callers: usize,
    pub chats_per_second: f64,
    pub orders_per_second: f64,
    pub bookings_per_second: f64,
    pub lookups_per_second: f64,
    /// Lengths of prompts without their shared prefix, in tokens.
    pub prompt: Lengths,
    /// Lengths of answers, in tokens.
    pub answer: Lengths,
    /// Length of a shared prompt prefix, in tokens.
    pub prefix_tokens: u64,
    /// Number of shared prompt prefixes of each account.
    pub prefixes: u32,
    /// Part of the chats that begin with a shared prefix, from 0 to 1.
    pub prefix_share: f64,
    pub order_path: String,
    pub booking_path: String,
    pub lookup_path: String,
    /// Tokens that one plain call takes from the account's bucket.
    pub call_cost: unit::Tokens,
}

/// Log-normal distribution of lengths, clamped at both ends.
#[derive(Clone, Copy, Debug, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Lengths {
    /// Median, in tokens.
    pub median: f64,
    /// Standard deviation of the logarithm.
    pub sigma: f64,
    /// Shortest length, in tokens.
    pub min: u64,
    /// Longest length, in tokens.
    pub max: u64,
}

impl Lengths {
    /// Returns the mean, ignoring the clamping.
    pub fn mean(&self) -> f64 {
        self.median * (self.sigma * self.sigma / 2.0).exp()
    }
}

impl Default for Traffic {
    fn default() -> Self {
        Self {
            seed: 1,
            duration_ms: clock::Millis::from_secs(20),
            warm_up_ms: clock::Millis::ZERO,
            max_calls: 20_000,
            call_timeout_ms: clock::Millis::from_secs(60),
            callers: 32,
            chats_per_second: 5.0,
            orders_per_second: 1.0,
            bookings_per_second: 1.0,
            lookups_per_second: 4.0,
            prompt: Lengths {
                median: 500.0,
                sigma: 0.8,
                min: 20,
                max: 8_000,
            },
            answer: Lengths {
                median: 120.0,
                sigma: 0.7,
                min: 8,
                max: 600,
            },
            prefix_tokens: unit::PIECE_TOKENS,
            prefixes: 2,
            prefix_share: 0.3,
            order_path: "/shop/orders".to_owned(),
            booking_path: "/plots/bookings".to_owned(),
            lookup_path: "/plots/availability".to_owned(),
            call_cost: unit::Tokens::new(1),
        }
    }
}

impl Traffic {
    /// Returns the length of the period whose calls are counted.
    pub fn counted(&self) -> clock::Millis {
        self.duration_ms - self.warm_up_ms
    }
}

impl Plan {
    /// Reads a plan file.
    ///
    /// # Errors
    ///
    /// Returns an error if the file can't be read, is not a valid plan or fails [`Self::check`].
    pub fn from_file(path: &path::Path) -> buckthorncleat::Result<Self> {
        let text = fs::read_to_string(path).map_err(|e| {
            buckthorncleat::Error::io(format!("read the plan {}", path.display()), e)
        })?;
        let plan: Self = serde_json::from_str(&text).map_err(|e| {
            let remedy = "write a plan as docs/LOAD.md shows";
            buckthorncleat::Error::bad_value(path.display().to_string(), e, remedy)
        })?;
        plan.check()?;
        Ok(plan)
    }

    /// Checks the constraints that the types don't enforce.
    ///
    /// # Errors
    ///
    /// Returns an error that names each field with an invalid value.
    pub fn check(&self) -> buckthorncleat::Result<()> {
        let positive = |field, value: f64| (field, value, value > 0.0, "use a number above 0");
        let part = |field, value: f64| {
            let fits = (0.0..=1.0).contains(&value);
            (field, value, fits, "use a number from 0 to 1")
        };
        let traffic = &self.traffic;
        let counted = traffic.counted();
        let checks = [
            positive("traffic.duration_ms - warm_up_ms", counted.as_secs_f64()),
            positive("entries", self.entries.len() as f64),
            positive("accounts", self.accounts.len() as f64),
            positive("traffic.callers", traffic.callers as f64),
            positive("traffic.prefixes", f64::from(traffic.prefixes)),
            positive("traffic.prompt.median", traffic.prompt.median),
            positive("traffic.answer.median", traffic.answer.median),
            part("traffic.prefix_share", traffic.prefix_share),
        ];
        let faults: Vec<_> = checks
            .into_iter()
            .filter(|(_, _, fits, _)| !fits)
            .map(|(field, value, _, remedy)| buckthorncleat::Error::bad_value(field, value, remedy))
            .collect();
        match faults.is_empty() {
            true => Ok(()),
            false => Err(buckthorncleat::Error::several(faults)),
        }
    }
}
