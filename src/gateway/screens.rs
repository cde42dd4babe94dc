//! Requests that crash backend servers, as this gateway knows them.

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

/// The requests of this gateway that run, and the losses that wait for their record.
#[derive(Debug, Default)]
pub struct Screens {
    inner: sync::Mutex<quarantine::Quarantine>,
}

impl Screens {
    /// Tells whether a request may run, waiting while a loss of its own is not yet on record.
    ///
    /// Gives up after `patience` and says [`quarantine::Status::Pending`] then.
    pub async fn screen(
        &self,
        cx: &shared::Shared,
        fingerprint: model::Fingerprint,
        patience: clock::Millis,
    ) -> quarantine::Status {
        let mut rx = cx.subscribe();
        let decided = async {
            loop {
                let config = sync::Arc::clone(&rx.borrow_and_update());
                let screening = self.screen_by(&config, fingerprint);
                if screening != quarantine::Status::Pending || rx.changed().await.is_err() {
                    return screening;
                }
            }
        };
        time::timeout(patience.as_duration(), decided)
            .await
            .unwrap_or(quarantine::Status::Pending)
    }

    /// Notes that a request is sent to a server; `false` when it must not be.
    pub fn begin(
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

    fn screen_by(
        &self,
        config: &change::Config,
        fingerprint: model::Fingerprint,
    ) -> quarantine::Status {
        let mut inner = self.lock();
        inner.configure(config);
        inner.status(config, fingerprint)
    }

    /// Notes that a request has left a server that lives.
    pub fn leave(&self, request: id::RequestId, server: &id::BackendServerId) {
        self.lock().request_left(request, server);
    }

    /// Notes that a request has ended; `passed` tells that it got past the point of its loss.
    pub async fn end(
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

    /// Notes that a server was lost while it ran a request, and puts that on record.
    pub async fn lost(
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
        log::warn!("a suspect could not be recorded: {e}");
    }
}
