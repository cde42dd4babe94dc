//! A simulated network that drops, duplicates, delays and reorders messages, and cuts links in one
//! direction.

use buckthorncleat::clock;
use buckthorncleat::replica::core::message;

const SHORT_DELAY_MS: u64 = 6;
const LONG_DELAY_MS: u64 = 400;

/// The maximum number of messages in flight; further ones are dropped, as by a full queue.
const MAX_IN_FLIGHT: usize = 200;

#[derive(Default)]
pub struct Network {
    in_flight: Vec<InFlight>,
    cuts: Vec<Cut>,
    pub drop_percent: u32,
    pub duplicate_percent: u32,
    pub long_delay_percent: u32,
}

struct InFlight {
    due: clock::Millis,
    message: message::Message,
}

/// A cut of the link from one instance to another; `None` stands for all instances.
pub struct Cut {
    pub from: Option<String>,
    pub to: Option<String>,
    pub until: clock::Millis,
}

impl Network {
    pub fn send(
        &mut self,
        now: clock::Millis,
        message: message::Message,
        rng: &mut impl rand::Rng,
    ) {
        if rng.random_range(0..100) < self.drop_percent {
            return;
        }
        if rng.random_range(0..100) < self.duplicate_percent {
            self.enqueue(now, message.clone(), rng);
        }
        self.enqueue(now, message, rng);
    }

    pub fn cut(&mut self, cut: Cut) {
        self.cuts.push(cut);
    }

    pub fn heal(&mut self) {
        self.cuts.clear();
        self.drop_percent = 0;
        self.duplicate_percent = 0;
        self.long_delay_percent = 0;
    }

    /// Takes a random due message; drops it and returns `None` if its link is cut.
    pub fn receive(
        &mut self,
        now: clock::Millis,
        rng: &mut impl rand::Rng,
    ) -> Option<message::Message> {
        self.cuts.retain(|c| c.until > now);
        let due: Vec<usize> = (0..self.in_flight.len())
            .filter(|at| self.in_flight[*at].due <= now)
            .collect();
        if due.is_empty() {
            return None;
        }
        let at = due[rng.random_range(0..due.len())];
        let message = self.in_flight.swap_remove(at).message;
        (!self.is_cut(&message)).then_some(message)
    }

    fn enqueue(&mut self, now: clock::Millis, message: message::Message, rng: &mut impl rand::Rng) {
        if self.in_flight.len() >= MAX_IN_FLIGHT {
            return;
        }
        let is_long = rng.random_range(0..100) < self.long_delay_percent;
        let longest = if is_long {
            LONG_DELAY_MS
        } else {
            SHORT_DELAY_MS
        };
        let due = now + clock::Millis::new(rng.random_range(0..longest));
        self.in_flight.push(InFlight { due, message });
    }

    fn is_cut(&self, message: &message::Message) -> bool {
        let matches_end = |end: &Option<String>, node: &message::NodeId| {
            end.as_ref()
                .is_none_or(|name| name == node.instance.as_str())
        };
        let cut = |c: &Cut| matches_end(&c.from, &message.from) && matches_end(&c.to, &message.to);
        self.cuts.iter().any(cut)
    }
}
