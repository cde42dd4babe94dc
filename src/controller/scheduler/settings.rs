//! The settings of a scheduler.

use crate::clock;
use crate::config::settings;
use crate::macros;
use crate::unit;

macros::data! {
    /// The policy, bounds and timeouts of one scheduler.
    pub struct Settings {
        /// How servers are chosen.
        pub placement: settings::Placement,
        /// Which of the waiting requests is placed first.
        pub objective: settings::Objective,
        /// How long a reservation lasts without a renewal.
        pub lease: clock::Millis,
        /// How long a new owner waits for the reports of gateways before its first placement.
        pub report_grace: clock::Millis,
        /// The most requests that wait for a placement.
        pub max_waiting: usize,
        /// The backlog of a prefill server above which it gets no further prefill.
        pub max_prefill_backlog: clock::Millis,
        /// The network time from a placement to the start of its prefill, and back.
        pub network_overhead: clock::Millis,
        /// How long a prefill server keeps an exported KV cache.
        pub export_ttl: clock::Millis,
        /// The part of a time limit that a prediction may use, in percent.
        pub target_percent: u64,
        /// The prefill rate that is assumed until a server's own is observed.
        pub prefill_rate: unit::TokensPerSecond,
        /// The time between tokens with one request that is assumed until a decode server's own is
        /// observed.
        pub step_base: clock::Millis,
        /// The same time with full slots.
        pub step_full: clock::Millis,
        /// How many prompt tokens one output token counts as when an account is charged.
        pub output_weight: u64,
        /// The delay of the first probe after a server's failure; it doubles with each failed
        /// probe.
        pub first_probe_delay: clock::Millis,
        /// The longest delay between two probes.
        pub max_probe_delay: clock::Millis,
        /// The first delay between two orders to cancel; it doubles up to ten times this value.
        pub cancel_retry_delay: clock::Millis,
        /// The age above which work without a reservation is cancelled.
        pub max_orphan_age: clock::Millis,
        /// How long a server refuses a request that was cancelled there.
        pub cancel_retention: clock::Millis,
    }
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            placement: settings::Placement::Joint,
            objective: settings::Objective::WorstServedAccount,
            lease: clock::Millis::new(3_000),
            report_grace: clock::Millis::new(500),
            max_waiting: 512,
            max_prefill_backlog: clock::Millis::new(60),
            network_overhead: clock::Millis::new(6),
            export_ttl: clock::Millis::new(800),
            target_percent: 95,
            prefill_rate: unit::TokensPerSecond::new(10_000),
            step_base: clock::Millis::new(10),
            step_full: clock::Millis::new(25),
            output_weight: 2,
            first_probe_delay: clock::Millis::new(1_000),
            max_probe_delay: clock::Millis::new(30_000),
            cancel_retry_delay: clock::Millis::new(500),
            max_orphan_age: clock::Millis::new(2_000),
            cancel_retention: clock::Millis::new(10_000),
        }
    }
}
