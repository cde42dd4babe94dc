//! Runs that lost their servers or went on, and what must not run.

use crate::clock;
use crate::fleet::crashes;
use crate::fleet::ledger;
use crate::fleet::message;
use crate::state::model;

/// The shortest time between two updates of the standings, when many routers lose servers at once.
const STANDINGS_INTERVAL: clock::Millis = clock::Millis::new(20);

/// The reports of each router, and a margin, after which all have told which runs went on.
const SETTLE_REPORTS: u64 = 2;
const SETTLE_MARGIN: clock::Millis = clock::Millis::new(250);

impl ledger::Ledger {
    /// Applies what a report, sent at `sent_at` or later, says of runs that lost their servers or went
    /// on.
    pub(super) fn record_runs(
        &mut self,
        now: clock::Millis,
        sent_at: Option<clock::Millis>,
        report: &message::Report,
    ) {
        let sent_at = sent_at.unwrap_or(now);
        for loss in &report.losses {
            self.crashes.record_loss(sent_at, loss);
        }
        for (fingerprint, age) in &report.sound {
            self.crashes.record_sound(*fingerprint, sent_at - *age);
        }
        for server in &report.extension.ended {
            self.crashes.record_ended(now, *server);
        }
        let has_news = !report.losses.is_empty() || !report.sound.is_empty();
        if has_news && now >= self.next_standings {
            self.update_standings(now);
        }
    }

    pub(super) fn update_standings(&mut self, now: clock::Millis) {
        self.next_standings = now + STANDINGS_INTERVAL;
        let settle_time = self.report_interval() * SETTLE_REPORTS + SETTLE_MARGIN;
        let standings = self.crashes.update(now, settle_time);
        self.totals.set_standings(now, standings);
    }

    /// Returns whether a request may run, as [`crashes::Crashes::ask`] does.
    pub fn ask_run(
        &mut self,
        now: clock::Millis,
        fingerprints: &[model::Fingerprint],
    ) -> crashes::Answer {
        self.crashes.ask(now, fingerprints)
    }

    /// Replaces the quarantine of operators.
    pub fn set_quarantined(
        &mut self,
        now: clock::Millis,
        quarantined: impl Iterator<Item = model::Fingerprint>,
    ) {
        self.crashes.set_quarantined(quarantined);
        self.update_standings(now);
    }

    /// Applies the replicated verdicts on requests and parts.
    pub fn set_verdicts(&mut self, now: clock::Millis, verdicts: &crashes::Verdicts) {
        self.crashes.set_verdicts(now, verdicts);
        self.update_standings(now);
    }

    /// Returns the changes of verdicts that are not in the replicated state yet.
    pub fn judgements(&self) -> &[crashes::Judgement] {
        self.crashes.judgements()
    }

    /// Removes the changes that are in the replicated state now.
    pub fn remove_judgements(&mut self, saved: &[crashes::Judgement]) {
        self.crashes.remove_judgements(saved);
    }

    /// Returns the time until verdicts end, of the next ones.
    pub fn verdict_ends(&self, now: clock::Millis) -> Vec<(model::Fingerprint, clock::Millis)> {
        self.crashes.verdict_ends(now)
    }
}
