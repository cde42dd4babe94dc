//! The loads of all gateways and the gateways that accept callers, sent as changes.
//!
//! Every change gets the next number of a sequence. A gateway names the last number that it has
//! applied, and gets what changed since; so the leader keeps nothing for each gateway.

use std::net;

use crate::clock;
use crate::fleet::crashes;
use crate::fleet::message;
use crate::id;
use crate::macros;
use crate::sorted;
use crate::state::model;
use crate::unit;

/// How long the removal of an entry or load is kept. A gateway that has not reported for that long
/// gets everything anew.
const REMOVAL_RETENTION: clock::Millis = clock::Millis::from_secs(10);

macros::number! {
    /// The number of a change of the fleet's state at one leader.
    Sequence
}

macros::data! {
    /// What changed in the fleet's state.
    #[derive(Default)]
    pub struct Changes {
        /// Whether this is the whole state, and not what changed since the report.
        pub whole: bool,
        /// The last change that is contained.
        pub sequence: Sequence,
        /// Gateways that accept callers with their data centres, and `None` for those that no
        /// longer do.
        pub entries: Vec<(net::SocketAddr, Option<id::DataCentre>)>,
        /// The loads of all gateways together.
        pub loads: Vec<(id::BackendServerId, message::Load)>,
        /// The limits of calls that servers name, and `None` for those that no longer do.
        pub limits: Vec<(id::BackendServerId, Option<unit::CallRate>)>,
        /// What is known of fingerprints that were lost with servers, and `None` for those of which
        /// nothing is known any more.
        pub standings: Vec<(model::Fingerprint, Option<crashes::Standing>)>,
    }
}

/// The state at the leader.
#[derive(Debug, Default)]
pub struct Totals {
    sequence: Sequence,
    /// Removals up to this change may have been forgotten.
    forgotten: Sequence,
    entries: sorted::Map<net::SocketAddr, Tracked<Option<id::DataCentre>>>,
    loads: sorted::Map<id::BackendServerId, Tracked<message::Load>>,
    limits: sorted::Map<id::BackendServerId, Tracked<Option<unit::CallRate>>>,
    standings: sorted::Map<model::Fingerprint, Tracked<Option<crashes::Standing>>>,
}

/// A value with its last change.
#[derive(Debug)]
struct Tracked<T> {
    value: T,
    changed: Sequence,
    changed_at: clock::Millis,
}

impl Totals {
    /// Sets whether a gateway accepts callers: its data centre, or `None`.
    pub fn set_entry(
        &mut self,
        now: clock::Millis,
        address: net::SocketAddr,
        data_centre: Option<&id::DataCentre>,
    ) {
        let known = self.entries.get(&address).and_then(|e| e.value.as_ref());
        if known == data_centre {
            return;
        }
        let entry = self.track(now, data_centre.cloned());
        self.entries.insert(address, entry);
    }

    /// Replaces the loads that one gateway reported.
    pub fn replace_loads(
        &mut self,
        now: clock::Millis,
        before: &sorted::Map<id::BackendServerId, message::Load>,
        after: &sorted::Map<id::BackendServerId, message::Load>,
    ) {
        for (server, load) in after.iter() {
            if before.get(server) != Some(load) {
                let before = before.get(server).copied().unwrap_or_default();
                self.replace_load(now, server, before, *load);
            }
        }
        for (server, load) in before.iter().filter(|(server, _)| !after.contains(server)) {
            self.replace_load(now, server, *load, message::Load::default());
        }
    }

    fn replace_load(
        &mut self,
        now: clock::Millis,
        server: &id::BackendServerId,
        before: message::Load,
        after: message::Load,
    ) {
        let known = self.loads.get(server).map(|l| l.value).unwrap_or_default();
        let mut total = known.less(before);
        total.add(after);
        let load = self.track(now, total);
        self.loads.insert(server.clone(), load);
    }

    /// Sets a server's limit of calls; `None` when it names none.
    pub fn set_limit(
        &mut self,
        now: clock::Millis,
        server: &id::BackendServerId,
        rate: Option<unit::CallRate>,
    ) {
        if self.limits.get(server).and_then(|l| l.value) != rate {
            let limit = self.track(now, rate);
            self.limits.insert(server.clone(), limit);
        }
    }

    /// Returns the servers whose limit is set.
    pub fn limited(&self) -> Vec<id::BackendServerId> {
        let limits = self.limits.iter().filter(|(_, l)| l.value.is_some());
        limits.map(|(server, _)| server.clone()).collect()
    }

    /// Replaces the standings of fingerprints.
    pub fn set_standings(
        &mut self,
        now: clock::Millis,
        standings: &sorted::Map<model::Fingerprint, crashes::Standing>,
    ) {
        let known = self.standings.iter();
        let known = known.filter_map(|(f, s)| s.value.map(|_| *f));
        let removed: Vec<_> = known.filter(|f| !standings.contains(f)).collect();
        for fingerprint in removed {
            let standing = self.track(now, None);
            self.standings.insert(fingerprint, standing);
        }
        for (fingerprint, standing) in standings.iter() {
            let known = self.standings.get(fingerprint).and_then(|s| s.value);
            if known != Some(*standing) {
                let standing = self.track(now, Some(*standing));
                self.standings.insert(*fingerprint, standing);
            }
        }
    }

    fn track<T>(&mut self, now: clock::Millis, value: T) -> Tracked<T> {
        self.sequence = self.sequence.next();
        Tracked {
            value,
            changed: self.sequence,
            changed_at: now,
        }
    }

    /// Forgets removals that nearly all gateways have applied.
    pub fn prune(&mut self, now: clock::Millis) {
        let mut forgotten = self.forgotten;
        let mut keep = |is_removed: bool, changed: Sequence, changed_at: clock::Millis| {
            let expired = is_removed && now >= changed_at + REMOVAL_RETENTION;
            if expired {
                forgotten = forgotten.max(changed);
            }
            !expired
        };
        self.entries
            .retain(|_, e| keep(e.value.is_none(), e.changed, e.changed_at));
        let idle = message::Load::default();
        self.loads
            .retain(|_, l| keep(l.value == idle, l.changed, l.changed_at));
        self.limits
            .retain(|_, l| keep(l.value.is_none(), l.changed, l.changed_at));
        self.standings
            .retain(|_, s| keep(s.value.is_none(), s.changed, s.changed_at));
        self.forgotten = forgotten;
    }

    /// Returns what changed after the change `known`, or everything if that is `None` or too long
    /// ago.
    pub fn changes_since(&self, known: Option<Sequence>) -> Changes {
        let known = known.filter(|k| *k >= self.forgotten && *k <= self.sequence);
        let is_new = |changed: Sequence| known.is_none_or(|k| changed > k);
        let entries = self.entries.iter().filter(|(_, e)| is_new(e.changed));
        let loads = self.loads.iter().filter(|(_, l)| is_new(l.changed));
        let limits = self.limits.iter().filter(|(_, l)| is_new(l.changed));
        let standings = self.standings.iter();
        let standings = standings.filter(|(_, s)| is_new(s.changed));
        Changes {
            whole: known.is_none(),
            sequence: self.sequence,
            entries: entries.map(|(a, e)| (*a, e.value.clone())).collect(),
            loads: loads.map(|(s, l)| (s.clone(), l.value)).collect(),
            limits: limits.map(|(s, l)| (s.clone(), l.value)).collect(),
            standings: standings.map(|(f, s)| (*f, s.value)).collect(),
        }
    }

    /// Returns the gateways that accept callers.
    pub fn entries(&self) -> Vec<message::Entry> {
        let entries = self.entries.iter();
        to_entries(entries.map(|(address, e)| (address, e.value.as_ref())))
    }
}

/// The state as one gateway knows it.
#[derive(Debug, Default)]
pub struct View {
    known: Option<(id::Term, Sequence)>,
    entries: sorted::Map<net::SocketAddr, Option<id::DataCentre>>,
    loads: sorted::Map<id::BackendServerId, message::Load>,
    limits: sorted::Map<id::BackendServerId, unit::CallRate>,
    standings: sorted::Map<model::Fingerprint, crashes::Standing>,
}

impl View {
    /// Returns the last change that was applied and the term of its leader; `None` before the first
    /// summary.
    pub fn known(&self) -> Option<(id::Term, Sequence)> {
        self.known
    }

    /// Applies the changes from a summary of the leader in `term`.
    ///
    /// An older summary that arrives late is ignored.
    pub fn apply(&mut self, term: id::Term, changes: &Changes) {
        let known = (term, changes.sequence);
        if self.known.is_some_and(|k| known < k) {
            return;
        }
        if changes.whole {
            self.entries.clear();
            self.loads.clear();
            self.limits.clear();
            self.standings.clear();
        }
        self.known = Some(known);
        for (address, data_centre) in &changes.entries {
            self.entries.insert(*address, data_centre.clone());
        }
        self.entries.retain(|_, data_centre| data_centre.is_some());
        for (server, load) in &changes.loads {
            self.loads.insert(server.clone(), *load);
        }
        self.loads
            .retain(|_, load| *load != message::Load::default());
        for (server, rate) in &changes.limits {
            match rate {
                Some(rate) => self.limits.insert(server.clone(), *rate),
                None => self.limits.remove(server),
            };
        }
        for (fingerprint, standing) in &changes.standings {
            match standing {
                Some(standing) => self.standings.insert(*fingerprint, *standing),
                None => self.standings.remove(fingerprint),
            };
        }
    }

    /// Returns the limits of calls that servers name to any router.
    pub fn limits(&self) -> &sorted::Map<id::BackendServerId, unit::CallRate> {
        &self.limits
    }

    /// Returns what is known of fingerprints that were lost with servers.
    pub fn standings(&self) -> &sorted::Map<model::Fingerprint, crashes::Standing> {
        &self.standings
    }

    /// Returns the gateways that accept callers.
    pub fn entries(&self) -> Vec<message::Entry> {
        to_entries(self.entries.iter().map(|(a, d)| (a, d.as_ref())))
    }

    /// Returns the loads of all other gateways, where `own` is what this one reported.
    pub fn loads_of_others(
        &self,
        own: &sorted::Map<id::BackendServerId, message::Load>,
    ) -> sorted::Map<id::BackendServerId, message::Load> {
        let others = self.loads.iter().map(|(server, total)| {
            let own = own.get(server).copied().unwrap_or_default();
            (server.clone(), total.less(own))
        });
        others
            .filter(|(_, load)| *load != message::Load::default())
            .collect()
    }
}

fn to_entries<'a>(
    entries: impl Iterator<Item = (&'a net::SocketAddr, Option<&'a id::DataCentre>)>,
) -> Vec<message::Entry> {
    let alive = entries.filter_map(|(address, data_centre)| {
        Some(message::Entry {
            address: *address,
            data_centre: data_centre?.clone(),
        })
    });
    alive.collect()
}
