//! The cases in which policies are compared.

use buckthorncleat::clock;
use buckthorncleat::unit;

use crate::engine::settings;
use crate::fault;
use crate::load::cluster;
use crate::load::plan;

/// The part of the shared starts that the capacity counts as not cached.
const PREFIX_MISSES: f64 = 0.25;

/// The load of the steady case over the capacity.
const STEADY: f64 = 0.7;

/// The load of the overload case over the capacity.
const OVERLOAD: f64 = 1.5;

/// The rate of each account over its part of the capacity.
const RATE_OVER_SHARE: f64 = 1.2;

/// How long a burst lets an account send at its rate at once, in seconds.
const BURST_S: f64 = 4.0;

/// How many times its rate the surging account sends.
const SURGE: f64 = 5.0;

/// The position of the surging account.
const SURGING_ACCOUNT: usize = 2;

/// How much slower the slow prefill engine is.
const SLOW_FACTOR: u32 = 4;

/// A case.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum, serde::Serialize, serde::Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Case {
    /// Seven tenths of the capacity.
    Steady,
    /// One and a half times the capacity; the accounts' rates allow it.
    Overload,
    /// Steady, and one account sends five times its rate in the middle third.
    Surge,
    /// Steady, and a decode engine dies at a third.
    DecodeLost,
    /// Steady, and a prefill engine takes four times as long from a third on.
    PrefillSlow,
    /// Steady, and the link of a prefill engine has a tenth of its rate from a third on.
    LinkTenth,
    /// Steady, and the gateway that owns placement dies at a third.
    OwnerKilled,
}

impl Case {
    /// All cases.
    pub const ALL: [Self; 7] = [
        Self::Steady,
        Self::Overload,
        Self::Surge,
        Self::DecodeLost,
        Self::PrefillSlow,
        Self::LinkTenth,
        Self::OwnerKilled,
    ];

    /// Returns the name used in tables and plots.
    pub fn name(self) -> &'static str {
        match self {
            Self::Steady => "steady",
            Self::Overload => "overload",
            Self::Surge => "surge",
            Self::DecodeLost => "decode-lost",
            Self::PrefillSlow => "prefill-slow",
            Self::LinkTenth => "link-tenth",
            Self::OwnerKilled => "owner-killed",
        }
    }

    /// Sets the traffic and the accounts' limits for engines of a capacity in chats a second.
    pub fn shape(self, plan: &mut plan::Plan, capacity: f64) {
        let load = if self == Self::Overload {
            OVERLOAD
        } else {
            STEADY
        };
        let traffic = &mut plan.traffic;
        traffic.chats_per_second = load * capacity;
        let allowed = RATE_OVER_SHARE * load.max(1.0) * capacity * chat_charge(traffic);
        let calls =
            traffic.orders_per_second + traffic.bookings_per_second + traffic.lookups_per_second;
        let allowed = allowed + RATE_OVER_SHARE * calls * traffic.call_cost.as_u64() as f64;
        let shares: f64 = plan.accounts.iter().map(|a| a.share).sum();
        for account in &mut plan.accounts {
            let rate = allowed * account.share / shares;
            account.rate = unit::TokensPerSecond::new(rate as u64);
            account.burst = unit::Tokens::new((rate * BURST_S).max(20_000.0) as u64);
        }
        if self == Self::Surge {
            let start = plan.traffic.warm_up_ms;
            let third = plan.traffic.counted().as_u64() / 3;
            plan.accounts[SURGING_ACCOUNT].surge = Some(plan::Surge {
                factor: SURGE * RATE_OVER_SHARE / load,
                from_ms: start + clock::Millis::new(third),
                until_ms: start + clock::Millis::new(2 * third),
            });
        }
    }

    /// Does to a running cluster what the case says, at a third of the time that counts.
    ///
    /// # Errors
    ///
    /// If a process to harm has ended before.
    pub async fn strike(self, cluster: &mut cluster::Cluster) -> buckthorncleat::Result<()> {
        let slow = fault::Faults {
            slow_factor: Some(SLOW_FACTOR),
            ..fault::Faults::default()
        };
        match self {
            Self::Steady | Self::Overload | Self::Surge => Ok(()),
            Self::DecodeLost => cluster.kill_decode_engine(),
            Self::PrefillSlow => cluster.set_prefill_faults(&slow).await,
            Self::LinkTenth => {
                let whole = cluster::LINK.as_u64();
                let tenth = fault::Faults {
                    link_bytes_per_second: Some(unit::BytesPerSecond::new(whole / 10)),
                    ..fault::Faults::default()
                };
                cluster.set_prefill_faults(&tenth).await
            }
            Self::OwnerKilled => cluster.kill_placement_owner(),
        }
    }
}

/// Returns the mean tokens that one chat is charged.
fn chat_charge(traffic: &plan::Traffic) -> f64 {
    let prefix = traffic.prefix_share * traffic.prefix_tokens as f64;
    prefix + traffic.prompt.mean() + traffic.answer.mean()
}

/// Returns the chats a second that engines can do, by their stated costs.
///
/// A quarter of the shared starts of prompts counts as not cached.
pub fn capacity(
    traffic: &plan::Traffic,
    engine: &settings::Settings,
    prefill_engines: usize,
    decode_engines: usize,
) -> f64 {
    let rate = engine.prefill_tokens_per_second.as_u64() as f64;
    let missed = PREFIX_MISSES * traffic.prefix_share * traffic.prefix_tokens as f64;
    let prefill = prefill_engines as f64 * rate / (traffic.prompt.mean() + missed);
    let slots = engine.slots as usize;
    let token_s = engine.step_us(slots) as f64 / 1e6;
    let decode = (decode_engines * slots) as f64 / (traffic.answer.mean() * token_s);
    prefill.min(decode)
}
