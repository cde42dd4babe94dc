//! How many model servers of a service read prompts, and how many generate.
//!
//! Both kinds of work are measured over some seconds: the prompt tokens that arrive, against what
//! a server reads, and the memory that streams hold, against what a server has. The servers are
//! shared out by the ratio of the two, which stays the same at any load; so the change is made
//! before a burst needs it.

use crate::clock;
use crate::document;
use crate::fleet::message;
use crate::id;
use crate::sorted;
use crate::unit;

/// The weight of the newest sample; with a sample twice a second, a mean over about ten seconds.
const SAMPLE_WEIGHT: f64 = 0.05;

/// The samples until the means are trusted.
const LEAST_SAMPLES: u32 = 12;

/// The prompt tokens that a server reads in a millisecond, until the platform says otherwise.
const READ_RATE: f64 = 33.0;

/// The part of a prefill server's time that is planned for; above it, prompts queue for longer
/// than they take to read.
const PREFILL_USE: f64 = 0.75;

/// How far the wanted number must be from the present one, in servers.
const HYSTERESIS: f64 = 0.75;

/// The time between two changes at one service, for each ten of its servers.
const CHANGE_PAUSE: clock::Millis = clock::Millis::from_secs(2);

/// How long after an order a server counts as changing when nothing is heard of the change.
const ORDER_LIFE: clock::Millis = clock::Millis::from_secs(15);

/// The servers that read prompts at least, so that losing one leaves another.
const LEAST_PREFILL: usize = 2;

/// The changes that a leader wants and has ordered.
#[derive(Debug, Default)]
pub struct Roles {
    services: sorted::Map<document::ServiceId, Demand>,
    ordered: sorted::Map<id::BackendServerId, Ordered>,
}

#[derive(Debug, Default)]
struct Demand {
    /// Prompt tokens a millisecond.
    prompts: f64,
    /// Tokens of memory held.
    memory: f64,
    samples: u32,
    last_total: Option<(clock::Millis, u64)>,
    changed_at: clock::Millis,
}

#[derive(Clone, Copy, Debug)]
struct Ordered {
    stage: message::Stage,
    at: clock::Millis,
    ready_at: clock::Millis,
}

/// What a service's servers do now.
#[derive(Clone, Debug)]
pub struct View<'a> {
    /// The service.
    pub service: &'a document::ServiceId,
    /// The memory of one server.
    pub capacity: unit::Tokens,
    /// The prompt tokens that arrived at all routers since they started.
    pub prompts_total: u64,
    /// The servers, with what all routers keep them busy with.
    pub servers: Vec<(&'a message::Server, message::Load)>,
}

/// An order to one server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// The server.
    pub server: id::BackendServerId,
    /// What it is to do.
    pub stage: message::Stage,
}

impl Roles {
    /// Takes a sample of a service and returns the change that is due, if one is.
    pub fn sample(&mut self, now: clock::Millis, view: &View<'_>) -> Option<Change> {
        let demand = self
            .services
            .get_or_insert_with(view.service.clone(), Demand::default);
        demand.take(now, view);
        let of = |stage| {
            let ready = move |(s, _): &&(&message::Server, message::Load)| {
                s.state == message::ServerState::Ready && s.stage == Some(stage)
            };
            view.servers.iter().filter(ready)
        };
        let prefill = of(message::Stage::Prefill).count();
        let decode = of(message::Stage::Decode).count();
        let wanted = demand.wanted(prefill + decode, view.capacity)?;
        let pause = CHANGE_PAUSE.as_u64() * 10 / (prefill + decode).max(10) as u64;
        if now < demand.changed_at + clock::Millis::new(pause) || !self.ordered.is_empty() {
            return None;
        }
        let excess = prefill as f64 - wanted;
        let (from, to) = if excess > HYSTERESIS && prefill > LEAST_PREFILL {
            (message::Stage::Prefill, message::Stage::Decode)
        } else if excess < -HYSTERESIS && decode > prefill {
            (message::Stage::Decode, message::Stage::Prefill)
        } else {
            return None;
        };
        let idlest = of(from).min_by_key(|(s, load)| (load.memory, load.prompts, &s.id))?;
        demand.changed_at = now;
        Some(Change {
            server: idlest.0.id.clone(),
            stage: to,
        })
    }

    /// Notes that an order was sent; the server is left alone until the change is over.
    pub fn note_order(&mut self, now: clock::Millis, change: &Change, takes: clock::Millis) {
        let ordered = Ordered {
            stage: change.stage,
            at: now,
            ready_at: now + takes,
        };
        self.ordered.insert(change.server.clone(), ordered);
    }

    /// Forgets orders that are carried out by the list, or too old.
    pub fn settle(&mut self, now: clock::Millis, servers: &[message::Server]) {
        self.ordered.retain(|id, ordered| {
            let listed = servers.iter().find(|s| s.id == *id);
            let done = listed.is_none_or(|s| s.stage == Some(ordered.stage));
            let over = done && now >= ordered.ready_at;
            !over && now < ordered.at + ORDER_LIFE
        });
    }

    /// Tells whether a server is changing, so that it should get no work.
    pub fn is_changing(&self, server: &id::BackendServerId) -> bool {
        self.ordered.contains(server)
    }
}

impl Demand {
    fn take(&mut self, now: clock::Millis, view: &View<'_>) {
        let memory: u64 = view.servers.iter().map(|(_, l)| l.memory.as_u64()).sum();
        if let Some((at, total)) = self.last_total
            && now > at
            && view.prompts_total >= total
        {
            let rate = (view.prompts_total - total) as f64 / (now - at).as_u64() as f64;
            self.prompts += (rate - self.prompts) * self.weight();
            self.memory += (memory as f64 - self.memory) * self.weight();
            self.samples += 1;
        }
        self.last_total = Some((now, view.prompts_total));
    }

    /// Weighs early samples more, so that the means need no long time to rise.
    fn weight(&self) -> f64 {
        SAMPLE_WEIGHT.max(1.0 / f64::from(self.samples + 1))
    }

    /// Returns how many of the servers should read prompts.
    fn wanted(&self, servers: usize, capacity: unit::Tokens) -> Option<f64> {
        let prefill = self.prompts / (READ_RATE * PREFILL_USE);
        let decode = self.memory / capacity.as_u64().max(1) as f64;
        let known = self.samples >= LEAST_SAMPLES && prefill > 0.0 && decode > 0.0;
        known.then(|| servers as f64 * prefill / (prefill + decode))
    }
}
