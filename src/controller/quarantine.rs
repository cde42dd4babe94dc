//! Requests that crash backend servers: suspected after one loss, stopped after the second.
//!
//! A gateway notes which requests run at which server. When a server is lost, each request that
//! ran there becomes a suspect, and the gateway proposes that to the replicated log. A suspect
//! runs again only once its first loss is on record, so a resend through any gateway is known as
//! one there. The second loss quarantines it, decided by [`change::Config`] itself.
//!
//! Another gateway may act on an older configuration until its freshness lease ends. So a gateway
//! that can't go on with a lost request itself tells its caller only a lease after the record;
//! otherwise a quick resend elsewhere may cost a third server.
//!
//! Suspects run one at a time at a server, so a suspect is never blamed for a loss that another
//! suspect caused. One that runs to its end is cleared.

use crate::id;
use crate::macros;
use crate::sorted;
use crate::state::change;
use crate::state::model;

/// The most losses that wait for their record at one gateway.
///
/// When there are more, every request waits as if it had a loss without a record.
pub const MAX_PENDING: usize = 4_096;

macros::data! {copy
    /// What a request may do.
    pub enum Screening {
        /// It may run.
        Clear,
        /// It may run alone among suspects at its server.
        Suspect,
        /// It must not run yet: a loss is not on record.
        Pending,
        /// It must not run.
        Quarantined,
    }
}

macros::data! {copy
    /// What the loss of a server means for a request that ran there.
    pub enum Verdict {
        /// The request is a suspect; it may run again once that is on record.
        Suspect,
        /// The request was a suspect before; it must not run again.
        Quarantine,
    }
}

macros::data! {
    /// A request that was running at a server when the server was lost.
    pub struct Loss {
        /// The request.
        pub request: id::RequestId,
        /// What it means for the request.
        pub verdict: Verdict,
        /// The report to propose as [`change::Change::Suspect`], also for a quarantine.
        pub report: model::Suspicion,
    }
}

macros::data! {key
    struct Place {
        request: id::RequestId,
        server: id::BackendServerId,
    }
}

macros::data! {copy
    struct Run {
        fingerprint: model::Fingerprint,
        began: id::Revision,
    }
}

/// The running requests of one gateway, and its losses that are not on record yet.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    running: sorted::Map<Place, Run>,
    pending: sorted::Map<model::Fingerprint, id::BackendServerId>,
    overflow: bool,
}

impl Quarantine {
    /// Starts without any request.
    pub fn new() -> Self {
        Self::default()
    }

    /// Tells what a request may do.
    pub fn screen(&self, cfg: &change::Config, fingerprint: model::Fingerprint) -> Screening {
        if cfg.quarantined.contains(&fingerprint) {
            return Screening::Quarantined;
        }
        if self.overflow || self.pending.contains(&fingerprint) {
            return Screening::Pending;
        }
        if cfg.suspects.contains(&fingerprint) {
            return Screening::Suspect;
        }
        Screening::Clear
    }

    /// Notes that a request is sent to a server; a request may run at several servers at once.
    ///
    /// # Panics
    ///
    /// Panics when the request must not run.
    pub fn began(
        &mut self,
        cfg: &change::Config,
        fingerprint: model::Fingerprint,
        request: id::RequestId,
        server: &id::BackendServerId,
    ) {
        let screening = self.screen(cfg, fingerprint);
        assert!(
            matches!(screening, Screening::Clear | Screening::Suspect),
            "a request that may crash servers was sent"
        );
        let place = Place {
            request,
            server: server.clone(),
        };
        let run = Run {
            fingerprint,
            began: cfg.revision,
        };
        self.running.insert(place, run);
    }

    /// Notes that a request has left one of its servers, which lives.
    pub fn left(&mut self, request: id::RequestId, server: &id::BackendServerId) {
        self.running.remove(&Place {
            request,
            server: server.clone(),
        });
    }

    /// Notes that a request has ended; returns the change to propose when it cleared itself.
    ///
    /// `whole` tells that the servers ran it to its end, not that it was cancelled or refused.
    pub fn ended(
        &mut self,
        cfg: &change::Config,
        fingerprint: model::Fingerprint,
        request: id::RequestId,
        whole: bool,
    ) -> Option<change::Change> {
        self.running.retain(|place, _| place.request != request);
        let cleared = whole && cfg.suspects.contains(&fingerprint);
        cleared.then_some(change::Change::ClearSuspect(fingerprint))
    }

    /// Notes that a server was lost; returns the requests that ran there.
    ///
    /// Propose their reports together, and run none of them again before [`Self::screen`] allows
    /// it.
    pub fn server_lost(&mut self, cfg: &change::Config, server: &id::BackendServerId) -> Vec<Loss> {
        let mut losses = Vec::new();
        self.running.retain(|place, run| {
            if place.server != *server {
                return true;
            }
            losses.push(run.to_loss(cfg, place));
            false
        });
        for loss in &losses {
            self.await_record(cfg, &loss.report);
        }
        losses
    }

    /// Notes that a server was lost to one request, as that request alone can tell.
    ///
    /// Returns `None` when the request did not run there, or when its loss was noted before.
    pub fn request_lost(
        &mut self,
        cfg: &change::Config,
        request: id::RequestId,
        server: &id::BackendServerId,
    ) -> Option<Loss> {
        let place = Place {
            request,
            server: server.clone(),
        };
        let run = self.running.remove(&place)?;
        let loss = run.to_loss(cfg, &place);
        self.await_record(cfg, &loss.report);
        Some(loss)
    }

    /// Takes in a new configuration: losses that are on record now need not be waited for.
    pub fn configure(&mut self, cfg: &change::Config) {
        self.pending.retain(|fingerprint, _| {
            !cfg.suspects.contains(fingerprint) && !cfg.quarantined.contains(fingerprint)
        });
        self.overflow &= !self.pending.is_empty();
    }

    /// Returns the number of losses that wait for their record.
    pub fn pending(&self) -> usize {
        self.pending.len()
    }

    fn await_record(&mut self, cfg: &change::Config, report: &model::Suspicion) {
        if cfg.quarantined.contains(&report.fingerprint) {
            return;
        }
        if self.pending.len() >= MAX_PENDING {
            self.overflow = true;
            return;
        }
        self.pending
            .insert(report.fingerprint, report.server.clone());
    }
}

impl Run {
    fn to_loss(self, cfg: &change::Config, place: &Place) -> Loss {
        let report = model::Suspicion {
            fingerprint: self.fingerprint,
            server: place.server.clone(),
            began: self.began,
        };
        let is_second = cfg
            .suspects
            .get(&self.fingerprint)
            .is_some_and(|first| first.is_other_loss(&report));
        let verdict = if is_second || cfg.quarantined.contains(&self.fingerprint) {
            Verdict::Quarantine
        } else {
            Verdict::Suspect
        };
        Loss {
            request: place.request,
            verdict,
            report,
        }
    }
}
