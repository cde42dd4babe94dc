//! Single requests that crash the servers that run them, such as one that its caller sends again.
//!
//! Each is judged by its own losses. What it shares with others does not matter: a part of its prompt that no
//! other request has can't be told from the request, and what most servers lost at that moment may have
//! nothing to do with it.

use crate::clock;
use crate::fleet::crashes;
use crate::fleet::crashes::verdicts;
use crate::sorted;
use crate::state::model;

/// How long the losses of a request count that was lost once. Most are never sent again.
const FIRST_RETENTION: clock::Millis = clock::Millis::from_secs(120);

/// How long those of a suspect count after the last one. A request that is sent again after minutes may do as
/// much harm as one that is sent again at once.
const SUSPECT_RETENTION: clock::Millis = clock::Millis::from_secs(3_600);

/// How long it is known that a request went on, for losses that are reported later.
const SOUND_RETENTION: clock::Millis = clock::Millis::from_secs(5);

/// The most requests that are kept. Of those that were lost at one moment the oldest goes first, then of the
/// others.
const MAX_REQUESTS: usize = 4_096;

/// The losses of one request.
#[derive(Debug, Default)]
struct Losses {
    /// At most [`crashes::QUARANTINE_MOMENTS`], the first ones.
    moments: Vec<Moment>,
    last_at: clock::Millis,
    last_server: u64,
    /// When the last run that went on began.
    sound: Option<clock::Millis>,
    /// Since when the request is a suspect.
    suspect_since: Option<clock::Millis>,
}

#[derive(Clone, Copy, Debug)]
struct Moment {
    at: clock::Millis,
    server: u64,
    begun_at: clock::Millis,
    /// Whether the server was found to have ended.
    is_ended: bool,
}

/// The requests that were lost with a server.
#[derive(Debug, Default)]
pub(super) struct Requests(sorted::Map<model::Fingerprint, Losses>);

impl Requests {
    /// Records that a run that began at `begun_at` was lost with a server.
    pub fn record_loss(
        &mut self,
        request: model::Fingerprint,
        at: clock::Millis,
        server: u64,
        begun_at: clock::Millis,
    ) {
        let losses = self.0.get_or_insert_with(request, Losses::default);
        losses.add(Moment {
            at,
            server,
            begun_at,
            is_ended: false,
        });
        if self.0.len() > MAX_REQUESTS {
            let oldest = self
                .0
                .iter()
                .min_by_key(|(_, l)| (l.is_suspect(), l.last_at));
            if let Some(request) = oldest.map(|(request, _)| *request) {
                self.0.remove(&request);
                metrics::counter!("buckthorncleat_crash_requests_dropped_total").increment(1);
            }
        }
    }

    /// Records that a run which began at `begun_at` went on.
    pub fn record_sound(&mut self, request: &model::Fingerprint, begun_at: clock::Millis) {
        if let Some(losses) = self.0.get_mut(request) {
            losses.sound = losses.sound.max(Some(begun_at));
            losses.moments.retain(|m| m.begun_at > begun_at);
            if !losses.is_suspect() {
                losses.suspect_since = None;
            }
        }
    }

    /// Records that a server was found to have ended.
    pub fn record_ended(&mut self, now: clock::Millis, server: u64) {
        let moments = self.0.values_mut().flat_map(|l| &mut l.moments);
        let is_here = |m: &&mut Moment| m.server == server && now < m.at + verdicts::MAX_END_DELAY;
        for moment in moments.filter(is_here) {
            moment.is_ended = true;
        }
    }

    /// Forgets a request that was released.
    pub fn remove(&mut self, request: &model::Fingerprint) {
        self.0.remove(request);
    }

    /// Drops losses that are too old, and notes which requests are suspects from now on.
    pub fn update(&mut self, now: clock::Millis) {
        self.0.retain(|_, losses| {
            if losses.is_suspect() {
                losses.suspect_since.get_or_insert(now);
                return now < losses.last_at + SUSPECT_RETENTION;
            }
            now < losses.last_at + FIRST_RETENTION
                || losses.sound.is_some_and(|at| now < at + SOUND_RETENTION)
        });
    }

    /// Takes the requests against which there is enough evidence, `settle_time` after they became suspects,
    /// with the last loss of each.
    pub fn convict(
        &mut self,
        now: clock::Millis,
        settle_time: clock::Millis,
    ) -> Vec<(model::Fingerprint, verdicts::LastLoss)> {
        let is_due = |l: &Losses| {
            l.is_enough()
                && l.suspect_since.is_some_and(|at| now >= at + settle_time)
                && l.moments.iter().all(|m| now >= m.at + crashes::REPORT_TIME)
        };
        let due = self.0.iter().filter(|(_, l)| is_due(l));
        let due: Vec<_> = due.map(|(request, l)| (*request, l.last_loss())).collect();
        for (request, _) in &due {
            self.0.remove(request);
        }
        due
    }

    /// Returns whether there is enough evidence against a request, whose verdict comes when all routers have
    /// reported.
    pub fn is_pending(&self, request: &model::Fingerprint) -> bool {
        self.0.get(request).is_some_and(Losses::is_enough)
    }

    /// Returns the requests whose runs must be the only ones, with the number of moments.
    pub fn suspects(&self) -> impl Iterator<Item = (&model::Fingerprint, usize)> {
        let suspects = self.0.iter().filter(|(_, l)| l.is_suspect());
        suspects.map(|(request, l)| (request, l.moments.len()))
    }
}

impl Losses {
    fn add(&mut self, moment: Moment) {
        let is_known = self.moments.iter().any(|m| m.is_same(&moment));
        if is_known || self.sound.is_some_and(|at| moment.begun_at <= at) {
            return;
        }
        if moment.at >= self.last_at {
            self.last_at = moment.at;
            self.last_server = moment.server;
        }
        if !self.is_enough() {
            self.moments.push(moment);
        }
    }

    fn is_suspect(&self) -> bool {
        self.moments.len() >= crashes::SUSPECT_MOMENTS
    }

    fn is_enough(&self) -> bool {
        self.moments.len() >= crashes::QUARANTINE_MOMENTS
    }

    fn last_loss(&self) -> verdicts::LastLoss {
        let ended = self.moments.iter().filter(|m| m.is_ended).count();
        verdicts::LastLoss {
            at: self.last_at,
            server: self.last_server,
            is_ended: ended >= crashes::MIN_ENDED,
        }
    }
}

impl Moment {
    /// Returns whether another loss has the same cause or is the same one.
    fn is_same(&self, other: &Self) -> bool {
        let distance = self.at.max(other.at) - self.at.min(other.at);
        distance <= crashes::MOMENT
            || distance <= crashes::NOTICE_TIME && self.server == other.server
    }
}
