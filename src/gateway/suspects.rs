//! Requests that may crash backend servers, as this gateway knows them.
//!
//! [`quarantine`] describes the rules; this module feeds it and proposes what it finds.

use std::sync;

use tokio::time;

use crate::clock;
use crate::controller::quarantine;
use crate::event;
use crate::gateway::shared;
use crate::id;
use crate::state::change;
use crate::state::command;
use crate::state::model;

/// The running requests of this gateway, and the losses that are not yet committed.
#[derive(Debug, Default)]
pub struct Suspects {
    inner: sync::Mutex<quarantine::Quarantine>,
}

impl Suspects {
    /// Returns whether a request may run, and waits while a loss of its own is not yet committed.
    ///
    /// Returns [`quarantine::Status::Pending`] when that takes longer than `max_wait`.
    pub async fn wait_for_status(
        &self,
        cx: &shared::Shared,
        fingerprint: model::Fingerprint,
        max_wait: clock::Millis,
    ) -> quarantine::Status {
        let mut rx = cx.subscribe();
        let decided = async {
            loop {
                let config = sync::Arc::clone(&rx.borrow_and_update());
                let status = self.status_by(&config, fingerprint);
                if status != quarantine::Status::Pending || rx.changed().await.is_err() {
                    return status;
                }
            }
        };
        time::timeout(max_wait.as_duration(), decided)
            .await
            .unwrap_or(quarantine::Status::Pending)
    }

    /// Records that a request runs at a server, or returns `false` when it must not run now.
    pub fn start_request(
        &self,
        cx: &shared::Shared,
        fingerprint: model::Fingerprint,
        request: id::RequestId,
        server: &id::BackendServerId,
    ) -> bool {
        let config = cx.config();
        let mut inner = self.lock();
        inner.configure(&config);
        let allowed = matches!(
            inner.status(&config, fingerprint),
            quarantine::Status::Clear | quarantine::Status::Suspect
        );
        if allowed {
            inner.request_sent(&config, fingerprint, request, server);
        }
        allowed
    }

    fn status_by(
        &self,
        config: &change::Config,
        fingerprint: model::Fingerprint,
    ) -> quarantine::Status {
        let mut inner = self.lock();
        inner.configure(config);
        inner.status(config, fingerprint)
    }

    /// Records that a request no longer runs at a server, which is not lost.
    pub fn request_left(&self, request: id::RequestId, server: &id::BackendServerId) {
        self.lock().request_left(request, server);
    }

    /// Records that a request has ended. If it `passed` the point where it may have lost a server,
    /// proposes to clear it as a suspect.
    pub async fn request_ended(
        &self,
        cx: &shared::Shared,
        fingerprint: model::Fingerprint,
        request: id::RequestId,
        passed: bool,
    ) {
        let cleared = self
            .lock()
            .request_ended(&cx.config(), fingerprint, request, passed);
        if let Some(change) = cleared {
            propose(cx, change).await;
        }
    }

    /// Records that a server was lost while it ran a request, and proposes it as a suspect.
    ///
    /// Does nothing when the request did not run there or its loss was reported before.
    pub async fn report_loss(
        &self,
        cx: &shared::Shared,
        request: id::RequestId,
        server: &id::BackendServerId,
    ) {
        let loss = self.lock().request_lost(&cx.config(), request, server);
        let Some(loss) = loss else {
            return;
        };
        let detail = format!("{:?} {} at {server}", loss.verdict, loss.report.fingerprint);
        cx.recorder
            .record_request(event::Kind::Quarantined, request, detail);
        propose(cx, change::Change::Suspect(loss.report)).await;
    }

    fn lock(&self) -> sync::MutexGuard<'_, quarantine::Quarantine> {
        self.inner
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}

async fn propose(cx: &shared::Shared, change: change::Change) {
    let command = command::Command::System(vec![change]);
    if let Err(e) = cx.control.propose(&cx.links, command).await {
        log::warn!("a change of the suspects was not committed: {e}");
    }
}
