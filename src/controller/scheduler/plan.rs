//! Chooses a prefill and a decode server by predicted times, with the transfer between them.

use crate::clock;
use crate::controller::scheduler::fleet;
use crate::controller::scheduler::message;
use crate::controller::scheduler::prefix;
use crate::controller::scheduler::server;
use crate::controller::scheduler::settings;
use crate::state::model;
use crate::unit;

/// How many of the best servers of each role are combined into pairs.
const MAX_CANDIDATES: usize = 6;

/// The state that a placement decision reads.
#[derive(Clone, Copy, Debug)]
pub struct View<'a> {
    pub now: clock::Millis,
    pub fleet: &'a fleet::Fleet,
    pub settings: &'a settings::Settings,
    pub model: &'a model::Model,
}

/// The requirements of a request on its servers.
#[derive(Clone, Debug)]
pub struct Needs {
    /// The servers that must not be used, as a bit mask by [`fleet::ServerIndex`].
    pub excluded: u64,
    /// The servers that cache the leading pieces of the prompt; see [`prefix::Map::lookup`].
    pub cache_masks: Vec<u64>,
    /// The length of the prompt.
    pub prompt: unit::Tokens,
    /// The memory that the prompt takes, in pieces.
    pub prefill_pieces: u64,
    /// The memory that the prompt and the longest answer take, in pieces.
    pub decode_pieces: u64,
    /// The size of the prompt's KV cache, in bytes.
    pub kv_bytes: u64,
    /// Whether the request may have crashed a server.
    pub suspect: bool,
}

impl Needs {
    /// Computes the requirements of a request.
    pub fn new(
        place: &message::Place,
        model: &model::Model,
        prefixes: &prefix::Map,
        excluded: u64,
    ) -> Self {
        let per_token = model.kv_bytes_per_token.as_u64();
        Self {
            excluded,
            cache_masks: prefixes.lookup(&place.prefix),
            prompt: place.prompt,
            prefill_pieces: place.prompt.to_pieces().as_u64(),
            decode_pieces: (place.prompt + place.max_output).to_pieces().as_u64(),
            kv_bytes: place.prompt.as_u64().saturating_mul(per_token),
            suspect: place.suspect,
        }
    }

    /// Returns the number of prompt tokens that a server likely has to compute, because it does not
    /// cache them.
    pub fn uncached(&self, index: fleet::ServerIndex) -> u64 {
        let cached = prefix::cached_pieces(&self.cache_masks, index) as u64 * unit::PIECE_TOKENS;
        self.prompt.as_u64().saturating_sub(cached)
    }

    /// Returns whether a server may be used.
    pub fn allows(&self, index: fleet::ServerIndex) -> bool {
        self.excluded & (1 << index) == 0
    }
}

/// A chosen pair of servers.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    pub prefill: fleet::ServerIndex,
    pub decode: fleet::ServerIndex,
    /// The number of prompt tokens that the prefill server likely computes.
    pub uncached: u64,
    /// The predicted end of the prefill.
    pub ready_at: clock::Millis,
}

#[derive(Clone, Copy, Debug)]
struct PrefillCandidate {
    server: fleet::ServerIndex,
    uncached: u64,
    /// The predicted end of the prefill, in milliseconds.
    prefill_end: f64,
    /// The predicted time at which the server's own link has sent the KV cache, in milliseconds.
    sent_at: f64,
    running: u32,
}

#[derive(Clone, Copy, Debug)]
struct DecodeCandidate {
    server: fleet::ServerIndex,
    /// The predicted time between tokens with this request in the batch, in milliseconds.
    step_time: f64,
    score: f64,
    running: u32,
}

impl View<'_> {
    /// Iterates over the servers of a role that are in service and not excluded, including those
    /// that failed.
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

    /// Chooses the pair of servers with the best score. Returns `None` when no pair has room and
    /// meets the targets by prediction.
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

    /// Returns the shortest predicted time to the first token on servers without other requests, in
    /// milliseconds. Returns `None` when a role has no server.
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

    /// Returns the smallest number of prompt tokens that any server has to compute.
    pub fn min_uncached(&self, needs: &Needs) -> u64 {
        let prefills = self.servers(model::Role::Prefill, needs);
        let least = prefills.map(|(index, _)| needs.uncached(index)).min();
        least.unwrap_or(needs.prompt.as_u64())
    }

    /// Returns the fraction of a time limit that a prediction may use.
    fn target_fraction(&self) -> f64 {
        self.settings.target_percent as f64 / 100.0
    }

    /// Returns the longest predicted time that a transfer may take, in milliseconds.
    fn max_transfer_millis(&self) -> f64 {
        self.settings.export_ttl.as_u64() as f64 * self.target_fraction()
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

    /// Returns the score of a pair; lower is better. It is the sum of the fractions of both latency
    /// targets that the pair uses, and for a suspect the number of requests at the servers. Returns
    /// `None` when the pair misses a limit.
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

/// Keeps the [`MAX_CANDIDATES`] candidates with the lowest scores, lowest first.
fn keep_best<T>(candidates: &mut Vec<T>, score: impl Fn(&T) -> f64) {
    candidates.sort_by(|a, b| score(a).total_cmp(&score(b)));
    candidates.truncate(MAX_CANDIDATES);
}
