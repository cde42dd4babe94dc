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
        /// What is served first among waiting requests.
        pub objective: settings::Objective,
        /// The longest time between two renewals of a reservation.
        pub lease: clock::Millis,
        /// How long a new owner waits for reports before its first placement.
        pub report_grace: clock::Millis,
        /// The most requests that wait.
        pub max_waiting: usize,
        /// The backlog of a prefill server above which it gets no further prefill.
        pub max_prefill_backlog: clock::Millis,
        /// The time from a placement to the start of its prefill, and back, over the network.
        pub network_overhead: clock::Millis,
        /// How long a prefill server keeps exported KV cache.
        pub export_lifetime: clock::Millis,
        /// The part of the time to a target that a prediction may fill, in percent.
        pub target_percent: u64,
        /// The prefill rate of a server that has not shown its own.
        pub prefill_rate: unit::TokensPerSecond,
        /// The time between tokens of a decode server with one request, until it has shown its own.
        pub step_base: clock::Millis,
        /// The time between tokens at full slots, until the server has shown its own.
        pub step_full: clock::Millis,
        /// How many prompt tokens one output token counts for in the service of an account.
        pub output_weight: u64,
        /// The pause after a server's first failure; it doubles with each failed probe.
        pub first_probe_delay: clock::Millis,
        /// The longest pause between probes.
        pub max_probe_delay: clock::Millis,
        /// The first pause between two orders to cancel; it doubles up to ten times itself.
        pub cancel_retry_delay: clock::Millis,
        /// How old work without a reservation may grow before it is cancelled.
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
            export_lifetime: clock::Millis::new(800),
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
