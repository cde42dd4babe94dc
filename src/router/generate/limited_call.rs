//! When a stream uses a decode server that limits its calls.

use crate::clock;
use crate::router::balancer;
use crate::router::generate;
use crate::router::limited;
use crate::router::prefill;

impl generate::StreamRequest {
    /// Returns the limited decode servers of which one is preferred to the server that was picked
    /// without a permit, or to none, and what the call needs; `None` when there is no such server.
    pub(super) fn limited_call(
        &self,
        picked: &Result<balancer::Pick, balancer::PickError>,
        limited: Vec<balancer::Pick>,
        max_wait: clock::Millis,
    ) -> Option<(Vec<balancer::Pick>, limited::Need)> {
        let servers = match picked {
            _ if limited.is_empty() => return None,
            Err(_) => limited,
            Ok(pick) => {
                let percent = pick.utilisation_percent;
                let core = &self.req.core;
                limited::to_call_beside(core, &limited, |p| p.utilisation_percent <= percent)?
            }
        };
        let earliest = self.predicted_prefill();
        let wait = if picked.is_err() {
            max_wait
        } else {
            clock::Millis::ZERO
        };
        let need = limited::Need {
            earliest,
            latest: earliest + wait,
            refuses: false,
        };
        Some((servers, need))
    }

    /// Returns the predicted time of the prefill that is still to be done at a prefill server.
    fn predicted_prefill(&self) -> clock::Millis {
        if self.attempts > 0 || self.export.is_some() {
            return clock::Millis::ZERO;
        }
        let prompt = self.req.caller.generation.unwrap_or_default().prompt;
        let now = self.req.core.clock.now();
        let service = &self.req.service.id;
        let balancer = self.req.core.balancer();
        let picked = balancer.pick_prefill(now, service, prompt, &[], rand::random());
        let time = picked.map(|p| p.time).unwrap_or_default();
        if time > prefill::MAX_PREDICTED_PREFILL {
            clock::Millis::ZERO
        } else {
            time
        }
    }
}
