//! The choice of a prefill server, a decode server and the link between them.

use crate::clock;
use crate::controller::scheduler::fleet;
use crate::controller::scheduler::message;
use crate::controller::scheduler::prefix;
use crate::controller::scheduler::server;
use crate::controller::scheduler::settings;
use crate::state::model;
use crate::unit;

/// The best servers of each role that are tried with each other.
const MAX_CANDIDATES: usize = 6;

/// What a decision reads.
#[derive(Clone, Copy, Debug)]
pub struct View<'a> {
    /// The time.
    pub now: clock::Millis,
    /// The servers.
    pub fleet: &'a fleet::Fleet,
    /// The settings.
    pub settings: &'a settings::Settings,
    /// The model.
    pub model: &'a model::Model,
}

/// What a request needs of its servers.
#[derive(Clone, Debug)]
pub struct Needs {
    /// The servers it must not use, as a mask of positions.
    pub excluded: u64,
    /// The servers that have the leading pieces of its prompt.
    pub masks: Vec<u64>,
    /// The tokens of its prompt.
    pub prompt: unit::Tokens,
    /// The memory that its prompt takes.
    pub prefill_pieces: u64,
    /// The memory that prompt and answer take.
    pub decode_pieces: u64,
    /// The size of its KV cache.
    pub kv_bytes: u64,
    /// Whether it may crash its servers.
    pub suspect: bool,
}

impl Needs {
    /// Works out what a request needs.
    pub fn new(
        place: &message::Place,
        model: &model::Model,
        prefixes: &prefix::Map,
        excluded: u64,
    ) -> Self {
        let per_token = model.kv_bytes_per_token.as_u64();
        Self {
            excluded,
            masks: prefixes.lookup(&place.prefix),
            prompt: place.prompt,
            prefill_pieces: place.prompt.to_pieces().as_u64(),
            decode_pieces: (place.prompt + place.max_output).to_pieces().as_u64(),
            kv_bytes: place.prompt.as_u64().saturating_mul(per_token),
            suspect: place.suspect,
        }
    }

    /// Returns the prompt tokens that a server likely has to compute.
    pub fn uncached(&self, index: fleet::ServerIndex) -> u64 {
        let cached = prefix::cached_pieces(&self.masks, index) as u64 * unit::PIECE_TOKENS;
        self.prompt.as_u64().saturating_sub(cached)
    }

    /// Tells whether a server may be used.
    pub fn allows(&self, index: fleet::ServerIndex) -> bool {
        self.excluded & (1 << index) == 0
    }
}

/// A chosen place.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    /// The prefill server.
    pub prefill: fleet::ServerIndex,
    /// The decode server.
    pub decode: fleet::ServerIndex,
    /// The prompt tokens that will likely be computed.
    pub uncached: u64,
    /// When the prefill likely ends.
    pub ready_at: clock::Millis,
}

#[derive(Clone, Copy, Debug)]
struct PrefillCandidate {
    server: fleet::ServerIndex,
    uncached: u64,
    /// When the prefill likely ends.
    prefill_end: f64,
    /// When the server's own link likely has sent the KV cache.
    sent_at: f64,
    running: u32,
}

#[derive(Clone, Copy, Debug)]
struct DecodeCandidate {
    server: fleet::ServerIndex,
    step_time: f64,
    score: f64,
    running: u32,
}

impl View<'_> {
    /// Iterates over the servers of a role that are in service and allowed, failed ones included.
    pub fn servers<'s>(
        &'s self,
        role: model::Role,
        needs: &'s Needs,
    ) -> impl Iterator<Item = (fleet::ServerIndex, &'s server::Server)> {
        let id = &self.model.id;
        let in_service = move |s: &server::Server| s.in_service(role, id);
        self.fleet
            .iter()
            .filter(move |(index, s)| needs.allows(*index) && in_service(s))
    }

    /// Chooses the place with the best predicted times that meets the target.
    pub fn choose_pair(&self, needs: &Needs, deadline: clock::Millis) -> Option<Plan> {
        let prefills = self.prefill_candidates(needs);
        if prefills.is_empty() {
            return None;
        }
        let decodes = self.decode_candidates(needs);
        let mut best: Option<(f64, Plan)> = None;
        for prefill in &prefills {
            for decode in &decodes {
                let Some(score) = self.score(needs, prefill, decode, deadline) else {
                    continue;
                };
                if best.as_ref().is_none_or(|(least, _)| score < *least) {
                    best = Some((score, plan(prefill, decode)));
                }
            }
        }
        best.map(|(_, plan)| plan)
    }

    /// Returns the shortest time to the first token, with no other request about, in milliseconds.
    pub fn unloaded_time(&self, needs: &Needs) -> Option<f64> {
        let prefills = self.servers(model::Role::Prefill, needs);
        let prefill_time = |(index, s): (fleet::ServerIndex, &server::Server)| {
            needs.uncached(index) as f64 / s.prefill_rate.per_milli(self.now)
                + s.transfer_time(self.now, needs.kv_bytes)
        };
        let prefill = prefills.map(prefill_time).reduce(f64::min)?;
        let decodes = self.servers(model::Role::Decode, needs);
        let decode = decodes
            .map(|(_, s)| s.step_time.line().at(1))
            .reduce(f64::min)?;
        Some(self.settings.network_overhead.as_u64() as f64 + prefill + decode)
    }

    /// Returns the fewest prompt tokens that any server has to compute.
    pub fn min_uncached(&self, needs: &Needs) -> u64 {
        let prefills = self.servers(model::Role::Prefill, needs);
        let least = prefills.map(|(index, _)| needs.uncached(index)).min();
        least.unwrap_or(needs.prompt.as_u64())
    }

    /// Returns the part of a bound that a prediction may fill.
    fn target_fraction(&self) -> f64 {
        self.settings.target_percent as f64 / 100.0
    }

    /// Returns how long a transfer may be under way by prediction, in milliseconds.
    fn max_transfer_millis(&self) -> f64 {
        self.settings.export_lifetime.as_u64() as f64 * self.target_fraction()
    }

    fn prefill_candidates(&self, needs: &Needs) -> Vec<PrefillCandidate> {
        let now = self.now.as_u64() as f64;
        let network_overhead = self.settings.network_overhead.as_u64() as f64;
        let max_backlog = self.settings.max_prefill_backlog.as_u64() as f64;
        let mut candidates = Vec::new();
        for (index, s) in self.servers(model::Role::Prefill, needs) {
            if !s.health.allows(self.now) || !s.has_room(self.now, needs.prefill_pieces) {
                continue;
            }
            let backlog = s.prefill_backlog(self.now);
            if backlog > max_backlog {
                continue;
            }
            let uncached = needs.uncached(index);
            let duration = uncached as f64 / s.current_prefill_rate(self.now);
            let prefill_end = now + network_overhead + backlog + duration;
            let link = s.link(self.now, self.max_transfer_millis());
            let prediction = link.predict(prefill_end, needs.kv_bytes as f64);
            if prediction.too_long {
                continue;
            }
            candidates.push(PrefillCandidate {
                server: index,
                uncached,
                prefill_end,
                sent_at: prediction.end,
                running: s.occupancy.reserved().requests,
            });
        }
        keep_best(&mut candidates, |c| match needs.suspect {
            true => f64::from(c.running),
            false => c.prefill_end,
        });
        candidates
    }

    fn decode_candidates(&self, needs: &Needs) -> Vec<DecodeCandidate> {
        let target = self.model.between_tokens.as_u64() as f64;
        let now = self.now.as_u64() as f64;
        let mut candidates = Vec::new();
        for (index, s) in self.servers(model::Role::Decode, needs) {
            if !s.health.allows(self.now) || !s.has_room(self.now, needs.decode_pieces) {
                continue;
            }
            let batch = s.batch_with_one_more(self.now);
            let step_time = s.step_time.line().at(batch);
            if step_time > target && batch > 1 {
                continue;
            }
            let link = s
                .link(self.now, self.max_transfer_millis())
                .predict(now, needs.kv_bytes as f64)
                .end
                - now;
            candidates.push(DecodeCandidate {
                server: index,
                step_time,
                score: step_time / target + link / self.model.first_token.as_u64().max(1) as f64,
                running: batch,
            });
        }
        keep_best(&mut candidates, |c| match needs.suspect {
            true => f64::from(c.running),
            false => c.score,
        });
        candidates
    }

    /// Scores a pair by the parts of both targets that it uses up, or says that it misses one.
    fn score(
        &self,
        needs: &Needs,
        prefill: &PrefillCandidate,
        decode: &DecodeCandidate,
        deadline: clock::Millis,
    ) -> Option<f64> {
        let to = self.fleet.get(decode.server)?;
        let link = to.link(self.now, self.max_transfer_millis());
        let prediction = link.predict(prefill.prefill_end, needs.kv_bytes as f64);
        if prediction.too_long {
            return None;
        }
        let transferred = prefill.sent_at.max(prediction.end);
        let now = self.now.as_u64() as f64;
        let until_first_token = transferred + decode.step_time - now;
        let remaining = (deadline - self.now).as_u64() as f64;
        if until_first_token > remaining * self.target_fraction() {
            return None;
        }
        if needs.suspect {
            return Some(f64::from(prefill.running) + f64::from(decode.running));
        }
        let first_token = self.model.first_token.as_u64().max(1) as f64;
        let between = self.model.between_tokens.as_u64().max(1) as f64;
        Some(until_first_token / first_token + decode.step_time / between)
    }
}

fn plan(prefill: &PrefillCandidate, decode: &DecodeCandidate) -> Plan {
    Plan {
        prefill: prefill.server,
        decode: decode.server,
        uncached: prefill.uncached,
        ready_at: clock::Millis::new(prefill.prefill_end as u64),
    }
}

/// Keeps the options with the least scores, best first.
fn keep_best<T>(candidates: &mut Vec<T>, score: impl Fn(&T) -> f64) {
    candidates.sort_by(|a, b| score(a).total_cmp(&score(b)));
    candidates.truncate(MAX_CANDIDATES);
}
