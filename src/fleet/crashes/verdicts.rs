//! Verdicts on requests and parts of prompts: how long each lasts, and what becomes of it.
//!
//! A verdict may be wrong, so it ends after a term. Then one run at a time may clear it; one that is lost
//! brings a longer term. A server that loses an answer and goes on speaks less against a request than one that
//! has ended, and lengthens the term less. Verdicts are in the replicated state, without times: a new leader
//! begins their terms anew.

use crate::clock;
use crate::id;
use crate::macros;
use crate::sorted;
use crate::state::model;

/// The first term: about the time in which servers that lose answers for another reason recover.
const FIRST_TERM: clock::Millis = clock::Millis::from_secs(5);

/// How many times longer the term of each further degree is.
const DEGREE_FACTOR: u64 = 2;

/// The degrees that a server adds that has ended.
const ENDED_DEGREES: u32 = 3;

/// A server that is found to have ended within this time after the loss of a run ended with the run.
pub(super) const MAX_END_DELAY: clock::Millis = clock::Millis::new(1_000);

const MAX_TERM: clock::Millis = clock::Millis::from_secs(3_600);

/// The most verdicts that the replicated state keeps; the oldest goes first.
const MAX_VERDICTS: usize = 4_096;

/// The most verdicts whose ends are told to a router at once.
const MAX_TOLD: usize = 64;

macros::data! {copy
    /// A change of the replicated verdicts.
    pub enum Judgement {
        /// Quarantines a fingerprint for the term of this degree, counted from 1.
        Convict(model::Fingerprint, u32),
        /// Ends a verdict, since a run with the fingerprint went on.
        Clear(model::Fingerprint),
    }
}

macros::data! {copy
    /// A replicated verdict.
    pub struct Verdict {
        /// The degree of its last term.
        pub degree: u32,
        /// The revision of the configuration at the last change.
        pub since: id::Revision,
        order: u64,
    }
}

macros::data! {
    /// The verdicts in the replicated state.
    #[derive(Default)]
    pub struct Verdicts {
        verdicts: sorted::Map<model::Fingerprint, Verdict>,
        /// The number of changes so far.
        changes: u64,
    }
}

impl Verdicts {
    /// Applies a change at a revision of the configuration.
    pub fn apply(&mut self, judgement: Judgement, since: id::Revision) {
        self.changes += 1;
        match judgement {
            Judgement::Convict(fingerprint, degree) => {
                let order = self.changes;
                let verdict = Verdict {
                    degree,
                    since,
                    order,
                };
                self.verdicts.insert(fingerprint, verdict);
            }
            Judgement::Clear(fingerprint) => {
                self.verdicts.remove(&fingerprint);
            }
        }
        if self.verdicts.len() > MAX_VERDICTS {
            let oldest = self.verdicts.values().map(|v| v.order).min();
            self.verdicts.retain(|_, v| Some(v.order) != oldest);
        }
    }

    /// Returns the number of changes so far.
    pub fn changes(&self) -> u64 {
        self.changes
    }

    pub fn get(&self, fingerprint: &model::Fingerprint) -> Option<&Verdict> {
        self.verdicts.get(fingerprint)
    }

    pub fn iter(&self) -> impl Iterator<Item = (&model::Fingerprint, &Verdict)> {
        self.verdicts.iter()
    }
}

/// The last loss that counted for a verdict.
#[derive(Clone, Copy, Debug)]
pub(super) struct LastLoss {
    pub at: clock::Millis,
    pub server: u64,
    /// Whether servers are known to have ended.
    pub is_ended: bool,
}

/// A verdict at the leader.
#[derive(Clone, Copy, Debug)]
struct Term {
    degree: u32,
    until: clock::Millis,
    /// `None` for a verdict of an earlier leader.
    lost: Option<LastLoss>,
}

/// The verdicts at the leader, with their ends.
#[derive(Debug, Default)]
pub(super) struct Terms {
    terms: sorted::Map<model::Fingerprint, Term>,
    /// What is not in the replicated state yet.
    unsaved: Vec<Judgement>,
}

impl Terms {
    /// Begins the next term of a fingerprint.
    pub fn convict(&mut self, now: clock::Millis, fingerprint: model::Fingerprint, lost: LastLoss) {
        let degrees = if lost.is_ended { ENDED_DEGREES + 1 } else { 1 };
        self.extend(now, fingerprint, lost, degrees);
        metrics::counter!("buckthorncleat_quarantined_total").increment(1);
    }

    fn extend(
        &mut self,
        now: clock::Millis,
        fingerprint: model::Fingerprint,
        lost: LastLoss,
        degrees: u32,
    ) {
        let before = self.terms.get(&fingerprint);
        let degree = before.map_or(0, |t| t.degree).saturating_add(degrees);
        let term = Term {
            degree,
            until: now + length(degree),
            lost: Some(lost),
        };
        self.terms.insert(fingerprint, term);
        self.save(Judgement::Convict(fingerprint, degree));
        log::warn!(event = "quarantined", fingerprint = fingerprint.to_string(), degree = degree, ended = lost.is_ended, term_ms = length(degree).as_u64(); "servers were lost one after the other under new runs with it; they are not sent for a while");
    }

    /// Records that a run was lost that began at `begun_at`, with these fingerprints. If it was on trial after
    /// a term, the narrowest of them gets the next one.
    pub fn record_loss(
        &mut self,
        now: clock::Millis,
        fingerprints: &[model::Fingerprint],
        begun_at: clock::Millis,
        lost: LastLoss,
    ) {
        let is_on_trial = |f: &&model::Fingerprint| {
            let term = self.terms.get(f);
            term.is_some_and(|t| begun_at >= t.until)
        };
        if let Some(fingerprint) = fingerprints.iter().rev().find(is_on_trial) {
            self.convict(now, *fingerprint, lost);
        }
    }

    /// Records that a server has ended, which lengthens the terms of those that were lost with it last.
    pub fn record_ended(&mut self, now: clock::Millis, server: u64) {
        let mut ended = Vec::new();
        for (fingerprint, term) in self.terms.iter() {
            let lost = term.lost.filter(|l| l.server == server && !l.is_ended);
            if let Some(lost) = lost.filter(|l| now < l.at + MAX_END_DELAY) {
                let is_ended = true;
                ended.push((*fingerprint, LastLoss { is_ended, ..lost }));
            }
        }
        for (fingerprint, lost) in ended {
            self.extend(now, fingerprint, lost, ENDED_DEGREES);
        }
    }

    /// Records that a run which began at `begun_at` went on; it ends a verdict for earlier losses.
    pub fn record_sound(&mut self, fingerprint: &model::Fingerprint, begun_at: clock::Millis) {
        let term = self.terms.get(fingerprint);
        if term.is_some_and(|t| t.lost.is_none_or(|l| begun_at > l.at)) {
            self.terms.remove(fingerprint);
            self.save(Judgement::Clear(*fingerprint));
            log::info!(event = "quarantine_cleared", fingerprint = fingerprint.to_string(); "a run with it went on");
        }
    }

    /// Applies the replicated verdicts; returns those that an operator has ended.
    pub fn apply(&mut self, now: clock::Millis, verdicts: &Verdicts) -> Vec<model::Fingerprint> {
        let unsaved = &self.unsaved;
        let is_unsaved = |f| unsaved.iter().any(|j| j.fingerprint() == f);
        for (fingerprint, verdict) in verdicts.iter() {
            if is_unsaved(*fingerprint) || self.terms.contains(fingerprint) {
                continue;
            }
            let term = Term {
                degree: verdict.degree,
                until: now + length(verdict.degree),
                lost: None,
            };
            self.terms.insert(*fingerprint, term);
        }
        let ended = self.terms.keys();
        let ended = ended.filter(|f| verdicts.get(f).is_none() && !is_unsaved(**f));
        let ended: Vec<_> = ended.copied().collect();
        for fingerprint in &ended {
            self.terms.remove(fingerprint);
        }
        ended
    }

    /// Returns what is not in the replicated state yet.
    pub fn unsaved(&self) -> &[Judgement] {
        &self.unsaved
    }

    /// Removes what is in the replicated state now.
    pub fn remove_saved(&mut self, saved: &[Judgement]) {
        self.unsaved.retain(|j| !saved.contains(j));
    }

    pub fn contains(&self, fingerprint: &model::Fingerprint) -> bool {
        self.terms.contains(fingerprint)
    }

    /// Returns the fingerprints with a verdict, and whether its term goes on.
    pub fn iter(&self, now: clock::Millis) -> impl Iterator<Item = (&model::Fingerprint, bool)> {
        self.terms.iter().map(move |(f, t)| (f, now < t.until))
    }

    /// Returns the time until terms end, the next ones first.
    pub fn ends(&self, now: clock::Millis) -> Vec<(model::Fingerprint, clock::Millis)> {
        let running = self.terms.iter().filter(|(_, t)| now < t.until);
        let mut ends: Vec<_> = running.map(|(f, t)| (*f, t.until - now)).collect();
        ends.sort_by_key(|(_, left)| *left);
        ends.truncate(MAX_TOLD);
        ends
    }

    /// Takes a change up, in place of an earlier one of the same fingerprint.
    fn save(&mut self, judgement: Judgement) {
        let fingerprint = judgement.fingerprint();
        self.unsaved.retain(|j| j.fingerprint() != fingerprint);
        self.unsaved.push(judgement);
    }
}

impl Judgement {
    const fn fingerprint(self) -> model::Fingerprint {
        match self {
            Self::Convict(fingerprint, _) | Self::Clear(fingerprint) => fingerprint,
        }
    }
}

/// Returns the length of the term of a degree, counted from 1.
fn length(degree: u32) -> clock::Millis {
    let factor = DEGREE_FACTOR.saturating_pow(degree.saturating_sub(1));
    let length = FIRST_TERM.as_u64().saturating_mul(factor);
    clock::Millis::new(length).min(MAX_TERM)
}
