//! The document in force, indexed for look-ups by route and key.

use crate::document;
use crate::id;
use crate::router::protocol;
use crate::state::model;

/// Accounts with a label of their own in metrics: enough for the large ones, and a few kilobytes
/// per gateway.
const MAX_ACCOUNT_LABELS: usize = 64;

/// The document in force with its indexes.
#[derive(Debug)]
pub struct Table {
    document: document::Document,
    /// Indexes of the routes, sorted by host and path prefix.
    routes_by_prefix: Vec<usize>,
    /// Hashes of the keys with the index of the account, sorted.
    keys: Vec<(model::KeyHash, usize)>,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Caller<'a> {
    /// The route is open, or there are no accounts; nobody is charged.
    Anonymous,
    Account(&'a document::Account),
    /// The key is missing or unknown.
    Unknown,
}

impl Table {
    pub fn new(document: document::Document) -> Self {
        let routes = &document.routes;
        let mut routes_by_prefix: Vec<usize> = (0..routes.len()).collect();
        routes_by_prefix
            .sort_by(|a, b| host_and_prefix(&routes[*a]).cmp(&host_and_prefix(&routes[*b])));
        let of = |at: usize| document.accounts[at].keys.iter().map(move |key| (*key, at));
        let mut keys: Vec<_> = (0..document.accounts.len()).flat_map(of).collect();
        keys.sort();
        Self {
            routes_by_prefix,
            keys,
            document,
        }
    }

    pub fn document(&self) -> &document::Document {
        &self.document
    }

    /// Returns the route with the longest matching path prefix among those of a host.
    pub fn route(&self, host: &str, path: &str) -> Option<&document::Route> {
        let slashes = path.rmatch_indices('/').map(|(at, _)| &path[..=at]);
        slashes.into_iter().find_map(|prefix| {
            let found = self.routes_by_prefix.binary_search_by(|at| {
                host_and_prefix(&self.document.routes[*at]).cmp(&(host, prefix))
            });
            found
                .ok()
                .map(|at| &self.document.routes[self.routes_by_prefix[at]])
        })
    }

    /// Returns the account that a request is charged to.
    pub fn caller(&self, route: &document::Route, key: Option<&str>) -> Caller<'_> {
        if route.open || self.document.accounts.is_empty() {
            return Caller::Anonymous;
        }
        let Some(key) = key else {
            return Caller::Unknown;
        };
        let hash = model::KeyHash::from_secret(key.as_bytes());
        match self.keys.binary_search_by(|(k, _)| k.cmp(&hash)) {
            Ok(at) => Caller::Account(&self.document.accounts[self.keys[at].1]),
            Err(_) => Caller::Unknown,
        }
    }

    /// Returns the account's label in metrics; accounts past the first 64 share one.
    pub fn account_label<'a>(&self, account: &'a document::Account) -> &'a str {
        let first = self.document.accounts.iter().take(MAX_ACCOUNT_LABELS);
        if first.map(|a| &a.id).any(|id| *id == account.id) {
            account.id.as_str()
        } else {
            "others"
        }
    }

    pub fn service(&self, id: &document::ServiceId) -> Option<&document::Service> {
        self.document.services.iter().find(|s| s.id == *id)
    }

    /// Picks the service for a request, by weight; `random` is any random number. `None` when all
    /// weights are 0.
    pub fn pick_service<'a>(
        &self,
        route: &'a document::Route,
        random: u64,
    ) -> Option<&'a document::ServiceId> {
        let total: u64 = route.split.iter().map(|s| u64::from(s.weight)).sum();
        let mut remaining = random.checked_rem(total)?;
        for share in &route.split {
            let weight = u64::from(share.weight);
            if remaining < weight {
                return Some(&share.service);
            }
            remaining -= weight;
        }
        None
    }
}

fn host_and_prefix(route: &document::Route) -> (&str, &str) {
    (&route.host, &route.prefix)
}

impl document::Account {
    /// Returns the units that a request takes from the account's quota.
    pub fn cost(&self, generation: Option<&protocol::Generation>) -> u64 {
        match self.quota.map(|q| q.unit) {
            None => 0,
            Some(document::QuotaUnit::Requests) => 1,
            Some(document::QuotaUnit::Tokens { plain }) => {
                generation.map_or(plain, |g| g.prompt.as_u64() + g.max_output.as_u64())
            }
        }
    }
}

/// Returns a digest of account, path with query, and body, which is the same for each resend of a request.
pub fn fingerprint(
    account: Option<&id::ClientAccountId>,
    target: &str,
    body: &[u8],
) -> model::Fingerprint {
    let mut hasher = xxhash_rust::xxh3::Xxh3::new();
    hasher.update(account.map_or("", id::ClientAccountId::as_str).as_bytes());
    hasher.update(&[0]);
    hasher.update(target.as_bytes());
    hasher.update(&[0]);
    hasher.update(body);
    model::Fingerprint::new(hasher.digest())
}
