//! The plain services as this gateway sees them: which one takes the next call.

use std::sync;

use crate::clock;
use crate::controller::outlier;
use crate::gateway::shared;
use crate::id;
use crate::state::model;

/// The health of the plain services, and the budget for second calls.
#[derive(Debug, Default)]
pub struct Services {
    inner: sync::Mutex<Inner>,
}

#[derive(Debug)]
struct Inner {
    outliers: outlier::Outliers,
    budget: outlier::RetryBudget,
}

impl Default for Inner {
    fn default() -> Self {
        Self {
            outliers: outlier::Outliers::new(),
            budget: outlier::RetryBudget::new(),
        }
    }
}

impl Services {
    /// Picks the server for a call of a route, or `None` when all are tried or out.
    pub fn pick(
        &self,
        cx: &shared::Shared,
        route: &model::Route,
        tried: &[id::BackendServerId],
    ) -> Option<model::BackendServer> {
        let config = cx.config();
        let in_service: Vec<_> = config
            .servers
            .values()
            .filter(|s| s.state == model::ServerState::InService)
            .filter(|s| s.routes.contains(&route.id) && !cx.platform.is_leaving(&s.id))
            .map(|s| s.id.clone())
            .collect();
        let now = cx.clock.now();
        let picked = self
            .lock()
            .outliers
            .pick(now, &in_service, tried, rand::random())?;
        config.servers.get(&picked).cloned()
    }

    /// Notes a request that is no retry.
    pub fn note_request(&self) {
        self.lock().budget.record_request();
    }

    /// Takes one second call from the budget, if there is one.
    pub fn try_retry(&self) -> bool {
        self.lock().budget.try_retry()
    }

    /// Notes that a call begins; it ends when the returned value is dropped.
    pub fn begin<'a>(
        &'a self,
        cx: &'a shared::Shared,
        server: &id::BackendServerId,
        patience: clock::Millis,
    ) -> Running<'a> {
        self.lock().outliers.call_started(server);
        Running {
            cx,
            server: server.clone(),
            began: cx.clock.now(),
            patience,
            ok: None,
        }
    }

    fn lock(&self) -> sync::MutexGuard<'_, Inner> {
        self.inner
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}

/// A call that runs at a plain service.
#[derive(Debug)]
pub struct Running<'a> {
    cx: &'a shared::Shared,
    server: id::BackendServerId,
    began: clock::Millis,
    patience: clock::Millis,
    ok: Option<bool>,
}

impl Running<'_> {
    /// Notes how the server did.
    pub fn finish(mut self, ok: bool) {
        self.ok = Some(ok);
    }
}

impl Drop for Running<'_> {
    /// A call that is given up counts against its server only when the server was slow.
    fn drop(&mut self) {
        let now = self.cx.clock.now();
        let ok = self.ok.unwrap_or(now - self.began < self.patience);
        self.cx
            .services
            .lock()
            .outliers
            .call_ended(now, &self.server, ok);
    }
}
