//! Which routers to ask to serve a request for a service that this one does not reach.

use std::net;

use crate::clock;
use crate::document;
use crate::fleet::message;
use crate::id;
use crate::sorted;

/// The most routers that are asked for one request. Declining takes one round trip.
const MAX_ASKED: usize = 8;

/// The most routers that are remembered to serve a service, so that work is spread over several.
const MAX_PROVEN: usize = 8;

/// How long a router that served a request is expected to serve further ones.
const PROVEN_TIME: clock::Millis = clock::Millis::from_secs(2);

/// How long a router that declined a request for a service, or could not be reached, is asked for that
/// service only after the others.
const DECLINED_TIME: clock::Millis = clock::Millis::from_secs(5);

/// How long nobody is asked for a service after all that were asked for a request declined it: the service
/// may be down.
const PAUSE: clock::Millis = clock::Millis::new(250);

/// What a router knows of others as helpers.
#[derive(Debug, Default)]
pub struct Helpers {
    /// Until when a router is asked for a service only after the others.
    declined: sorted::Map<(document::ServiceId, net::SocketAddr), clock::Millis>,
    paused: sorted::Map<document::ServiceId, clock::Millis>,
    /// The routers that served requests for a service, and until when they are expected to.
    proven: sorted::Map<document::ServiceId, Vec<(net::SocketAddr, clock::Millis)>>,
}

impl Helpers {
    /// Returns the routers to ask for a service, in this order: one that served it lately, one of the same
    /// data centre, those of others, since a whole data centre may have lost the service, and last those that
    /// declined lately. While few have served it, every second request tries another one first.
    pub fn candidates(
        &self,
        now: clock::Millis,
        service: &document::ServiceId,
        own: (net::SocketAddr, &id::DataCentre),
        entries: &[message::Entry],
        random: u64,
    ) -> Vec<net::SocketAddr> {
        if self.paused.get(service).is_some_and(|until| now < *until) {
            return Vec::new();
        }
        let (own_address, own_centre) = own;
        let has_declined = |e: &&message::Entry| {
            let declined = self.declined.get(&(service.clone(), e.address));
            declined.is_some_and(|until| now < *until)
        };
        let others = entries.iter().filter(|e| e.address != own_address);
        let (declined, open): (Vec<_>, Vec<_>) = others.partition(has_declined);
        let is_near = |e: &&message::Entry| e.data_centre == *own_centre;
        let (mut near, mut far): (Vec<_>, Vec<_>) = open.into_iter().partition(is_near);
        let mut last = declined;
        for group in [&mut near, &mut far, &mut last] {
            let start = random as usize % group.len().max(1);
            group.rotate_left(start);
        }
        let rest = near.split_off(near.len().min(1));
        let ordered = near.into_iter().chain(far).chain(rest).chain(last);
        let mut ordered: Vec<_> = ordered.map(|e| e.address).collect();
        let proven = self.proven(now, service, entries);
        let explores = proven.len() < MAX_PROVEN && random.is_multiple_of(2);
        if let Some(first) = proven.get(random as usize / 2 % proven.len().max(1)) {
            ordered.retain(|a| a != first);
            ordered.insert(usize::from(explores).min(ordered.len()), *first);
        }
        ordered.truncate(MAX_ASKED);
        ordered
    }

    /// Returns the routers that served a service lately and still accept callers.
    fn proven(
        &self,
        now: clock::Millis,
        service: &document::ServiceId,
        entries: &[message::Entry],
    ) -> Vec<net::SocketAddr> {
        let proven = self.proven.get(service).into_iter().flatten();
        let current = proven.filter(|(address, until)| {
            now < *until && entries.iter().any(|e| e.address == *address)
        });
        current.map(|(address, _)| *address).collect()
    }

    /// Records that a router declined a request for a service, or could not be reached.
    pub fn record_declined(
        &mut self,
        now: clock::Millis,
        service: &document::ServiceId,
        router: net::SocketAddr,
    ) {
        self.declined.retain(|_, until| now < *until);
        let key = (service.clone(), router);
        self.declined.insert(key, now + DECLINED_TIME);
        if let Some(proven) = self.proven.get_mut(service) {
            proven.retain(|(address, _)| *address != router);
        }
    }

    /// Records that no router that was asked for a request served it.
    pub fn record_none(&mut self, now: clock::Millis, service: &document::ServiceId) {
        self.paused.insert(service.clone(), now + PAUSE);
    }

    /// Records that a router served a request for a service.
    pub fn record_served(
        &mut self,
        now: clock::Millis,
        service: &document::ServiceId,
        router: net::SocketAddr,
    ) {
        self.paused.remove(service);
        self.declined.remove(&(service.clone(), router));
        let proven = self.proven.get_or_insert_with(service.clone(), Vec::new);
        proven.retain(|(address, until)| *address != router && now < *until);
        proven.push((router, now + PROVEN_TIME));
        if proven.len() > MAX_PROVEN {
            proven.remove(0);
        }
    }
}
