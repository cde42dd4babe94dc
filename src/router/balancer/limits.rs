//! Servers that limit their calls: what is known of their limits, and the choice among them.

use crate::clock;
use crate::document;
use crate::fleet::call_limit;
use crate::id;
use crate::router::availability;
use crate::router::backend;
use crate::router::balancer;
use crate::router::protocol;
use crate::sorted;
use crate::unit;

impl balancer::Balancer {
    /// Sets the limits of calls that servers name to any router.
    pub fn set_limits(&mut self, limits: &sorted::Map<id::BackendServerId, unit::CallRate>) {
        if self.limits == *limits {
            return;
        }
        self.limits.clone_from(limits);
        for backend in self.servers.values_mut() {
            backend.fleet_limit = limits.get(&backend.server.id).copied();
        }
    }

    /// Returns what servers' answers to this router said of their limits within `max_age`.
    pub fn limit_news(
        &self,
        now: clock::Millis,
        max_age: clock::Millis,
    ) -> Vec<(id::BackendServerId, call_limit::News)> {
        let news = self.servers.iter().flat_map(|(id, backend)| {
            let news = backend.limit.news(now, max_age).into_iter();
            news.map(|n| (id.clone(), n))
        });
        news.collect()
    }

    /// Returns what the answers of some servers to this router said of their limits.
    pub fn limit_news_of(
        &self,
        now: clock::Millis,
        ids: &[id::BackendServerId],
    ) -> Vec<(id::BackendServerId, call_limit::News)> {
        let servers = ids.iter().filter_map(|id| self.servers.get(id));
        let news = servers.flat_map(|b| {
            let news = b.limit.news(now, clock::Millis::MAX).into_iter();
            news.map(|n| (b.server.id.clone(), n))
        });
        news.collect()
    }

    pub(super) fn is_any_limited(&self, now: clock::Millis) -> bool {
        let mut servers = self.servers.values();
        servers.any(|b| self.needs_permit(now, b))
    }

    /// Returns whether calls to a server need a permit.
    pub fn is_limited(&self, now: clock::Millis, id: &id::BackendServerId) -> bool {
        let backend = self.servers.get(id);
        backend.is_some_and(|b| self.needs_permit(now, b))
    }

    /// Ends the limit of a server, unless an answer to this router named one after `since`.
    pub fn end_limit(&mut self, since: clock::Millis, id: &id::BackendServerId) {
        self.limits.remove(id);
        self.confirm_warm(since, id);
        if let Some(backend) = self.servers.get_mut(id) {
            backend.fleet_limit = None;
            if backend.limit.last().is_some_and(|last| last.at < since) {
                backend.limit = call_limit::NamedLimit::default();
            }
        }
    }

    /// Returns the servers of a plain service that have capacity but need a permit, the least
    /// utilised first.
    pub fn limited_plain(
        &self,
        now: clock::Millis,
        service: &document::ServiceId,
        tried: &[id::BackendServerId],
    ) -> Vec<balancer::Pick> {
        let purpose = availability::Purpose::Plain;
        let candidates =
            self.candidates(now, service, purpose, tried, balancer::Access::WithPermit);
        let mut candidates = candidates.unwrap_or_default();
        candidates.retain(|b| self.has_plain_capacity(b));
        self.picks_by(now, candidates, |b| self.plain_utilisation(b))
    }

    /// Returns picks of `servers`, by a score and the penalty of each.
    fn picks_by(
        &self,
        now: clock::Millis,
        mut servers: Vec<&backend::Backend>,
        score: impl Fn(&backend::Backend) -> f64,
    ) -> Vec<balancer::Pick> {
        let with_penalty = |b: &backend::Backend| score(b) + self.penalty(b);
        servers.sort_by(|a, b| with_penalty(a).total_cmp(&with_penalty(b)));
        let picks = servers.into_iter().map(|b| self.pick(now, b, score(b)));
        picks.collect()
    }

    /// Returns the decode servers that have the required capacity but need a permit, the least
    /// utilised first.
    pub fn limited_decode(
        &self,
        now: clock::Millis,
        service: &document::Service,
        requirements: balancer::Requirements,
        tried: &[id::BackendServerId],
    ) -> Vec<balancer::Pick> {
        let purpose = availability::Purpose::Decode;
        let candidates = self.candidates(
            now,
            &service.id,
            purpose,
            tried,
            balancer::Access::WithPermit,
        );
        let utilisation = |b: &backend::Backend| self.decode_utilisation(b, service, requirements);
        let mut candidates = candidates.unwrap_or_default();
        candidates.retain(|b| utilisation(b) <= requirements.max_utilisation());
        self.picks_by(now, candidates, utilisation)
    }

    /// Returns the prefill servers that need a permit, the fastest first.
    pub fn limited_prefill(
        &self,
        now: clock::Millis,
        service: &document::ServiceId,
        prompt: unit::Tokens,
        tried: &[id::BackendServerId],
    ) -> Vec<balancer::PrefillPick> {
        let purpose = availability::Purpose::Prefill;
        let candidates =
            self.candidates(now, service, purpose, tried, balancer::Access::WithPermit);
        let candidates = candidates.unwrap_or_default().into_iter();
        let mut picks: Vec<balancer::PrefillPick> = candidates
            .map(|b| self.prefill_pick(now, b, prompt))
            .collect();
        picks.sort_by_key(|p| p.time);
        picks
    }

    /// Applies what an answer says of its server's limit of calls; returns the limit that holds if
    /// that changed, where the inner `None` is no limit.
    pub fn record_limit(
        &mut self,
        now: clock::Millis,
        id: &id::BackendServerId,
        limit: protocol::Limit,
    ) -> Option<Option<unit::CallRate>> {
        let backend = self.servers.get_mut(id)?;
        let rate = match limit {
            protocol::Limit::Unlimited => None,
            protocol::Limit::Calls(rate) => Some(rate),
            protocol::Limit::Unreadable => return None,
        };
        let before = backend.limit.rate(now);
        if rate.is_some() || before.is_some() || backend.fleet_limit.is_some() {
            backend.limit.record(call_limit::Said { at: now, rate });
        }
        let after = backend.limit.rate(now);
        (after != before).then_some(after)
    }
}
