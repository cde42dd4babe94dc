//! Where a stream began, and the servers that it may go on at.

use crate::fleet::origin;
use crate::id;
use crate::router::balancer;
use crate::router::generate;

impl generate::StreamRequest {
    /// Records where the stream began, before its first event goes to the caller.
    ///
    /// # Panics
    ///
    /// Panics if the stream began at another software version.
    pub fn record_origin(&mut self, pick: &balancer::Pick) {
        let core = &self.req.core;
        let origin = self.origin.get_or_insert_with(|| origin::Origin {
            service: self.req.service.id.clone(),
            version: pick.version.clone(),
        });
        assert_eq!(
            origin.version, pick.version,
            "a stream goes on only at the software version that began it"
        );
        let ends_by = self.req.received_at + self.req.route.time_limit;
        let now = core.clock.now();
        let mut origins = core.origins();
        for id in &self.stream_ids {
            origins.record(now, *id, origin.clone(), ends_by);
        }
        drop(origins);
        core.origins_due.notify_one();
    }

    /// Returns where the stream began; `None` before its first event.
    pub const fn origin(&self) -> Option<&origin::Origin> {
        self.origin.as_ref()
    }

    /// Returns the servers that the request must not be sent to: those that were tried, and those of
    /// another software version than the one that began the stream, or that may have another one since
    /// they could not be reached.
    pub(super) fn excluded(&self) -> Vec<id::BackendServerId> {
        let mut excluded = self.tried.clone();
        if let Some(origin) = &self.origin {
            let balancer = self.req.core.balancer();
            let version = origin.version.as_ref();
            excluded.extend(balancer.servers_of_other_versions(&origin.service, version));
            excluded.extend(balancer.servers_of_uncertain_version(&origin.service));
        }
        excluded
    }

    /// Returns whether the stream may go on at a server that was picked. The list may have changed after
    /// [`Self::excluded`] looked at it.
    pub(super) fn may_go_on_at(&self, pick: &balancer::Pick) -> bool {
        let origin = self.origin.as_ref();
        origin.is_none_or(|o| o.version == pick.version)
    }
}
