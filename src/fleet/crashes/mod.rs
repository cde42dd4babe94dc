//! Finds what crashes servers: a request, or a part that prompts have in common.
//!
//! Routers report each server that they lost under a run that had just begun, with the fingerprints of
//! that run, broadest first: the parts of its prompt, then the request itself. A run that began later
//! and went on clears its fingerprints. One that is lost with several servers, at different moments,
//! and was not cleared since, is quarantined. Requests are judged one by one. Among several parts that fit,
//! it is the one that was last seen to go on longest ago, then the narrowest.
//!
//! While a fingerprint is a suspect, its requests run one at a time over the fleet, so that one run
//! clears or convicts it and takes few with it.

mod moments;
mod requests;
mod verdicts;

pub use verdicts::Judgement;
pub use verdicts::Verdict;
pub use verdicts::Verdicts;

use crate::clock;
use crate::id;
use crate::macros;
use crate::sorted;
use crate::state::model;

/// The moments at which servers were lost, after which a fingerprint is quarantined.
const QUARANTINE_MOMENTS: usize = 3;

/// The moments after which its requests run one at a time.
const SUSPECT_MOMENTS: usize = 2;

/// The runs that must have been lost while they were the only ones of a part, before it is quarantined
/// although other runs with it went on earlier.
const MIN_PROBES_LOST: usize = 2;

/// The moments in which a server must have ended, for a verdict that is hardly by chance: all that count.
const MIN_ENDED: usize = QUARANTINE_MOMENTS;

/// Losses within this time are of one moment: a common cause, such as a rack, explains them.
const MOMENT: clock::Millis = clock::Millis::new(100);

/// Routers notice the loss of one server within this time.
const NOTICE_TIME: clock::Millis = clock::Millis::new(1_000);

/// Routers report a loss within this time, so that the runs which were lost together are known.
const REPORT_TIME: clock::Millis = clock::Millis::new(200);

/// How long losses count against parts.
const RETENTION: clock::Millis = clock::Millis::from_secs(120);

/// The most moments that are kept; the oldest is dropped first.
const MAX_MOMENTS: usize = 128;

/// How long the only run of a suspect may take until it went on or lost its server.
pub const PROBE_TIME: clock::Millis = clock::Millis::new(2_000);

macros::data! {copy
    /// What is known of a fingerprint that was lost with a server.
    pub enum Standing {
        /// Routers report when a run with it began that went on.
        Watched,
        /// Its requests run one at a time over the fleet.
        Suspect,
        /// Its requests must not run.
        Quarantined,
    }
}

macros::data! {
    /// The loss of a server under a run.
    pub struct Loss {
        /// The XXH3 digest of the server's name.
        pub server: u64,
        /// Broadest first; empty for a run that had been going on.
        pub fingerprints: Vec<model::Fingerprint>,
        /// The time since the run began.
        pub begun: clock::Millis,
        /// The time since the loss.
        pub age: clock::Millis,
    }
}

macros::data! {copy
    /// The leader's answer to a router that asks whether a request may run.
    pub enum Answer {
        /// It may begin within [`PROBE_TIME`] of the question.
        Granted,
        /// Another one runs that will clear or convict it.
        Wait,
        Quarantined,
    }
}

/// The losses of all routers.
#[derive(Debug, Default)]
pub struct Crashes {
    moments: Vec<moments::Moment>,
    /// When the last run that went on began, by fingerprint.
    sound: sorted::Map<model::Fingerprint, clock::Millis>,
    /// Since when a fingerprint has a standing.
    since: sorted::Map<model::Fingerprint, clock::Millis>,
    standings: sorted::Map<model::Fingerprint, Standing>,
    /// The quarantine of operators.
    quarantined: sorted::Map<model::Fingerprint, ()>,
    requests: requests::Requests,
    verdicts: verdicts::Terms,
    /// The suspects that run: until when.
    probes: sorted::Map<model::Fingerprint, clock::Millis>,
    /// The only runs of suspects that were lost, since the last one that went on.
    probes_lost: sorted::Map<model::Fingerprint, usize>,
}

impl Crashes {
    /// Records a loss from a report that was sent at `sent_at` or later.
    pub fn record_loss(&mut self, sent_at: clock::Millis, loss: &Loss) {
        let at = sent_at - loss.age;
        let was_alone = loss.fingerprints.iter().any(|f| self.probes.contains(f));
        if let Some((request, parts)) = loss.fingerprints.split_last() {
            let begun_at = sent_at - loss.begun;
            let verdicts = &mut self.verdicts;
            let lost = verdicts::LastLoss {
                at,
                server: loss.server,
                is_ended: false,
            };
            verdicts.record_loss(sent_at, &loss.fingerprints, begun_at, lost);
            if !verdicts.contains(request) {
                let requests = &mut self.requests;
                requests.record_loss(*request, at, loss.server, begun_at);
            }
            let parts = parts.iter().enumerate();
            let likeliest =
                parts.min_by_key(|(depth, f)| (self.sound.get(f), std::cmp::Reverse(*depth)));
            if let Some((_, part)) = likeliest.filter(|_| was_alone) {
                *self.probes_lost.get_or_insert_with(*part, || 0) += 1;
            }
        }
        for fingerprint in &loss.fingerprints {
            self.probes.remove(fingerprint);
        }
        let run = moments::Run {
            server: loss.server,
            fingerprints: loss.fingerprints.clone(),
            begun_at: sent_at - loss.begun,
        };
        let mut moments = self.moments.iter_mut();
        match moments.find(|m| m.contains(at, loss.server)) {
            Some(moment) => moment.add(run),
            None => self.moments.push(moments::Moment {
                at,
                runs: vec![run],
                is_ended: false,
            }),
        }
        if self.moments.len() > MAX_MOMENTS {
            self.moments.sort_by_key(|m| m.at);
            self.moments.remove(0);
            metrics::counter!("buckthorncleat_crash_moments_dropped_total").increment(1);
        }
    }

    /// Records that a server was found to have ended shortly before `now`.
    pub fn record_ended(&mut self, now: clock::Millis, server: u64) {
        let recent = self.moments.iter_mut();
        for moment in recent.filter(|m| now < m.at + verdicts::MAX_END_DELAY) {
            moment.is_ended |= moment.runs.iter().any(|r| r.server == server);
        }
        self.requests.record_ended(now, server);
        self.verdicts.record_ended(now, server);
    }

    /// Records that a run which began at `begun_at` went on.
    pub fn record_sound(&mut self, fingerprint: model::Fingerprint, begun_at: clock::Millis) {
        if !self.standings.contains(&fingerprint) {
            return;
        }
        self.probes.remove(&fingerprint);
        self.probes_lost.remove(&fingerprint);
        self.requests.record_sound(&fingerprint, begun_at);
        self.verdicts.record_sound(&fingerprint, begun_at);
        let latest = self.sound.get_or_insert_with(fingerprint, || begun_at);
        *latest = begun_at.max(*latest);
    }

    /// Replaces the quarantine of operators. A fingerprint that was released has no losses any more.
    pub fn set_quarantined(&mut self, quarantined: impl Iterator<Item = model::Fingerprint>) {
        let next: sorted::Map<_, _> = quarantined.map(|f| (f, ())).collect();
        let released = self.quarantined.keys().filter(|f| !next.contains(f));
        let released: Vec<_> = released.copied().collect();
        self.quarantined = next;
        self.forget(&released);
    }

    /// Applies the replicated verdicts.
    pub fn set_verdicts(&mut self, now: clock::Millis, verdicts: &Verdicts) {
        let released = self.verdicts.apply(now, verdicts);
        self.forget(&released);
    }

    fn forget(&mut self, fingerprints: &[model::Fingerprint]) {
        for fingerprint in fingerprints {
            self.moments.retain(|m| !m.has_any(|f| f == fingerprint));
            self.requests.remove(fingerprint);
        }
    }

    /// Returns the changes of verdicts that are not in the replicated state yet.
    pub fn judgements(&self) -> &[Judgement] {
        self.verdicts.unsaved()
    }

    /// Removes the changes that are in the replicated state now.
    pub fn remove_judgements(&mut self, saved: &[Judgement]) {
        self.verdicts.remove_saved(saved);
    }

    /// Returns the time until verdicts end, of the next ones.
    pub fn verdict_ends(&self, now: clock::Millis) -> Vec<(model::Fingerprint, clock::Millis)> {
        self.verdicts.ends(now)
    }

    /// Returns whether a request may run, and counts it as the only one of its suspects if so.
    pub fn ask(&mut self, now: clock::Millis, fingerprints: &[model::Fingerprint]) -> Answer {
        let standing = |f: &model::Fingerprint| self.standings.get(f).copied();
        let is_quarantined = |f| standing(f) == Some(Standing::Quarantined);
        if fingerprints.iter().any(is_quarantined) {
            return Answer::Quarantined;
        }
        let suspects = fingerprints.iter();
        let suspects = suspects.filter(|f| standing(f) == Some(Standing::Suspect));
        let suspects: Vec<_> = suspects.copied().collect();
        self.probes.retain(|_, until| now < *until);
        if suspects.iter().any(|f| self.probes.contains(f)) {
            return Answer::Wait;
        }
        // Enough servers were lost; the verdict comes when all routers have told what went on.
        let evidence = self.evidence();
        let pending = self.pending_verdict(&evidence);
        let is_pending = pending.is_some_and(|(f, _)| fingerprints.contains(&f));
        if is_pending || fingerprints.iter().any(|f| self.requests.is_pending(f)) {
            return Answer::Wait;
        }
        for suspect in suspects {
            self.probes.insert(suspect, now + PROBE_TIME);
        }
        Answer::Granted
    }

    /// Brings the standings up to date, where all routers have reported `settle_time` after a
    /// fingerprint got one; returns them.
    pub fn update(
        &mut self,
        now: clock::Millis,
        settle_time: clock::Millis,
    ) -> &sorted::Map<model::Fingerprint, Standing> {
        self.moments.retain(|m| now < m.at + RETENTION);
        self.drop_explained();
        self.requests.update(now);
        for (request, lost) in self.requests.convict(now, settle_time) {
            self.verdicts.convict(now, request, lost);
            self.drop_explained();
        }
        while let Some((part, lost)) = self.convict(now, settle_time) {
            self.verdicts.convict(now, part, lost);
            self.drop_explained();
        }
        let evidence = self.evidence();
        let parts = evidence.iter().map(|(f, e)| (*f, e.standing()));
        let requests = self.requests.suspects();
        let requests = requests.map(|(f, _)| (*f, Standing::Suspect));
        let verdicts = self
            .verdicts
            .iter(now)
            .map(|(f, is_running)| match is_running {
                true => (*f, Standing::Quarantined),
                false => (*f, Standing::Suspect),
            });
        let quarantined = self.quarantined.keys();
        let quarantined = quarantined.map(|f| (*f, Standing::Quarantined));
        let judged = verdicts.chain(quarantined);
        let standings = parts.chain(requests).chain(judged).collect();
        self.log_suspects(&standings, &evidence);
        self.standings = standings;
        let standings = &self.standings;
        self.since.retain(|f, _| standings.contains(f));
        for fingerprint in standings.keys() {
            self.since.get_or_insert_with(*fingerprint, || now);
        }
        self.probes_lost.retain(|f, _| standings.contains(f));
        let moments = &self.moments;
        self.sound
            .retain(|f, _| standings.contains(f) || moments.iter().any(|m| m.has_any(|g| g == f)));
        standings
    }

    /// Logs which fingerprints become suspects, with the evidence, and which are cleared.
    fn log_suspects(
        &self,
        standings: &sorted::Map<model::Fingerprint, Standing>,
        evidence: &sorted::Map<model::Fingerprint, moments::Evidence>,
    ) {
        let is_suspect = |s: &Standing| *s == Standing::Suspect;
        let is_new = |f| {
            let before = self.standings.get(f);
            !before.is_some_and(is_suspect) && standings.get(f).is_some_and(is_suspect)
        };
        for (part, against) in evidence.iter().filter(|(f, _)| is_new(f)) {
            metrics::counter!("buckthorncleat_suspects_total", "kind" => "part").increment(1);
            log::info!(event = "suspect", kind = "part", fingerprint = part.to_string(), moments = against.moments, servers = against.servers.len(), requests = against.requests.len(); "servers were lost under new runs with it; one run at a time will tell");
        }
        for (request, moments) in self.requests.suspects().filter(|(f, _)| is_new(f)) {
            metrics::counter!("buckthorncleat_suspects_total", "kind" => "request").increment(1);
            log::info!(event = "suspect", kind = "request", fingerprint = request.to_string(), moments = moments; "servers were lost under new runs of it; one run at a time will tell");
        }
        let before = self.standings.iter().filter(|(_, s)| is_suspect(s));
        let is_cleared = |f| standings.get(f) < Some(&Standing::Suspect);
        for (fingerprint, _) in before.filter(|(f, _)| is_cleared(f)) {
            log::info!(event = "suspect_cleared", fingerprint = fingerprint.to_string(); "a run with it went on, or its losses are too old");
        }
    }

    /// Drops moments in which a request with a verdict was lost, or one with such a part. They speak against
    /// nothing else.
    fn drop_explained(&mut self) {
        let (quarantined, verdicts) = (&self.quarantined, &self.verdicts);
        self.moments
            .retain(|m| !m.has_any(|f| quarantined.contains(f) || verdicts.contains(f)));
    }

    /// Returns the part to quarantine next and its last loss; `None` when there is none.
    fn convict(
        &self,
        now: clock::Millis,
        settle_time: clock::Millis,
    ) -> Option<(model::Fingerprint, verdicts::LastLoss)> {
        let evidence = self.evidence();
        let (part, against) = self.pending_verdict(&evidence)?;
        let since = self.since.get(&part)?;
        let is_settled = now >= *since + settle_time && now >= against.last_at + REPORT_TIME;
        let lost = verdicts::LastLoss {
            at: against.last_at,
            server: *against.servers.last()?,
            is_ended: against.ended >= MIN_ENDED,
        };
        is_settled.then_some((part, lost))
    }

    /// Returns the part against which there is enough evidence, if no likelier one explains the same
    /// losses.
    fn pending_verdict<'a>(
        &self,
        evidence: &'a sorted::Map<model::Fingerprint, moments::Evidence>,
    ) -> Option<(model::Fingerprint, &'a moments::Evidence)> {
        let suspects = evidence
            .iter()
            .filter(|(_, e)| e.moments >= SUSPECT_MOMENTS);
        let mut suspects: Vec<_> = suspects.collect();
        suspects.sort_by_key(|(f, e)| {
            let sound = self.sound.get(f).copied();
            let (moments, depth) = (std::cmp::Reverse(e.moments), std::cmp::Reverse(e.depth));
            (sound, moments, depth)
        });
        let mut ranked = suspects.iter().enumerate();
        let chosen = ranked.find(|(rank, (f, e))| {
            let mut likelier = suspects[..*rank].iter();
            e.is_enough()
                && self.is_presumed_guilty(f)
                && !likelier.any(|(other, o)| {
                    e.moments <= o.moments + 1
                        && self.moments_with_both(f, other) >= SUSPECT_MOMENTS
                })
        });
        chosen.map(|(_, (f, e))| (**f, *e))
    }

    /// Returns whether a fingerprint was never seen to go on, or lost its servers while its runs were the
    /// only ones.
    fn is_presumed_guilty(&self, fingerprint: &model::Fingerprint) -> bool {
        let probes_lost = self.probes_lost.get(fingerprint).copied();
        !self.sound.contains(fingerprint) || probes_lost.unwrap_or(0) >= MIN_PROBES_LOST
    }

    /// Counts the moments in which a run with both fingerprints was lost.
    fn moments_with_both(&self, a: &model::Fingerprint, b: &model::Fingerprint) -> usize {
        let has_both = |r: &moments::Run| r.fingerprints.contains(a) && r.fingerprints.contains(b);
        let moments = self.moments.iter();
        moments.filter(|m| m.runs.iter().any(has_both)).count()
    }

    /// Returns the evidence that no run has cleared, by part.
    fn evidence(&self) -> sorted::Map<model::Fingerprint, moments::Evidence> {
        let mut evidence: sorted::Map<model::Fingerprint, moments::Evidence> = sorted::Map::new();
        for moment in &self.moments {
            let servers = moment.servers();
            for (fingerprint, runs) in moment.runs_by_part().iter() {
                let sound = self.sound.get(fingerprint);
                let runs = runs.iter();
                let runs =
                    runs.filter(|(r, _)| sound.is_none_or(|begun_at| r.begun_at > *begun_at));
                let runs: Vec<&(&moments::Run, usize)> = runs.collect();
                let mut lost: Vec<u64> = runs.iter().map(|(r, _)| r.server).collect();
                lost.sort_unstable();
                lost.dedup();
                // Where most servers were lost without it, something else explains the moment.
                if lost.is_empty() || lost.len() * 2 < servers {
                    continue;
                }
                let against = evidence.get_or_insert_with(*fingerprint, moments::Evidence::default);
                against.moments += 1;
                against.ended += usize::from(moment.is_ended);
                against.last_at = against.last_at.max(moment.at);
                for (run, depth) in runs {
                    against.add(run, *depth);
                }
            }
        }
        evidence
    }
}

/// Returns the digest of a server's name that a [`Loss`] names.
pub fn server_digest(server: &id::BackendServerId) -> u64 {
    xxhash_rust::xxh3::xxh3_64(server.as_str().as_bytes())
}
