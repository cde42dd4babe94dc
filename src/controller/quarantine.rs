//! Detection of requests that crash backend servers: suspect after one loss, quarantined after two.
//!
//! A gateway records which requests run at which server. When a server is lost, each request that
//! ran there becomes a suspect, and the gateway proposes that to the replicated log. A suspect runs
//! again only after its first loss is in the log, so that every gateway recognises a resend of it.
//! The second loss quarantines the request; [`change::Config`] itself decides that when it applies
//! the log.
//!
//! Another gateway may act on an older configuration until its freshness lease ends. Therefore a
//! gateway that can't resume a lost request itself answers its caller only a lease length after
//! the loss is in the log; otherwise a quick resend through another gateway could crash a third
//! server.
//!
//! At most one suspect runs at a server at a time, so a suspect is never blamed for a loss that
//! another suspect caused. A suspect that runs to completion is cleared.

use crate::id;
use crate::macros;
use crate::sorted;
use crate::state::change;
use crate::state::model;

/// The maximum number of losses at one gateway that are not in the log yet.
///
/// If there are more, every request has to wait as if it had such a loss.
pub const MAX_PENDING: usize = 4_096;

macros::data! {copy
    /// Whether a request may run.
    pub enum Status {
        /// It may run.
        Clear,
        /// It may run at a server where no other suspect runs.
        Suspect,
        /// It must not run yet, because a loss is not in the log.
        Pending,
        /// It must not run, until an operator releases it.
        Quarantined,
    }
}

macros::data! {copy
    /// The consequence of the loss of a server for a request that ran there.
    pub enum Verdict {
        /// The request becomes a suspect; it may run again once that is in the log.
        Suspect,
        /// The request was a suspect already or is quarantined; it must not run again.
        Quarantine,
    }
}

macros::data! {
    /// A request that was running at a server when the server was lost.
    pub struct Loss {
        pub request: id::RequestId,
        pub verdict: Verdict,
        /// The report to propose as [`change::Change::Suspect`], with either verdict.
        pub report: model::LossReport,
    }
}

macros::data! {key
    struct RunId {
        request: id::RequestId,
        server: id::BackendServerId,
    }
}

macros::data! {copy
    struct Run {
        fingerprint: model::Fingerprint,
        /// The revision that the gateway had in force when it sent the request.
        revision: id::Revision,
    }
}

/// The running requests of one gateway, and its losses that are not in the log yet.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    running: sorted::Map<RunId, Run>,
    /// The losses that are not in the log yet, with the lost servers.
    pending: sorted::Map<model::Fingerprint, id::BackendServerId>,
    /// Whether a loss did not fit into `pending`.
    overflow: bool,
}

impl Quarantine {
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns whether a request may run.
    pub fn status(&self, cfg: &change::Config, fingerprint: model::Fingerprint) -> Status {
        if cfg.quarantined.contains(&fingerprint) {
            return Status::Quarantined;
        }
        if self.overflow || self.pending.contains(&fingerprint) {
            return Status::Pending;
        }
        if cfg.suspects.contains(&fingerprint) {
            return Status::Suspect;
        }
        Status::Clear
    }

    /// Records that a request is sent to a server; a request may run at several servers at once.
    ///
    /// # Panics
    ///
    /// Panics when the request's status is [`Status::Pending`] or [`Status::Quarantined`].
    pub fn request_sent(
        &mut self,
        cfg: &change::Config,
        fingerprint: model::Fingerprint,
        request: id::RequestId,
        server: &id::BackendServerId,
    ) {
        let status = self.status(cfg, fingerprint);
        assert!(
            matches!(status, Status::Clear | Status::Suspect),
            "a pending or quarantined request was sent"
        );
        let run_id = RunId {
            request,
            server: server.clone(),
        };
        let run = Run {
            fingerprint,
            revision: cfg.revision,
        };
        self.running.insert(run_id, run);
    }

    /// Records that a request no longer runs at one of its servers, which was not lost.
    pub fn request_left(&mut self, request: id::RequestId, server: &id::BackendServerId) {
        self.running.remove(&RunId {
            request,
            server: server.clone(),
        });
    }

    /// Records that a request has ended; returns the change to propose if a suspect is cleared.
    ///
    /// `completed` must be true only if the servers ran the request to its end, and false if it was
    /// cancelled or refused.
    pub fn request_ended(
        &mut self,
        cfg: &change::Config,
        fingerprint: model::Fingerprint,
        request: id::RequestId,
        completed: bool,
    ) -> Option<change::Change> {
        self.running.retain(|run_id, _| run_id.request != request);
        let cleared = completed && cfg.suspects.contains(&fingerprint);
        cleared.then_some(change::Change::ClearSuspect(fingerprint))
    }

    /// Records the loss of a server and returns the losses of the requests that ran there.
    ///
    /// Their reports must be proposed together, and none of the requests may run again before
    /// [`Self::status`] allows it.
    pub fn server_lost(&mut self, cfg: &change::Config, server: &id::BackendServerId) -> Vec<Loss> {
        let mut losses = Vec::new();
        self.running.retain(|run_id, run| {
            if run_id.server != *server {
                return true;
            }
            losses.push(run.to_loss(cfg, run_id));
            false
        });
        for loss in &losses {
            self.add_pending(cfg, &loss.report);
        }
        losses
    }

    /// Records the loss of a server that only one request has noticed.
    ///
    /// Returns `None` when the request did not run there, or when its loss was recorded already.
    pub fn request_lost(
        &mut self,
        cfg: &change::Config,
        request: id::RequestId,
        server: &id::BackendServerId,
    ) -> Option<Loss> {
        let run_id = RunId {
            request,
            server: server.clone(),
        };
        let run = self.running.remove(&run_id)?;
        let loss = run.to_loss(cfg, &run_id);
        self.add_pending(cfg, &loss.report);
        Some(loss)
    }

    /// Applies a new configuration: losses that are in the log now are no longer pending.
    pub fn configure(&mut self, cfg: &change::Config) {
        self.pending.retain(|fingerprint, _| {
            !cfg.suspects.contains(fingerprint) && !cfg.quarantined.contains(fingerprint)
        });
        self.overflow &= !self.pending.is_empty();
    }

    /// Returns the number of losses that are not in the log yet.
    pub fn pending(&self) -> usize {
        self.pending.len()
    }

    fn add_pending(&mut self, cfg: &change::Config, report: &model::LossReport) {
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
    fn to_loss(self, cfg: &change::Config, run_id: &RunId) -> Loss {
        let report = model::LossReport {
            fingerprint: self.fingerprint,
            server: run_id.server.clone(),
            began: self.revision,
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
            request: run_id.request,
            verdict,
            report,
        }
    }
}
