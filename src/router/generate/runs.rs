//! Whether a stream may run, and how its runs went, as far as requests crash servers.

use crate::clock;
use crate::http::progress;
use crate::router::balancer;
use crate::router::generate;
use crate::router::in_flight;
use crate::router::request;
use crate::router::run_gate;
use crate::router::upstream;

use request::Refusal;

/// A run that lasts this long after its first event does not crash its server.
const SOUND_TIME: clock::Millis = clock::Millis::new(600);

impl generate::StreamRequest {
    /// Waits until the request may run, as far as it or a part of its prompt may crash servers.
    pub(super) async fn admit_run(&mut self, deadline: clock::Millis) -> Result<(), Refusal> {
        if std::mem::take(&mut self.must_report) {
            run_gate::wait_until_reported(&self.req.core).await;
        }
        let now = self.req.core.clock.now();
        if self.probe_until.is_none_or(|until| now >= until) {
            let admitted = run_gate::admit(&self.req.core, &self.req.fingerprints, deadline);
            self.probe_until = admitted.await?;
        }
        Ok(())
    }

    /// Records that the run goes on, once that is certain: some time after its first event.
    pub fn record_progress(&mut self, first_event_at: clock::Millis) {
        let now = self.req.core.clock.now();
        if !self.is_sound && now >= first_event_at + SOUND_TIME {
            self.is_sound = true;
            self.req.record_sound(self.begun_at);
        }
    }

    /// Records that the run has come to its end.
    pub fn record_end(&mut self, pick: &balancer::Pick, framing: progress::Framing) {
        if !self.is_sound {
            self.is_sound = true;
            self.req.record_end(pick, self.begun_at, framing);
        }
    }

    /// Records that a server was lost while it ran the request.
    pub fn record_lost_server(
        &mut self,
        pick: &balancer::Pick,
        guard: in_flight::Guard,
        failure: upstream::Failure,
    ) {
        guard.finish(balancer::Outcome::Lost);
        self.probe_until = None;
        let (begun_at, is_sound) = (self.begun_at, self.is_sound);
        self.must_report |= self.req.record_loss(pick, begun_at, is_sound, failure);
        self.log_lost(pick, failure);
    }
}
