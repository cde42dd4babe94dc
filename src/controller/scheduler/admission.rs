//! Admission: a request that asks for a placement is queued, or refused at once.

use crate::clock;
use crate::config::settings;
use crate::controller::scheduler;
use crate::controller::scheduler::cancel;
use crate::controller::scheduler::message;
use crate::controller::scheduler::plan;
use crate::controller::scheduler::queue;
use crate::controller::scheduler::wait_time;
use crate::id;
use crate::state::model;

/// The shortest `retry_after` of a refusal.
const MIN_RETRY_AFTER: clock::Millis = clock::Millis::new(100);

/// The longest `retry_after` of a refusal, also given where only a change of configuration helps.
const MAX_RETRY_AFTER: clock::Millis = clock::Millis::new(60_000);

/// Why a request is refused, and after how long it may be sent again.
#[derive(Clone, Copy, Debug)]
pub(super) struct Refused {
    reason: message::Refusal,
    retry_after: clock::Millis,
}

impl Refused {
    fn new(reason: message::Refusal, retry_after: clock::Millis) -> Self {
        Self {
            reason,
            retry_after: retry_after.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER),
        }
    }
}

impl scheduler::Scheduler {
    pub(super) fn admit(&mut self, gateway: id::InstanceId, place: Box<message::Place>) {
        let deadline = self.now + place.first_token;
        let mut waiting = queue::Waiting {
            gateway,
            arrived: self.now,
            deadline,
            latest_start: deadline - queue::CLOCK_RESOLUTION,
            cost: place.prompt.as_u64(),
            service: self.expected_service(&place),
            place,
        };
        if let Err(refused) = self.check(&mut waiting) {
            return self.refuse(&waiting, refused);
        }
        if self.queue.len() >= self.settings.max_waiting && !self.evict_for(&waiting) {
            let wait = self.expected_wait(&waiting);
            let refused = Refused::new(message::Refusal::QueueFull, wait);
            return self.refuse(&waiting, refused);
        }
        self.accounts.add_waiting(&waiting.place.account);
        self.queue.push(waiting);
    }

    /// Refuses the waiting requests that no server can serve under a new configuration.
    pub(super) fn refuse_unservable(&mut self) {
        for waiting in self.queue.extract(|_| true) {
            match self.check_configuration(&waiting) {
                Ok(()) => self.queue.push(waiting),
                Err(refused) => {
                    self.accounts.remove_waiting(&waiting.place.account);
                    self.refuse(&waiting, refused);
                }
            }
        }
    }

    fn check_configuration(&self, waiting: &queue::Waiting) -> Result<(), Refused> {
        let Some(model) = &self.model else {
            return Ok(());
        };
        let excluded = self.excluded(&waiting.place);
        let needs = plan::Needs::new(&waiting.place, model, &self.prefixes, excluded);
        check_servers(&self.view(model), &needs)
    }

    /// Refuses a request that can no longer meet its target.
    pub(super) fn refuse_too_late(&mut self, waiting: &queue::Waiting) {
        let reason = match self.has_healthy_servers(waiting) {
            true => message::Refusal::TooLate,
            false => message::Refusal::NoServer,
        };
        let retry_after = self.retry_after(waiting);
        self.refuse(waiting, Refused::new(reason, retry_after));
    }

    /// Returns the servers that a request must not use, as a bit mask by index.
    pub(super) fn excluded(&self, place: &message::Place) -> u64 {
        let mut mask = 0;
        for (index, server) in self.fleet.iter() {
            let target = cancel::Target {
                server: index,
                request: place.request,
            };
            if place.exclude.contains(&server.record.id) || self.cancellations.refuses(target) {
                mask |= 1 << index;
            }
        }
        mask
    }

    /// Checks that a request can be served within its target, and sets its cost and latest start.
    fn check(&self, waiting: &mut queue::Waiting) -> Result<(), Refused> {
        let Some(model) = &self.model else {
            return Ok(());
        };
        let view = self.view(model);
        let place = &waiting.place;
        let needs = plan::Needs::new(place, model, &self.prefixes, self.excluded(place));
        check_servers(&view, &needs)?;
        if self.settings.placement != settings::Placement::Joint {
            return Ok(());
        }
        waiting.cost = view.min_uncached(&needs);
        let unloaded = view.unloaded_time(&needs).unwrap_or(0.0);
        let percent = self.settings.target_percent as f64 / 100.0;
        let budget = place.first_token.as_u64() as f64 * percent;
        let slack = budget - unloaded;
        let wait = self
            .wait_times
            .estimate(&view, &needs, self.work_ahead(waiting));
        let grace = (self.started + self.settings.report_grace) - self.now;
        let wait = wait.max(grace.as_u64() as f64);
        if wait > slack {
            let retry_after = clock::Millis::new((wait - slack.max(0.0)) as u64);
            return Err(Refused::new(message::Refusal::TooLate, retry_after));
        }
        waiting.latest_start = self.now + clock::Millis::new(slack as u64);
        Ok(())
    }

    /// Evicts a request from a full queue to make room for `waiting`. Returns whether it did.
    ///
    /// The request to evict is that of [`queue::Queue::eviction_candidate`]. It stays when it has a
    /// higher class, or the same class and account as `waiting`.
    fn evict_for(&mut self, waiting: &queue::Waiting) -> bool {
        let accounts = &self.accounts;
        let Some(at) = self.queue.eviction_candidate(|id| accounts.weight(id)) else {
            return false;
        };
        let evicted = self.queue.get(at);
        let class = queue::class_of(&evicted.place);
        let own_class = queue::class_of(&waiting.place);
        if own_class < class
            || (own_class == class && evicted.place.account == waiting.place.account)
        {
            return false;
        }
        let evicted = self.queue.remove(at);
        self.accounts.remove_waiting(&evicted.place.account);
        let wait = self.expected_wait(&evicted);
        self.refuse(&evicted, Refused::new(message::Refusal::QueueFull, wait));
        true
    }

    fn refuse(&mut self, waiting: &queue::Waiting, refused: Refused) {
        self.summary.refused.record(refused.reason);
        self.out.push(scheduler::Output::Reply {
            gateway: waiting.gateway.clone(),
            request: waiting.place.request,
            reply: message::Reply::Refused {
                reason: refused.reason,
                retry_after: refused.retry_after,
            },
        });
    }

    fn expected_service(&self, place: &message::Place) -> u64 {
        let max_output = place.max_output.as_u64();
        let output = self.accounts.expected_output(&place.account, max_output);
        place.prompt.as_u64() + output * self.settings.output_weight
    }

    fn has_healthy_servers(&self, waiting: &queue::Waiting) -> bool {
        let Some(model) = &self.model else {
            return false;
        };
        let view = self.view(model);
        let excluded = self.excluded(&waiting.place);
        let needs = plan::Needs::new(&waiting.place, model, &self.prefixes, excluded);
        let healthy = |role| {
            let mut servers = view.servers(role, &needs);
            servers.any(|(_, s)| s.health.allows_from() <= self.now)
        };
        healthy(model::Role::Prefill) && healthy(model::Role::Decode)
    }

    /// Returns after how long a request that was refused as too late may be placed.
    fn retry_after(&self, waiting: &queue::Waiting) -> clock::Millis {
        let wait = self.expected_wait(waiting);
        let probes = self.fleet.iter().map(|(_, s)| s.health.allows_from());
        match self.has_healthy_servers(waiting) {
            true => wait,
            false => wait.max(probes.min().unwrap_or(self.now) - self.now),
        }
    }

    fn expected_wait(&self, waiting: &queue::Waiting) -> clock::Millis {
        let Some(model) = &self.model else {
            return self.settings.report_grace;
        };
        let view = self.view(model);
        let excluded = self.excluded(&waiting.place);
        let needs = plan::Needs::new(&waiting.place, model, &self.prefixes, excluded);
        let wait = self
            .wait_times
            .estimate(&view, &needs, self.work_ahead(waiting));
        clock::Millis::new(wait as u64)
    }

    /// Sums up the waiting requests that are placed before a request.
    fn work_ahead(&self, waiting: &queue::Waiting) -> wait_time::Backlog {
        let own_class = queue::class_of(&waiting.place);
        let mut ahead = wait_time::Backlog::default();
        let mut count = |other: &queue::Waiting| {
            ahead.requests += 1;
            ahead.tokens += other.cost;
        };
        for class in own_class + 1..queue::CLASS_COUNT {
            self.queue.class(class).for_each(|(_, other)| count(other));
        }
        match self.settings.objective {
            settings::Objective::Goodput => {
                let cheaper = self
                    .queue
                    .class(own_class)
                    .filter(|(_, o)| o.cost <= waiting.cost);
                cheaper.for_each(|(_, other)| count(other));
            }
            settings::Objective::WorstServedAccount => {
                for other in self.served_before(own_class, waiting) {
                    count(other);
                }
            }
        }
        ahead
    }

    /// Returns the requests of a class that are placed before a request when the least-served
    /// account goes first.
    fn served_before(&self, class: usize, waiting: &queue::Waiting) -> Vec<&queue::Waiting> {
        let account = &waiting.place.account;
        let same = self
            .queue
            .class(class)
            .filter(|(_, o)| o.place.account == *account);
        let own_service = same.map(|(_, o)| o.service).sum();
        let counter = self.accounts.counter_if_waiting(account);
        let counter_at_turn = counter + self.accounts.counter_increment(account, own_service);
        let mut before = Vec::new();
        let mut current_account: Option<(&id::ClientAccountId, u64)> = None;
        for (_, other) in self.queue.class(class) {
            let id = &other.place.account;
            let left = match current_account {
                Some((current, left)) if current == id => left,
                _ if id == account => u64::MAX,
                _ => self.accounts.tokens_until(id, counter_at_turn),
            };
            if left > 0 {
                before.push(other);
            }
            current_account = Some((id, left.saturating_sub(other.service)));
        }
        before
    }
}

fn check_servers(view: &plan::View<'_>, needs: &plan::Needs) -> Result<(), Refused> {
    let max_memory = |role| {
        let servers = view.servers(role, needs);
        servers.map(|(_, s)| s.record.memory.as_u64()).max()
    };
    let prefill = max_memory(model::Role::Prefill);
    let decode = max_memory(model::Role::Decode);
    let (Some(prefill), Some(decode)) = (prefill, decode) else {
        return Err(Refused::new(message::Refusal::NoServer, MAX_RETRY_AFTER));
    };
    if needs.prefill_pieces > prefill || needs.decode_pieces > decode {
        return Err(Refused::new(message::Refusal::TooLarge, MAX_RETRY_AFTER));
    }
    Ok(())
}
