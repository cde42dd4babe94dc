//! What a run of the load tool does, as a JSON file.

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
    /// Where callers ask for entries at first.
    pub entries: Vec<net::SocketAddr>,
    /// The stand-in engines, whose totals are read before and after.
    #[serde(default)]
    pub engines: Vec<net::SocketAddr>,
    /// The stand-in plain services, whose order counts are read at the end.
    #[serde(default)]
    pub services: Vec<net::SocketAddr>,
    /// The client accounts that call.
    pub accounts: Vec<Account>,
    /// The model that they call, and its targets.
    pub model: Model,
    /// The traffic.
    pub traffic: Traffic,
}

/// One client account.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Account {
    /// The name.
    pub id: id::ClientAccountId,
    /// The secret of its key.
    pub key: String,
    /// Its rate over the whole fleet.
    pub rate: unit::TokensPerSecond,
    /// Its burst over the whole fleet.
    pub burst: unit::Tokens,
    /// Its weight among the accounts.
    pub weight: u32,
    /// Its part of the traffic, relative to the other accounts.
    pub share: f64,
    /// When it sends several times its traffic, if it does.
    #[serde(default)]
    pub surge: Option<Surge>,
}

/// A time in which an account sends several times its traffic.
#[derive(Clone, Copy, Debug, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Surge {
    /// How many times.
    pub factor: f64,
    /// The start, from the start of the run.
    pub from_ms: clock::Millis,
    /// The end, from the start of the run.
    pub until_ms: clock::Millis,
}

/// A model and its targets.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// The name.
    pub id: id::ModelId,
    /// The longest time to the first token.
    pub first_token_ms: clock::Millis,
    /// The longest mean time between tokens.
    pub between_tokens_ms: clock::Millis,
}

/// The traffic of all accounts together.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Traffic {
    /// The seed of all that is drawn.
    pub seed: u64,
    /// How long callers arrive.
    pub duration_ms: clock::Millis,
    /// How long calls do not count at the start, while caches are cold.
    pub warm_up_ms: clock::Millis,
    /// The most calls; those that come later are left out.
    pub max_calls: usize,
    /// The longest time of one call.
    pub call_timeout_ms: clock::Millis,
    /// Callers that each keep their own advice on entries.
    pub callers: usize,
    /// Chats a second.
    pub chats_per_second: f64,
    /// Orders a second.
    pub orders_per_second: f64,
    /// Bookings a second.
    pub bookings_per_second: f64,
    /// Lookups a second.
    pub lookups_per_second: f64,
    /// The lengths of prompts without their shared start, in tokens.
    pub prompt: Lengths,
    /// The lengths of answers, in tokens.
    pub answer: Lengths,
    /// The length of a shared start of prompts, in tokens.
    pub prefix_tokens: u64,
    /// How many shared starts an account has.
    pub prefixes: u32,
    /// The part of the chats that begins with a shared start, from 0 to 1.
    pub prefix_share: f64,
    /// The path of orders.
    pub order_path: String,
    /// The path of bookings.
    pub booking_path: String,
    /// The path of lookups.
    pub lookup_path: String,
    /// The tokens that one plain call takes from the account's bucket.
    pub call_cost: unit::Tokens,
}

/// Long-tailed lengths: log-normal, cut at both ends.
#[derive(Clone, Copy, Debug, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Lengths {
    /// The median, in tokens.
    pub median: f64,
    /// The spread of the logarithm.
    pub sigma: f64,
    /// The shortest, in tokens.
    pub min: u64,
    /// The longest, in tokens.
    pub max: u64,
}

impl Lengths {
    /// Returns the mean, the cuts not counted.
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
    /// Returns how long calls count.
    pub fn counted(&self) -> clock::Millis {
        self.duration_ms - self.warm_up_ms
    }
}

impl Plan {
    /// Reads a plan file.
    ///
    /// # Errors
    ///
    /// Says what can't be read, or which field is wrong.
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

    /// Checks what the types leave open.
    ///
    /// # Errors
    ///
    /// Names each field at fault.
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
