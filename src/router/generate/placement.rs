//! Finds a decode server for a stream and reserves capacity there.

use tokio::time;

use crate::clock;
use crate::fleet::message;
use crate::id;
use crate::router::availability;
use crate::router::balancer;
use crate::router::generate;
use crate::router::in_flight;
use crate::router::limited;
use crate::router::output;
use crate::router::request;
use crate::router::reserve;
use crate::router::retry_after;
use crate::unit;

use generate::Placement;
use request::Refusal;

/// Bit set in the priority of requests that have already missed their latency target, so that they
/// delay no other request.
const PAST_TARGET_PRIORITY: u16 = 1 << 15;

/// Longest time between two searches for a decode server. Capacity that other routers free causes
/// no wake-up here.
const POLL_INTERVAL: clock::Millis = clock::Millis::new(40);

impl generate::StreamRequest {
    /// Finds a decode server and reserves capacity there; `None` means that the search must be
    /// repeated.
    pub(super) async fn find_placement(
        &mut self,
        deadline: clock::Millis,
    ) -> Result<Option<Placement>, Refusal> {
        let (pick, guard) = self.wait_for_server(deadline).await?;
        if !self.may_go_on_at(&pick) {
            guard.finish(balancer::Outcome::Neutral);
            return Ok(None);
        }
        self.reservation_calls += 1;
        let req = &self.req;
        let memory = guard.load().memory;
        let growth = req.core.tokens_per_event().mean_output();
        let required = output::required_memory(memory, growth, &req.service);
        let reserved = reserve::reserve(&req.core, &req.service, &pick, memory, required).await;
        let reservation = match reserved {
            reserve::Outcome::Reserved(reservation) => Some(reservation),
            reserve::Outcome::Unsupported => None,
            reserve::Outcome::Full => {
                guard.finish(balancer::Outcome::Neutral);
                req.core.mark_full(&pick.id);
                return Ok(None);
            }
            reserve::Outcome::Withdrawn => return Ok(None),
            reserve::Outcome::Misdirected => {
                guard.finish(balancer::Outcome::Neutral);
                req.core.mark_misdirected(&pick.id);
                return Ok(None);
            }
            reserve::Outcome::Lost(failure) => {
                self.log_attempt_failed(&pick, availability::Purpose::Reserve, failure);
                guard.finish(failure.outcome());
                self.connect_failures += 1;
                self.tried.push(pick.id);
                return Ok(None);
            }
        };
        Ok(Some(Placement {
            pick,
            guard,
            reservation,
        }))
    }

    /// Waits until `deadline` for a decode server with free capacity, in the order of priority.
    async fn wait_for_server(
        &self,
        deadline: clock::Millis,
    ) -> Result<(balancer::Pick, in_flight::Guard), Refusal> {
        let req = &self.req;
        let load = self.decode_load();
        let has_begun = self.has_begun();
        let past_target = req.is_resend() && !has_begun;
        let priority = match (has_begun, past_target) {
            (true, _) => 0,
            (false, true) => req.priority | PAST_TARGET_PRIORITY,
            (false, false) => req.priority,
        };
        let requirements = balancer::Requirements {
            memory: load.memory,
            past_target,
        };
        let queued = req.core.enqueue(&req.service.id, priority);
        loop {
            let now = req.core.clock.now();
            // Register for notification before the search, so that no change in between is missed.
            let freed = req.core.capacity_freed.notified();
            let excluded = self.excluded();
            let (mut picked, limited) = if queued.is_first() {
                let balancer = req.core.balancer();
                let service = &req.service;
                (
                    balancer.pick_decode(now, service, requirements, &excluded, rand::random()),
                    balancer.limited_decode(now, service, requirements, &excluded),
                )
            } else {
                (Err(self.error_in_queue(now, &excluded)), Vec::new())
            };
            let is_limited = picked == Err(balancer::PickError::Limited);
            if let Some((limited, need)) = self.limited_call(&picked, limited, deadline - now) {
                match limited::acquire(&req.core, &limited, need, req.log_id()).await {
                    Ok(pick) => picked = Ok(pick),
                    Err(denial) if is_limited && denial.next_at > deadline => {
                        let denial = limited::refuse(&req.core, &limited, denial, req.log_id());
                        return Err(Refusal::limited(denial));
                    }
                    Err(_) => {}
                }
            }
            match picked {
                Ok(pick) => {
                    let guard = in_flight::Guard::new(&req.core, &pick.id, load);
                    return Ok((pick, guard));
                }
                Err(balancer::PickError::Quiet { until }) if until.max(now) < deadline => {}
                Err(balancer::PickError::Full | balancer::PickError::Limited) if now < deadline => {
                }
                Err(error) => {
                    if error == balancer::PickError::Full {
                        self.log_no_room(now, load.memory);
                    }
                    return Err(Refusal::no_server(
                        now,
                        error,
                        retry_after::Cause::StreamsFull,
                    ));
                }
            }
            let wait = POLL_INTERVAL.min(deadline - now).max(clock::Millis::new(1));
            // A timeout also starts the next search.
            let _ = time::timeout(wait.as_duration(), freed).await;
        }
    }

    /// Returns why a request that is not first in the queue gets no server now. It does not wait for its
    /// turn when all servers that it could use are in evacuated data centres.
    fn error_in_queue(
        &self,
        now: clock::Millis,
        excluded: &[id::BackendServerId],
    ) -> balancer::PickError {
        let purpose = availability::Purpose::Decode;
        let service = &self.req.service.id;
        let balancer = self.req.core.balancer();
        if balancer.is_service_evacuated(now, service, purpose, excluded) {
            balancer::PickError::Evacuated
        } else {
            balancer::PickError::Full
        }
    }

    pub(super) fn decode_load(&self) -> message::Load {
        let generation = self.req.caller.generation.unwrap_or_default();
        message::Load {
            requests: 1,
            memory: balancer::memory_for(generation.prompt, output::expected_output(generation)),
            prompts: unit::Tokens::new(0),
        }
    }
}
