//! Servers in data centres that are being evacuated.

use crate::clock;
use crate::document;
use crate::fleet::evacuation;
use crate::id;
use crate::router::availability;
use crate::router::balancer;

impl balancer::Balancer {
    /// Applies a notice of the evacuations unless this router knows a newer one; returns whether it did.
    pub fn set_evacuations(&mut self, notice: &evacuation::Notice) -> bool {
        self.evacuations.apply(notice)
    }

    /// Returns the revision of the evacuations in force; `None` before the first notice.
    pub fn evacuations_revision(&self) -> Option<evacuation::Revision> {
        self.evacuations.revision()
    }

    /// Returns whether the data centre of a picked server is being evacuated, also if the list names
    /// another one for the server by now.
    pub fn is_evacuated(&self, data_centre: &id::DataCentre) -> bool {
        self.evacuations.contains(data_centre)
    }

    /// Returns whether all servers that a request could go to are leaving or in evacuated data centres,
    /// and some in evacuated ones, so that it waits in vain.
    pub fn is_service_evacuated(
        &self,
        now: clock::Millis,
        service: &document::ServiceId,
        purpose: availability::Purpose,
        tried: &[id::BackendServerId],
    ) -> bool {
        if self.evacuations.is_empty() {
            return false;
        }
        let mut is_any_evacuated = false;
        for backend in self.matching(service, purpose, tried) {
            match self.with_news(backend, backend.availability.state(now)) {
                availability::State::Evacuated => is_any_evacuated = true,
                availability::State::Leaving => {}
                _ => return false,
            }
        }
        is_any_evacuated
    }
}
