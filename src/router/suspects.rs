//! What one router knows of runs that lost their servers or went on, and of what must not run.

use crate::clock;
use crate::fleet::crashes;
use crate::id;
use crate::router::departures;
use crate::sorted;
use crate::state::model;

/// How long losses are kept to be reported to a new leader.
const LOSS_RETENTION: clock::Millis = clock::Millis::from_secs(120);

/// The most losses that are kept.
const MAX_LOSSES: usize = 256;

/// The most fingerprints of sound runs that are kept.
const MAX_SOUND: usize = 4_096;

/// A run that began again so much later is reported again.
const SOUND_INTERVAL: clock::Millis = clock::Millis::new(500);

/// What one router knows of fingerprints.
#[derive(Debug, Default)]
pub struct Suspects {
    standings: sorted::Map<model::Fingerprint, crashes::Standing>,
    /// When verdicts end.
    ends: sorted::Map<model::Fingerprint, clock::Millis>,
    /// When the last run that went on began, by fingerprint.
    sound: sorted::Map<model::Fingerprint, clock::Millis>,
    /// The begin that was reported last.
    reported: sorted::Map<model::Fingerprint, clock::Millis>,
    losses: Vec<Loss>,
    /// The number of the last loss.
    last_number: u64,
}

#[derive(Clone, Debug)]
struct Loss {
    number: u64,
    server: u64,
    fingerprints: Vec<model::Fingerprint>,
    begun_at: clock::Millis,
    lost_at: clock::Millis,
    /// The term of the leader that was told.
    told: Option<id::Term>,
    /// Whether the server was found to have ended, and the term of the leader that was told so.
    ended: Option<Option<id::Term>>,
}

/// What a report says, to be applied when it was answered.
#[derive(Clone, Debug, Default)]
pub struct Reported {
    losses: Vec<u64>,
    ended: Vec<u64>,
}

impl Suspects {
    /// Returns the most severe standing of fingerprints; `None` when they may run.
    pub fn standing(&self, fingerprints: &[model::Fingerprint]) -> Option<crashes::Standing> {
        let standings = fingerprints.iter().filter_map(|f| self.standings.get(f));
        standings.max().copied()
    }

    /// Replaces the standings by those of a summary.
    pub fn set_standings(
        &mut self,
        standings: &sorted::Map<model::Fingerprint, crashes::Standing>,
    ) {
        self.standings.clone_from(standings);
        self.reported.retain(|f, _| standings.contains(f));
    }

    /// Replaces the ends of verdicts by those of a summary.
    pub fn set_verdict_ends(
        &mut self,
        now: clock::Millis,
        ends: &[(model::Fingerprint, clock::Millis)],
    ) {
        self.ends = ends.iter().map(|(f, left)| (*f, now + *left)).collect();
    }

    /// Returns the time until requests with these fingerprints may run again; zero when this router knows of
    /// no verdict on them, `None` when no end of it was told, as for what an operator quarantined.
    pub fn quarantine_left(
        &self,
        now: clock::Millis,
        fingerprints: &[model::Fingerprint],
    ) -> Option<clock::Millis> {
        let is_quarantined = |f: &&model::Fingerprint| {
            self.standings.get(f) == Some(&crashes::Standing::Quarantined)
        };
        let quarantined = fingerprints.iter().filter(is_quarantined);
        let ends: Option<Vec<_>> = quarantined.map(|f| self.ends.get(f).copied()).collect();
        let end = ends?.into_iter().max();
        Some(end.map_or(clock::Millis::ZERO, |end| end - now))
    }

    /// Records that a server was lost under a run: with its fingerprints if the run had just begun, else
    /// without any.
    pub fn record_loss(
        &mut self,
        now: clock::Millis,
        server: &id::BackendServerId,
        fingerprints: Vec<model::Fingerprint>,
        begun_at: clock::Millis,
    ) {
        self.losses.retain(|l| now < l.lost_at + LOSS_RETENTION);
        let digest = crashes::server_digest(server);
        if fingerprints.is_empty() && self.losses.iter().any(|l| l.server == digest) {
            return;
        }
        if self.losses.len() >= MAX_LOSSES {
            metrics::counter!("buckthorncleat_losses_dropped_total").increment(1);
            // The oldest that a leader was told of.
            let told = self.losses.iter().position(|l| l.told.is_some());
            self.losses.remove(told.unwrap_or(0));
        }
        self.last_number += 1;
        self.losses.push(Loss {
            number: self.last_number,
            server: digest,
            fingerprints,
            begun_at,
            lost_at: now,
            told: None,
            ended: None,
        });
    }

    /// Records that a server was lost under a run whose caller had left. Copies of the request that were lost
    /// with the server by one cause count once.
    pub fn record_departed_loss(&mut self, now: clock::Millis, run: &departures::Run) {
        let digest = crashes::server_digest(&run.server);
        let mut losses = self.losses.iter();
        let is_known = losses.any(|l| {
            l.server == digest
                && l.lost_at >= run.begun_at
                && l.fingerprints.last() == Some(&run.request)
        });
        if !is_known {
            self.record_loss(now, &run.server, vec![run.request], run.begun_at);
        }
    }

    /// Records that a server which was lost under a run has ended.
    pub fn record_ended(&mut self, server: &id::BackendServerId) {
        let digest = crashes::server_digest(server);
        for loss in self.losses.iter_mut().filter(|l| l.server == digest) {
            loss.ended.get_or_insert(None);
        }
    }

    /// Returns the digests of the servers that ended, as far as the leader in `term` was not told.
    pub fn ended(&self, term: Option<id::Term>) -> Vec<u64> {
        let new = self.losses.iter().filter(|l| {
            let told = l.ended;
            told.is_some_and(|told| told.is_none() || term.is_some() && told < term)
        });
        let mut servers: Vec<u64> = new.map(|l| l.server).collect();
        servers.sort_unstable();
        servers.dedup();
        servers
    }

    /// Records that a run went on. A request counts by itself only if it is known.
    pub fn record_sound(&mut self, fingerprints: &[model::Fingerprint], begun_at: clock::Millis) {
        let Some((request, parts)) = fingerprints.split_last() else {
            return;
        };
        let request = Some(request).filter(|r| self.standings.contains(r));
        for fingerprint in parts.iter().chain(request) {
            let latest = self.sound.get_or_insert_with(*fingerprint, || begun_at);
            *latest = begun_at.max(*latest);
        }
        if self.sound.len() > MAX_SOUND {
            let mut begins: Vec<_> = self.sound.values().copied().collect();
            begins.sort_unstable();
            let middle = begins[begins.len() / 2];
            self.sound.retain(|_, begun_at| *begun_at > middle);
        }
    }

    /// Returns whether no leader was told of some loss yet.
    pub fn has_news(&self) -> bool {
        let is_news = |l: &Loss| l.told.is_none() || l.ended == Some(None);
        self.losses.iter().any(is_news)
    }

    /// Returns the losses that the leader in `term` was not told of, and what to apply when the report
    /// was answered.
    pub fn losses(
        &self,
        now: clock::Millis,
        term: Option<id::Term>,
    ) -> (Vec<crashes::Loss>, Reported) {
        let new = self.losses.iter();
        let new = new.filter(|l| l.told.is_none() || term.is_some() && l.told < term);
        let losses: Vec<&Loss> = new.collect();
        let numbers = losses.iter().map(|l| l.number).collect();
        let losses = losses.iter().map(|l| crashes::Loss {
            server: l.server,
            fingerprints: l.fingerprints.clone(),
            begun: now - l.begun_at,
            age: now - l.lost_at,
        });
        let reported = Reported {
            losses: numbers,
            ended: self.ended(term),
        };
        (losses.collect(), reported)
    }

    /// Returns the time since the last run that went on began, for fingerprints that the leader asks
    /// for, if that is news.
    pub fn sound(&mut self, now: clock::Millis) -> Vec<(model::Fingerprint, clock::Millis)> {
        let mut news = Vec::new();
        for fingerprint in self.standings.keys() {
            let Some(begun_at) = self.sound.get(fingerprint) else {
                continue;
            };
            let reported = self.reported.get(fingerprint);
            if reported.is_none_or(|at| *begun_at >= *at + SOUND_INTERVAL) {
                self.reported.insert(*fingerprint, *begun_at);
                news.push((*fingerprint, now - *begun_at));
            }
        }
        news
    }

    /// Records that the leader in `term` answered a report.
    pub fn confirm(&mut self, reported: &Reported, term: id::Term) {
        for loss in &mut self.losses {
            if reported.losses.contains(&loss.number) {
                loss.told = Some(term);
            }
            if reported.ended.contains(&loss.server) && loss.ended.is_some() {
                loss.ended = Some(Some(term));
            }
        }
    }

    /// Records that a report was not answered, or that another leader must be told everything.
    pub fn repeat(&mut self) {
        self.reported.clear();
    }
}
