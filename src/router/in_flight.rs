//! Counts requests in flight in the load of their server.

use std::sync;

use crate::fleet::message;
use crate::id;
use crate::router::balancer;
use crate::router::core;
use crate::unit;

/// A request in flight at a server. Dropping it without [`Self::finish`] counts as
/// [`balancer::Outcome::Neutral`].
pub struct Guard {
    core: sync::Arc<core::Core>,
    server: id::BackendServerId,
    load: message::Load,
    finished: bool,
}

impl Guard {
    /// Adds the load to the server.
    pub fn new(
        core: &sync::Arc<core::Core>,
        server: &id::BackendServerId,
        load: message::Load,
    ) -> Self {
        core.balancer().add_load(server, load);
        Self {
            core: sync::Arc::clone(core),
            server: server.clone(),
            load,
            finished: false,
        }
    }

    pub fn load(&self) -> message::Load {
        self.load
    }

    /// Raises the counted memory to `memory`; a lower value changes nothing.
    pub fn grow(&mut self, memory: unit::Tokens) {
        let more = memory.saturating_sub(self.load.memory);
        if more == unit::Tokens::new(0) {
            return;
        }
        self.load.memory = memory;
        let load = message::Load {
            memory: more,
            ..message::Load::default()
        };
        self.core.balancer().add_load(&self.server, load);
    }

    /// Removes the load and records the outcome.
    pub fn finish(mut self, outcome: balancer::Outcome) {
        self.release(outcome);
    }

    fn release(&mut self, outcome: balancer::Outcome) {
        self.finished = true;
        let now = self.core.clock.now();
        let mut balancer = self.core.balancer();
        balancer.remove_load(now, &self.server, self.load, outcome);
        drop(balancer);
        self.core.capacity_freed.notify_waiters();
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        if !self.finished {
            self.release(balancer::Outcome::Neutral);
        }
    }
}
