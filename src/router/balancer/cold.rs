//! Servers that are or may be cold: what the calls and the leader say of them.

use crate::clock;
use crate::document;
use crate::fleet::cold;
use crate::fleet::message;
use crate::id;
use crate::router::availability;
use crate::router::backend;
use crate::router::balancer;
use crate::router::departures;
use crate::sorted;

/// What holds for servers that may be cold.
#[derive(Debug, Default)]
pub(super) struct ColdStarts {
    /// The services of which servers may be cold.
    services: sorted::Map<document::ServiceId, document::ColdStart>,
    /// Whether the leader knows cold servers, which one of version 1 does not.
    is_led: bool,
}

impl balancer::Balancer {
    /// Replaces the services by those of a document.
    pub fn configure_cold(&mut self, services: &[document::Service]) {
        let with_cold = services
            .iter()
            .filter_map(|s| Some((s.id.clone(), s.cold_start?)));
        self.cold.services = with_cold.collect();
    }

    /// Returns the cold start of a server's service, if servers may be cold.
    fn cold_start(&self, server: &message::Server) -> Option<document::ColdStart> {
        let cold_start = self.cold.services.get(&server.service).copied();
        cold_start.filter(|_| self.cold.is_led)
    }

    /// Returns whether a call to a server needs a permit, by a limit that it names or since it may be
    /// cold.
    pub(super) fn needs_permit(&self, now: clock::Millis, backend: &backend::Backend) -> bool {
        backend.call_limit(now).is_some() || self.lacks_warmth(now, backend)
    }

    fn lacks_warmth(&self, now: clock::Millis, backend: &backend::Backend) -> bool {
        self.cold_start(&backend.server).is_some() && !backend.warmth.is_fresh(now)
    }

    /// Returns whether a server is not known to be warm.
    pub fn may_be_cold(&self, now: clock::Millis, id: &id::BackendServerId) -> bool {
        let backend = self.servers.get(id);
        backend.is_some_and(|b| self.lacks_warmth(now, b))
    }

    /// Returns whether a server takes calls, but for its limit.
    pub fn is_open(&self, now: clock::Millis, id: &id::BackendServerId) -> bool {
        self.state(now, id) == availability::State::Open
    }

    /// Records an answer of a server, or a part of one, that was awaited since `at`.
    pub fn record_proof(
        &mut self,
        now: clock::Millis,
        at: clock::Millis,
        id: &id::BackendServerId,
    ) {
        let services = &self.cold.services;
        if let Some(backend) = self.servers.get_mut(id) {
            let cold_start = services.get(&backend.server.service).copied();
            backend.warmth.record_proof(now, at, cold_start);
        }
    }

    /// Returns what is known of whether a server is up, and since when.
    pub fn life(&self, id: &id::BackendServerId) -> departures::Life {
        let backend = self.servers.get(id);
        backend.map_or_else(departures::Life::default, |b| departures::Life {
            alive_at: b.warmth.alive_at(),
            started_at: b.server.started_at,
        })
    }

    /// Records that a call to a server was lost, or could not be sent.
    pub(super) fn record_loss(
        backend: &mut backend::Backend,
        now: clock::Millis,
        outcome: availability::Outcome,
    ) {
        match outcome {
            availability::Outcome::Lost => backend.warmth.record_loss(now, true),
            availability::Outcome::ConnectFailed => backend.warmth.record_loss(now, false),
            availability::Outcome::Succeeded
            | availability::Outcome::Failed
            | availability::Outcome::Neutral => {}
        }
    }

    /// Returns what a report says of servers that may be cold; losses are repeated for `max_loss_age`.
    pub fn cold_evidence(&self, now: clock::Millis, max_loss_age: clock::Millis) -> cold::Evidence {
        let servers = self.servers.iter();
        let servers = servers.filter(|(_, b)| self.cold.services.contains(&b.server.service));
        let mut evidence = cold::Evidence::default();
        for (id, backend) in servers {
            if let Some((age, is_warm)) = backend.warmth.proof(now) {
                let server = id.clone();
                evidence.proofs.push(cold::Proof {
                    server,
                    age,
                    is_warm,
                });
            }
            if let Some(age) = backend.warmth.loss(now, max_loss_age) {
                let server = id.clone();
                evidence.losses.push(cold::Loss { server, age });
            }
        }
        evidence
    }

    /// Applies the leader's word on the servers of `list`, in an answer to what was sent at `sent_at`;
    /// `None` when no service has a cold start or the leader is of version 1.
    pub fn apply_cold(
        &mut self,
        sent_at: clock::Millis,
        list: &[message::Server],
        word: Option<&cold::Word>,
    ) {
        self.cold.is_led = word.is_some();
        let Some(word) = word else { return };
        for (server, standing) in list.iter().zip(&word.standings) {
            let Some(backend) = self.servers.get_mut(&server.id) else {
                continue;
            };
            match standing {
                cold::Standing::Unknown | cold::Standing::Answering => {}
                cold::Standing::Warm => backend.warmth.confirm(sent_at, word.proof_age),
                cold::Standing::Cold | cold::Standing::ColdAnswering => backend.warmth.mark_cold(),
            }
            let answers = matches!(
                standing,
                cold::Standing::Answering | cold::Standing::ColdAnswering
            );
            // It is back, so there is no need to wait until this router has tried it itself.
            if answers && backend.warmth.lost_at() < Some(sent_at) {
                backend.availability.end_ejection();
            }
        }
    }

    /// Applies the leader's answer, to a question that was sent at `sent_at`, that a server needs no
    /// permit.
    pub fn confirm_warm(&mut self, sent_at: clock::Millis, id: &id::BackendServerId) {
        if let Some(backend) = self.servers.get_mut(id) {
            backend.warmth.confirm(sent_at, cold::MAX_PROOF_AGE);
        }
    }
}
