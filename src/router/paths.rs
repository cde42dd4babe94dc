//! Whether this router reaches the servers of each service, by the connections that it opens.

use crate::clock;
use crate::document;
use crate::id;
use crate::sorted;

/// The servers of a service that could not be reached, with none that could in between, from which on the
/// path to the service counts as lost. A service may have fewer servers than that.
pub const LOST_SERVERS: usize = 3;

/// The time between two probes of a lost path while others serve this router's requests.
const PROBE_INTERVAL: clock::Millis = clock::Millis::new(250);

/// The time between two probes when nobody is known to reach the service: it may be down.
const SLOW_PROBE_INTERVAL: clock::Millis = clock::Millis::new(1_000);

/// While a path is lost, a service that was not reached for this time is probed as well: its path may have
/// been lost with the other one.
const UNPROVEN_TIME: clock::Millis = clock::Millis::new(1_000);

/// How long a request that another router served shows that the service is up.
const SERVED_ELSEWHERE_TIME: clock::Millis = clock::Millis::from_secs(2);

/// A change of the path to a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    Lost,
    Restored { after: clock::Millis },
}

/// The paths of one router to the servers of its services.
#[derive(Debug, Default)]
pub struct Paths {
    paths: sorted::Map<document::ServiceId, Path>,
}

#[derive(Debug, Default)]
struct Path {
    /// The servers that could not be reached since one could, sorted.
    unreached: Vec<id::BackendServerId>,
    reached_at: Option<clock::Millis>,
    next_probe: clock::Millis,
    lost: Option<Lost>,
}

#[derive(Debug)]
struct Lost {
    since: clock::Millis,
    served_elsewhere_at: Option<clock::Millis>,
}

impl Paths {
    /// Records that a connection to a server was opened.
    pub fn record_reached(
        &mut self,
        now: clock::Millis,
        service: &document::ServiceId,
    ) -> Option<Change> {
        let path = self
            .paths
            .get_or_insert_with(service.clone(), Path::default);
        path.reached_at = Some(now);
        path.unreached.clear();
        path.lost.take().map(|lost| Change::Restored {
            after: now - lost.since,
        })
    }

    /// Records that a connection to a server of a service could not be opened; `listed` is the number of
    /// servers that the service has.
    pub fn record_unreached(
        &mut self,
        now: clock::Millis,
        service: &document::ServiceId,
        server: &id::BackendServerId,
        listed: usize,
    ) -> Option<Change> {
        let path = self
            .paths
            .get_or_insert_with(service.clone(), Path::default);
        if let Err(at) = path.unreached.binary_search(server) {
            path.unreached.insert(at, server.clone());
        }
        if path.lost.is_some() || path.unreached.len() < listed.clamp(1, LOST_SERVERS) {
            return None;
        }
        path.next_probe = now + PROBE_INTERVAL;
        path.lost = Some(Lost {
            since: now,
            served_elsewhere_at: None,
        });
        Some(Change::Lost)
    }

    /// Records that another router served a request for a service.
    pub fn record_served_elsewhere(&mut self, now: clock::Millis, service: &document::ServiceId) {
        let Some(path) = self.paths.get_mut(service) else {
            return;
        };
        if let Some(lost) = &mut path.lost {
            lost.served_elsewhere_at = Some(now);
            path.next_probe = path.next_probe.min(now + PROBE_INTERVAL);
        }
    }

    pub fn is_lost(&self, service: &document::ServiceId) -> bool {
        self.paths.get(service).is_some_and(|p| p.lost.is_some())
    }

    /// Returns the services whose servers this router does not reach.
    pub fn lost(&self) -> impl Iterator<Item = &document::ServiceId> {
        let lost = self.paths.iter().filter(|(_, p)| p.lost.is_some());
        lost.map(|(service, _)| service)
    }

    /// Returns the services to probe now, of those that the list names, and of how many servers each; sets the
    /// time of the next probe.
    pub fn due_probes(
        &mut self,
        now: clock::Millis,
        listed: &[document::ServiceId],
    ) -> Vec<(document::ServiceId, usize)> {
        self.paths.retain(|service, _| listed.contains(service));
        if self.lost().next().is_none() {
            return Vec::new();
        }
        let mut due = Vec::new();
        for service in listed {
            let path = self
                .paths
                .get_or_insert_with(service.clone(), Path::default);
            if now < path.next_probe {
                continue;
            }
            let is_proven = path.reached_at.is_some_and(|at| now < at + UNPROVEN_TIME);
            let (servers, interval) = match &path.lost {
                Some(lost) if lost.is_served_elsewhere(now) => (1, PROBE_INTERVAL),
                Some(_) => (1, SLOW_PROBE_INTERVAL),
                None if is_proven => continue,
                None => (LOST_SERVERS, PROBE_INTERVAL),
            };
            path.next_probe = now + interval;
            due.push((service.clone(), servers));
        }
        due
    }

    /// Returns the longest time until the next look for probes; `None` while no path is lost.
    pub fn probe_interval(&self) -> Option<clock::Millis> {
        self.lost().next().map(|_| PROBE_INTERVAL)
    }
}

impl Lost {
    fn is_served_elsewhere(&self, now: clock::Millis) -> bool {
        let at = self.served_elsewhere_at;
        at.is_some_and(|at| now < at + SERVED_ELSEWHERE_TIME)
    }
}
