//! Picks the server for calls to plain services, by the health that this gateway has observed.

use std::sync;

use crate::clock;
use crate::controller::outlier;
use crate::gateway::shared;
use crate::id;
use crate::state::model;

/// The health of the servers of plain services, and the retry budget.
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
    /// Picks the server for a call of a route.
    ///
    /// Returns `None` when no server of the route is in service and not yet `tried`.
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

    /// Counts a request, which is no retry, towards the retry budget.
    pub fn record_request(&self) {
        self.lock().budget.record_request();
    }

    /// Takes one retry from the budget; returns `false` when there is none left.
    pub fn try_retry(&self) -> bool {
        self.lock().budget.try_retry()
    }

    /// Records that a call begins; it ends when the returned value is dropped.
    ///
    /// A call that is dropped without a result counts as failed if it took `slow_after` or longer.
    pub fn begin<'a>(
        &'a self,
        cx: &'a shared::Shared,
        server: &id::BackendServerId,
        slow_after: clock::Millis,
    ) -> RunningCall<'a> {
        self.lock().outliers.call_started(server);
        RunningCall {
            cx,
            server: server.clone(),
            began: cx.clock.now(),
            slow_after,
            ok: None,
        }
    }

    fn lock(&self) -> sync::MutexGuard<'_, Inner> {
        self.inner
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}

/// A call that is running at a server of a plain service.
#[derive(Debug)]
pub struct RunningCall<'a> {
    cx: &'a shared::Shared,
    server: id::BackendServerId,
    began: clock::Millis,
    slow_after: clock::Millis,
    ok: Option<bool>,
}

impl RunningCall<'_> {
    /// Ends the call; `ok` says whether the server answered without a fault.
    pub fn finish(mut self, ok: bool) {
        self.ok = Some(ok);
    }
}

impl Drop for RunningCall<'_> {
    /// Records the end of the call; one without a result counts as failed only if it was slow.
    fn drop(&mut self) {
        let now = self.cx.clock.now();
        let ok = self.ok.unwrap_or(now - self.began < self.slow_after);
        self.cx
            .services
            .lock()
            .outliers
            .call_ended(now, &self.server, ok);
    }
}
