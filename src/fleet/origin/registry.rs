//! What the leader adds to the replicated origins, and its answers to routers.

use crate::clock;
use crate::document;
use crate::fleet::message;
use crate::fleet::origin;
use crate::id;
use crate::sorted;

use origin::release;
use origin::{Answer, Batch, MAX_STREAMS, Origin, Origins, Question, Record, StreamId};

/// The most streams that one batch adds.
const MAX_BATCH: usize = 1_024;

/// The time after its time limit for which a stream's origin is kept.
const RETENTION_MARGIN: clock::Millis = clock::Millis::from_secs(15);

/// The time after its first list in which a new leader knows that routers may not have told it of all
/// their streams.
const TAKEOVER_TIME: clock::Millis = clock::Millis::new(1_000);

/// What a leader adds to the replicated origins.
#[derive(Debug, Default)]
pub struct Registry {
    /// Streams that are not in the replicated origins yet, or are forgotten at the next rotation.
    pending: sorted::Map<StreamId, Origin>,
    /// The versions of the newest list, sorted; empty before the first one.
    listed: Vec<Origin>,
    /// When this leader had its first list.
    listed_at: Option<clock::Millis>,
    /// When each version of the replicated origins was first missing in a list.
    left: sorted::Map<Origin, clock::Millis>,
    release: release::Release,
    /// Since when the current generation holds what must be kept.
    rotated_at: clock::Millis,
    /// The longest time that one answer may last; `None` before the first document.
    time_limit: Option<clock::Millis>,
    /// The services that each route for streams leads to, by the last document.
    routes: Vec<document::Route>,
}

impl Registry {
    /// Takes note of the routes of a document.
    pub fn set_routes(&mut self, routes: &[document::Route]) {
        let streams = routes.iter().filter(|r| r.retry_policy.is_stream());
        let streams: Vec<document::Route> = streams.cloned().collect();
        let longest = streams.iter().map(|r| r.time_limit).max();
        self.set_time_limit(longest.unwrap_or_default());
        let former = std::mem::replace(&mut self.routes, streams);
        for record in successions(&former, &self.routes) {
            self.pending.insert(record.stream, record.origin);
        }
    }

    /// Sets the longest time that an answer may last. Streams that began under a longer one still last,
    /// so it never gets shorter.
    pub fn set_time_limit(&mut self, time_limit: clock::Millis) {
        self.time_limit = self.time_limit.max(Some(time_limit));
    }

    /// Returns how long a generation lasts at least.
    fn retention(&self) -> clock::Millis {
        let time_limit = self.time_limit.unwrap_or(clock::Millis::MAX);
        time_limit + RETENTION_MARGIN
    }

    /// Takes note of the versions of a list; returns those that must be committed before routers may
    /// get the list, less [`Self::withheld`].
    pub fn set_listed(
        &mut self,
        now: clock::Millis,
        servers: &[message::Server],
        origins: &Origins,
    ) -> Vec<Origin> {
        self.listed = servers.iter().filter_map(Origin::from_server).collect();
        self.listed.sort();
        self.listed.dedup();
        self.listed_at.get_or_insert(now);
        let kept = origins.versions();
        self.left.retain(|version, _| kept.contains(&version));
        for version in &kept {
            if self.listed.binary_search(version).is_ok() {
                self.left.remove(version);
            } else {
                self.left.get_or_insert_with((*version).clone(), || now);
            }
        }
        let new = self.listed.iter().filter(|v| !origins.has_current(v));
        let new: Vec<Origin> = new.cloned().collect();
        for version in &new {
            let has_other = kept.iter().any(|k| k.service == version.service);
            if has_other && !kept.contains(&version) {
                self.release.hold(version.clone());
            }
        }
        new
    }

    /// Records that a router gets a summary, which `is_first` after its start.
    pub fn record_summary(&mut self, now: clock::Millis, router: &id::InstanceId, is_first: bool) {
        self.release.record_summary(now, router, is_first);
    }

    /// Returns the versions whose servers routers must not get now. Those that it does not name any
    /// more may have begun streams from now on.
    pub fn withheld(&mut self, now: clock::Millis, origins: &Origins) -> Vec<Origin> {
        let listed = &self.listed;
        let held: Vec<Origin> = self.release.held().into_iter().cloned().collect();
        let is_new_leader = self.listed_at.is_none_or(|at| now < at + TAKEOVER_TIME);
        let is_needed = |version: &Origin| {
            let beside = listed.iter().filter(|v| v.service == version.service);
            beside.into_iter().all(|v| held.contains(v))
        };
        if is_new_leader && !held.iter().any(is_needed) {
            // Routers that are about to report are not known yet.
            return held;
        }
        let is_committed = |version: &Origin| origins.has_current(version);
        self.release.update(now, is_committed, is_needed);
        self.release.held().into_iter().cloned().collect()
    }

    /// Adds streams that a router has begun.
    pub fn record(&mut self, streams: Vec<Record>) {
        for record in streams {
            if self.pending.len() < MAX_STREAMS {
                self.pending
                    .get_or_insert_with(record.stream, || record.origin);
            }
        }
    }

    /// Answers a question.
    pub fn answer(&self, now: clock::Millis, origins: &Origins, question: &Question) -> Answer {
        let recorded = question.stream.and_then(|s| self.recorded(origins, &s));
        if let Some(origin) = recorded.or_else(|| self.only_version(origins, &question.services)) {
            return Answer::Known(origin.clone());
        }
        let is_new = self.listed_at.is_none_or(|at| now < at + TAKEOVER_TIME);
        if is_new && question.stream.is_some() {
            Answer::Wait
        } else {
            Answer::Unknown
        }
    }

    fn recorded<'a>(&'a self, origins: &'a Origins, stream: &StreamId) -> Option<&'a Origin> {
        let committed = origins.get(stream);
        committed.or_else(|| self.pending.get(stream))
    }

    /// Returns the version at which every stream began that callers may take up at these services.
    fn only_version<'a>(
        &'a self,
        origins: &'a Origins,
        services: &[document::ServiceId],
    ) -> Option<&'a Origin> {
        let mut began_at = services.to_vec();
        for version in origins.versions() {
            let follows = |service: &document::ServiceId| {
                let succession = StreamId::for_succession(service, &version.service);
                self.recorded(origins, &succession).is_some()
            };
            if services.iter().any(follows) {
                began_at.push(version.service.clone());
            }
        }
        origins.only_version(&began_at, &self.release.held())
    }

    /// Returns the services of whose streams routers tell the leader, sorted: those of several versions,
    /// and those that a changed route led to or leads to.
    pub fn told_services(&self, origins: &Origins) -> Vec<document::ServiceId> {
        let mut told = origins.mixed();
        let mut services: Vec<_> = origins.versions().iter().map(|v| &v.service).collect();
        services.dedup();
        for service in &services {
            for former in &services {
                let succession = StreamId::for_succession(service, former);
                if self.recorded(origins, &succession).is_some() {
                    told.extend([(*service).clone(), (*former).clone()]);
                }
            }
        }
        told.sort();
        told.dedup();
        told
    }

    /// Returns the next change to commit; `None` when there is none.
    pub fn next_batch(&mut self, now: clock::Millis, origins: &Origins) -> Option<Batch> {
        self.pending
            .retain(|stream, _| !origins.has_current_stream(stream));
        let rotate = self.is_rotation_due(now, origins);
        let space = MAX_STREAMS - origins.current.streams.len();
        // What only the generation before has is told again since it still lasts, and is kept when that
        // generation is forgotten.
        let is_due = |stream: &StreamId| rotate || origins.get(stream).is_none();
        let streams = self.pending.iter().filter(|(stream, _)| is_due(stream));
        let streams: Vec<Record> = streams
            .take(if rotate {
                MAX_BATCH
            } else {
                MAX_BATCH.min(space)
            })
            .map(|(stream, origin)| Record {
                stream: *stream,
                origin: origin.clone(),
            })
            .collect();
        if !rotate && streams.is_empty() {
            return None;
        }
        let versions = if rotate {
            // One that was not committed in time may be committed later, so none follows soon.
            self.rotated_at = now;
            self.kept_versions(now)
        } else {
            Vec::new()
        };
        Some(Batch {
            rotate,
            versions,
            streams,
        })
    }

    /// Returns the versions that the next generation has: those of the list, and those that left it so
    /// lately that what they began may still be running. The callers of that may come back for as long
    /// as another generation lasts.
    fn kept_versions(&self, now: clock::Millis) -> Vec<Origin> {
        let time_limit = self.time_limit.unwrap_or(clock::Millis::MAX);
        let left = self.left.iter().filter(|(_, at)| now < **at + time_limit);
        let mut kept = self.listed.clone();
        kept.extend(left.map(|(version, _)| version.clone()));
        kept.sort();
        kept
    }

    /// Returns whether a generation has lasted for as long as a stream may, under this leader.
    fn is_rotation_due(&mut self, now: clock::Millis, origins: &Origins) -> bool {
        let Some(listed_at) = self.listed_at else {
            return false;
        };
        if self.listed.is_empty() || origins.is_empty_but(&self.listed) {
            // Nothing to forget; what begins from now on is kept for its full time.
            self.rotated_at = now;
            return false;
        }
        now >= self.rotated_at.max(listed_at) + self.retention()
    }
}

/// Returns what a route matches and where it leads to.
fn target(route: &document::Route) -> (&str, &str, Vec<&document::ServiceId>) {
    let services = route.split.iter().filter(|s| s.weight > 0);
    let mut services: Vec<_> = services.map(|s| &s.service).collect();
    services.sort();
    (&route.host, &route.prefix, services)
}

/// Returns, as records for the log, which services the changed routes led to before: a stream that began
/// there may be taken up at those that they lead to now.
fn successions(former: &[document::Route], routes: &[document::Route]) -> Vec<Record> {
    let services = |routes: &[document::Route], others: &[document::Route]| {
        let is_kept = |route| others.iter().any(|o| target(o) == target(route));
        let changed = routes.iter().filter(|r| !is_kept(r));
        let shares = changed.flat_map(|r| &r.split);
        let mut services: Vec<_> = shares.map(|s| s.service.clone()).collect();
        services.sort();
        services.dedup();
        services
    };
    let (before, after) = (services(former, routes), services(routes, former));
    let pairs = after
        .iter()
        .flat_map(|a| before.iter().map(move |b| (a, b)));
    let pairs = pairs.filter(|(after, before)| after != before);
    let records = pairs.map(|(after, before)| Record {
        stream: StreamId::for_succession(after, before),
        origin: Origin {
            service: before.clone(),
            version: None,
        },
    });
    records.collect()
}
