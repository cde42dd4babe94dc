//! Places waiting requests in the order of the objective, and makes their reservations.

use crate::config::settings;
use crate::controller::scheduler;
use crate::controller::scheduler::link;
use crate::controller::scheduler::message;
use crate::controller::scheduler::plan;
use crate::controller::scheduler::queue;
use crate::controller::scheduler::reservation;
use crate::controller::scheduler::server;
use crate::state::model;

/// The most waiting requests that are tried in one round; the rest wait for the next round.
const MAX_REQUESTS_PER_ROUND: usize = 8;

/// Under the goodput objective, one in this many placements prefers the least-served account.
const FAIR_PLACEMENT_INTERVAL: u64 = 8;

impl scheduler::Scheduler {
    pub(super) fn place_waiting(&mut self) {
        while self.place_next() {}
    }

    pub(super) fn view<'a>(&'a self, model: &'a model::Model) -> plan::View<'a> {
        plan::View {
            now: self.now,
            fleet: &self.fleet,
            settings: &self.settings,
            model,
        }
    }

    /// Places the first candidate for which servers are available. Returns whether there was one.
    fn place_next(&mut self) -> bool {
        if self.queue.is_empty() || !self.is_ready() || !self.may_have_room() {
            return false;
        }
        for at in self.candidates() {
            let Some(plan) = self.choose(at) else {
                continue;
            };
            self.place(at, plan);
            return true;
        }
        false
    }

    /// Returns whether each role may have a server with room; a cheap check before the search.
    fn may_have_room(&self) -> bool {
        if self.settings.placement != settings::Placement::Joint {
            return true;
        }
        let max_backlog = self.settings.max_prefill_backlog.as_u64() as f64;
        let mut prefill = false;
        let mut decode = false;
        for (_, s) in self.fleet.iter() {
            if !s.has_room(self.now, 1) {
                continue;
            }
            match s.record.role {
                model::Role::Prefill => prefill |= s.prefill_backlog(self.now) <= max_backlog,
                model::Role::Decode => decode = true,
                model::Role::Plain => {}
            }
        }
        prefill && decode
    }

    /// Returns the positions of the requests to try in this round, in order.
    fn candidates(&self) -> Vec<queue::Position> {
        let goodput = self.settings.objective == settings::Objective::Goodput;
        let fair = !goodput || self.placements.is_multiple_of(FAIR_PLACEMENT_INTERVAL);
        let mut candidates = Vec::new();
        for class in (0..queue::CLASS_COUNT).rev() {
            if fair {
                let heads = self.queue.heads(class);
                candidates.extend(smallest_by_key(
                    heads,
                    MAX_REQUESTS_PER_ROUND - candidates.len(),
                    |w| (self.accounts.counter(&w.place.account), w.arrived.as_u64()),
                ));
            }
            if goodput {
                let all = self.queue.class(class);
                candidates.extend(smallest_by_key(
                    all,
                    MAX_REQUESTS_PER_ROUND - candidates.len(),
                    |w| (w.cost, w.latest_start.as_u64()),
                ));
            }
            if candidates.len() == MAX_REQUESTS_PER_ROUND {
                break;
            }
        }
        candidates
    }

    fn choose(&mut self, at: queue::Position) -> Option<plan::Plan> {
        let model = self.model.as_ref()?;
        let waiting = self.queue.get(at);
        if waiting.place.suspect && self.has_running_suspect() {
            return None;
        }
        let excluded = self.excluded(&waiting.place);
        let needs = plan::Needs::new(&waiting.place, model, &self.prefixes, excluded);
        let view = plan::View {
            now: self.now,
            fleet: &self.fleet,
            settings: &self.settings,
            model,
        };
        match self.settings.placement {
            settings::Placement::Joint => view.choose_pair(&needs, waiting.deadline),
            settings::Placement::LeastLoaded | settings::Placement::RoundRobin => {
                self.baseline.choose(&view, &needs)
            }
        }
    }

    fn has_running_suspect(&self) -> bool {
        let mut live = self.reservations.iter();
        live.any(|(_, r)| r.place.suspect) || self.cancellations.has_suspect()
    }

    fn place(&mut self, at: queue::Position, plan: plan::Plan) {
        let waiting = self.queue.remove(at);
        let account = waiting.place.account.clone();
        self.accounts.remove_waiting(&account);
        self.accounts.charge(&account, waiting.service);
        let key = self.reservations.next_key(&waiting.gateway);
        let placement = self.reserve(&key, &waiting, plan);
        self.placements += 1;
        self.summary.placed += 1;
        self.out.push(scheduler::Output::Reply {
            gateway: waiting.gateway,
            request: waiting.place.request,
            reply: message::Reply::Placed(placement),
        });
    }

    fn reserve(
        &mut self,
        key: &reservation::Key,
        waiting: &queue::Waiting,
        plan: plan::Plan,
    ) -> message::Placement {
        let place = &*waiting.place;
        let prefill = reservation::Part {
            server: plan.prefill,
            pieces: place.prompt.to_pieces().as_u64(),
        };
        let decode = reservation::Part {
            server: plan.decode,
            pieces: (place.prompt + place.max_output).to_pieces().as_u64(),
        };
        self.occupy(prefill);
        self.occupy(decode);
        self.track_prefill(key, waiting, plan);
        let output = waiting.service.saturating_sub(place.prompt.as_u64());
        let lease = self.settings.lease;
        self.reservations.insert(
            key.clone(),
            reservation::Reservation {
                place: place.clone(),
                prefill: Some(prefill),
                decode: Some(decode),
                phase: reservation::Phase::Prefilling,
                placed_at: self.now,
                lease_end: self.now + lease,
                placed_here: true,
                charged_output: output,
            },
        );
        let id_of = |index| self.fleet.id(index).expect("a plan has configured servers");
        message::Placement {
            reservation: key.number,
            prefill: id_of(plan.prefill),
            decode: id_of(plan.decode),
            lease,
        }
    }

    /// Takes a slot and memory of a server.
    fn occupy(&mut self, part: reservation::Part) {
        let now = self.now;
        let joint = self.settings.placement == settings::Placement::Joint;
        let s = self
            .fleet
            .get_mut(part.server)
            .expect("a plan has configured servers");
        assert!(
            s.record.state == model::ServerState::InService,
            "placed a request on a server that is not in service"
        );
        s.occupancy.reserve(now, 1, part.pieces);
        s.health.record_placement();
        let reserved = s.occupancy.reserved();
        assert!(
            !joint
                || reserved.requests <= s.record.slots
                    && reserved.pieces <= s.record.memory.as_u64(),
            "reservations exceed the capacity of a server"
        );
    }

    /// Records the prefill and its transfer, so that later predictions take them into account.
    fn track_prefill(
        &mut self,
        key: &reservation::Key,
        waiting: &queue::Waiting,
        plan: plan::Plan,
    ) {
        let kv = self.model.as_ref().map(|m| m.kv_bytes_per_token.as_u64());
        let transfer = link::Transfer {
            key: key.clone(),
            ready_at: plan.ready_at,
            bytes: waiting
                .place
                .prompt
                .as_u64()
                .saturating_mul(kv.unwrap_or(0)),
            prefill_done: false,
        };
        let now = self.now;
        if let Some(s) = self.fleet.get_mut(plan.prefill) {
            s.add_transfer(transfer.clone());
            let queued = server::QueuedPrefill {
                key: key.clone(),
                tokens: plan.uncached,
                prompt: waiting.place.prompt.as_u64(),
                placed_at: now,
            };
            s.start_prefill(now, queued);
        }
        if let Some(s) = self.fleet.get_mut(plan.decode) {
            s.add_transfer(transfer);
        }
        for digest in &waiting.place.prefix {
            self.prefixes.insert(plan.prefill, *digest);
        }
    }
}

/// Returns the positions of the at most `max` requests with the smallest keys, in order.
fn smallest_by_key<'a, K: Ord>(
    requests: impl Iterator<Item = (queue::Position, &'a queue::Waiting)>,
    max: usize,
    key: impl Fn(&queue::Waiting) -> K,
) -> Vec<queue::Position> {
    let mut keyed: Vec<(K, queue::Position)> = requests.map(|(at, w)| (key(w), at)).collect();
    if keyed.len() > max {
        keyed.select_nth_unstable_by(max, |a, b| a.0.cmp(&b.0));
        keyed.truncate(max);
    }
    keyed.sort_by(|a, b| a.0.cmp(&b.0));
    keyed.into_iter().map(|(_, at)| at).collect()
}
