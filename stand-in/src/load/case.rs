//! Test cases in which policies are compared: traffic levels and injected faults.

use buckthorncleat::clock;
use buckthorncleat::unit;

use crate::engine::settings;
use crate::fault;
use crate::load::cluster;
use crate::load::plan;

/// Part of the shared prompt prefixes that the capacity counts as not cached.
const PREFIX_MISS_SHARE: f64 = 0.25;

/// Load of the steady case as a multiple of the capacity.
const STEADY_LOAD: f64 = 0.7;

/// Load of the overload case as a multiple of the capacity.
const OVERLOAD_LOAD: f64 = 1.5;

/// Rate limit of each account as a multiple of its part of the capacity.
const RATE_OVER_SHARE: f64 = 1.2;

/// Burst limit of an account, in seconds of its rate.
const BURST_SECONDS: f64 = 4.0;

/// Traffic of the surging account during the surge, as a multiple of its rate limit.
const SURGE_FACTOR: f64 = 5.0;

/// Index of the surging account in the plan.
const SURGING_ACCOUNT: usize = 2;

/// Factor by which the slow prefill engine is slower.
const SLOW_FACTOR: u32 = 4;

#[derive(
    Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum, serde::Serialize, serde::Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Case {
    /// Load at seven tenths of the capacity.
    Steady,
    /// Load at one and a half times the capacity, which the accounts' rate limits allow.
    Overload,
    /// Steady, but one account sends five times its rate limit in the middle third.
    Surge,
    /// Steady, but a decode engine is killed after a third of the counted time.
    DecodeLost,
    /// Steady, but a prefill engine takes four times as long after a third of the counted time.
    PrefillSlow,
    /// Steady, but the link of a prefill engine drops to a tenth of its rate after a third of the
    /// counted time.
    LinkTenth,
    /// Steady, but the gateway that owns placement is killed after a third of the counted time.
    OwnerKilled,
}

impl Case {
    pub const ALL: [Self; 7] = [
        Self::Steady,
        Self::Overload,
        Self::Surge,
        Self::DecodeLost,
        Self::PrefillSlow,
        Self::LinkTenth,
        Self::OwnerKilled,
    ];

    /// Returns the name in tables and plots.
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

    /// Sets the traffic and the accounts' limits in a plan for engines whose capacity is
    /// `capacity` chats per second.
    pub fn configure(self, plan: &mut plan::Plan, capacity: f64) {
        let load = if self == Self::Overload {
            OVERLOAD_LOAD
        } else {
            STEADY_LOAD
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
            account.burst = unit::Tokens::new((rate * BURST_SECONDS).max(20_000.0) as u64);
        }
        if self == Self::Surge {
            let start = plan.traffic.warm_up_ms;
            let third = plan.traffic.counted().as_u64() / 3;
            plan.accounts[SURGING_ACCOUNT].surge = Some(plan::Surge {
                factor: SURGE_FACTOR * RATE_OVER_SHARE / load,
                from_ms: start + clock::Millis::new(third),
                until_ms: start + clock::Millis::new(2 * third),
            });
        }
    }

    /// Injects the fault of the case into a running cluster.
    ///
    /// The caller calls this after a third of the counted time. Does nothing in cases without a
    /// fault.
    ///
    /// # Errors
    ///
    /// Returns an error if the process to be killed or slowed down has already ended.
    pub async fn inject_fault(self, cluster: &mut cluster::Cluster) -> buckthorncleat::Result<()> {
        let slow = fault::Faults {
            slow_factor: Some(SLOW_FACTOR),
            ..fault::Faults::default()
        };
        match self {
            Self::Steady | Self::Overload | Self::Surge => Ok(()),
            Self::DecodeLost => cluster.kill_decode_engine(),
            Self::PrefillSlow => cluster.set_prefill_faults(&slow).await,
            Self::LinkTenth => {
                let link_rate = cluster::LINK.as_u64();
                let tenth = fault::Faults {
                    link_bytes_per_second: Some(unit::BytesPerSecond::new(link_rate / 10)),
                    ..fault::Faults::default()
                };
                cluster.set_prefill_faults(&tenth).await
            }
            Self::OwnerKilled => cluster.kill_placement_owner(),
        }
    }
}

/// Returns the mean number of tokens charged for one chat.
fn chat_charge(traffic: &plan::Traffic) -> f64 {
    let prefix = traffic.prefix_share * traffic.prefix_tokens as f64;
    prefix + traffic.prompt.mean() + traffic.answer.mean()
}

/// Returns the chats per second that the engines can complete, by their stated costs.
///
/// A quarter of the shared prompt prefixes count as not cached.
pub fn capacity(
    traffic: &plan::Traffic,
    engine: &settings::Settings,
    prefill_engines: usize,
    decode_engines: usize,
) -> f64 {
    let rate = engine.prefill_tokens_per_second.as_u64() as f64;
    let missed = PREFIX_MISS_SHARE * traffic.prefix_share * traffic.prefix_tokens as f64;
    let prefill = prefill_engines as f64 * rate / (traffic.prompt.mean() + missed);
    let slots = engine.slots as usize;
    let token_s = engine.step_us(slots) as f64 / 1e6;
    let decode = (decode_engines * slots) as f64 / (traffic.answer.mean() * token_s);
    prefill.min(decode)
}
