//! The plain services as this gateway sees them: which one takes the next call.

use std::sync;

use crate::gateway::shared;
use crate::id;
use crate::sorted;
use crate::state::model;

/// The calls that run at each plain service, from this gateway.
#[derive(Debug, Default)]
pub struct Services {
    running: sync::Mutex<sorted::Map<id::BackendServerId, u32>>,
}

impl Services {
    /// Picks the server for the next call of a route, or `None` when all are tried or out.
    pub fn pick(
        &self,
        cx: &shared::Shared,
        route: &model::Route,
        tried: &[id::BackendServerId],
    ) -> Option<model::BackendServer> {
        let config = cx.config();
        let running = self.lock();
        config
            .servers
            .values()
            .filter(|s| s.state == model::ServerState::InService)
            .filter(|s| s.routes.contains(&route.id) && !tried.contains(&s.id))
            .min_by_key(|s| running.get(&s.id).copied().unwrap_or(0))
            .cloned()
    }

    /// Notes that a call begins; it ends when the returned value is dropped.
    pub fn begin(&self, server: &id::BackendServerId) -> Running<'_> {
        *self.lock().get_or_insert_with(server.clone(), || 0) += 1;
        Running {
            services: self,
            server: server.clone(),
        }
    }

    fn end(&self, server: &id::BackendServerId) {
        if let Some(running) = self.lock().get_mut(server) {
            *running = running.saturating_sub(1);
        }
    }

    fn lock(&self) -> sync::MutexGuard<'_, sorted::Map<id::BackendServerId, u32>> {
        self.running
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}

/// A call that runs at a plain service.
#[derive(Debug)]
pub struct Running<'a> {
    services: &'a Services,
    server: id::BackendServerId,
}

impl Drop for Running<'_> {
    fn drop(&mut self) {
        self.services.end(&self.server);
    }
}
