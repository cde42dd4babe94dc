//! Checks of an operator's changes against the configuration that would result.
//!
//! They run inside the replicated state machine, on top of all earlier changes, so that concurrent
//! changes by two operators can't combine into a configuration that the checks refuse.

use std::fmt;
use std::net;

use crate::clock;
use crate::id;
use crate::macros;
use crate::sorted;
use crate::state::change;
use crate::state::model;
use crate::state::subject;
use crate::unit;

/// Largest weight of a client account.
pub const MAX_WEIGHT: u32 = 1_000;

/// Longest deadline or latency target.
pub const MAX_TIME: clock::Millis = clock::Millis::from_secs(3600);

/// Most requests that one backend server may run at once.
pub const MAX_SLOTS: u32 = 10_000;

/// Most faults that one refusal lists.
pub const MAX_FAULTS: usize = 256;

macros::data! {
    /// One reason to refuse a change.
    pub struct Fault {
        /// The invalid field, such as `account chefs: rate`.
        pub field: String,
        /// The refused value.
        pub value: String,
        /// What to do about it.
        pub remedy: String,
        /// Whether the fault is that the named thing does not exist.
        pub missing: bool,
    }
}

impl Fault {
    pub fn new(
        field: impl Into<String>,
        value: impl fmt::Display,
        remedy: impl Into<String>,
    ) -> Self {
        Self {
            field: field.into(),
            value: value.to_string(),
            remedy: remedy.into(),
            missing: false,
        }
    }

    /// Returns the fault of removing a thing that does not exist.
    fn missing(subject: subject::Subject) -> Self {
        let remedy = "list what exists; it may have been removed already";
        Self {
            missing: true,
            ..Self::new(subject.kind.to_string(), subject.name, remedy)
        }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}: bad value `{}`: {}",
            self.field, self.value, self.remedy
        )
    }
}

/// Returns all faults of the changes, applied in order on top of `config`.
pub fn check(config: &change::Config, changes: &[change::Change]) -> Vec<Fault> {
    let mut faults = Vec::new();
    let mut next = config.clone();
    for change in changes {
        check_change(&next, change, &mut faults);
        next.apply_change(change);
    }
    check_references(&next, &mut faults);
    faults.extend(duplicates(&next));
    faults
}

/// Returns the faults that show in the value of a change alone, without the configuration.
pub fn standalone(change: &change::Change) -> Vec<Fault> {
    let mut faults = Vec::new();
    match change {
        change::Change::PutAccount(account) => check_account(account, &mut faults),
        change::Change::PutModel(model) => check_model(model, &mut faults),
        change::Change::PutServer(server) => check_server(server, &mut faults),
        change::Change::PutRoute(route) => check_route(route, &mut faults),
        _ => {}
    }
    faults
}

/// Returns the changes that have an effect, each applied after the ones before it.
pub fn effective(config: &change::Config, changes: &[change::Change]) -> Vec<change::Change> {
    let mut next = config.clone();
    let mut kept = Vec::new();
    for change in changes {
        if !is_no_op(&next, change) {
            next.apply_change(change);
            kept.push(change.clone());
        }
    }
    kept
}

/// Returns whether a change would leave the configuration as it is.
pub fn is_no_op(config: &change::Config, change: &change::Change) -> bool {
    use change::Change;
    match change {
        Change::PutAccount(account) => config.accounts.get(&account.id) == Some(account),
        Change::RemoveAccount(id) => !config.accounts.contains(id),
        Change::PutKey(key) => config.keys.get(&key.id) == Some(key),
        Change::RemoveKey(id) => !config.keys.contains(id),
        Change::PutModel(model) => config.models.get(&model.id) == Some(model),
        Change::RemoveModel(id) => !config.models.contains(id),
        Change::PutServer(server) => config.servers.get(&server.id) == Some(server),
        Change::RemoveServer(id) => !config.servers.contains(id),
        Change::PutRoute(route) => config.routes.get(&route.id) == Some(route),
        Change::RemoveRoute(id) => !config.routes.contains(id),
        Change::PutMember(member) => config.members.get(&member.id) == Some(member),
        Change::RemoveMember(id) => !config.members.contains(id),
        Change::Quarantine(fingerprint) => config.quarantined.contains(fingerprint),
        Change::Release(fingerprint) => !config.quarantined.contains(fingerprint),
        // `Config` decides whether a report is of the same loss or of a second one.
        Change::Suspect(report) => config.quarantined.contains(&report.fingerprint),
        Change::ClearSuspect(fingerprint) => !config.suspects.contains(fingerprint),
    }
}

fn check_change(config: &change::Config, change: &change::Change, faults: &mut Vec<Fault>) {
    use change::Change;
    match change {
        Change::PutAccount(_)
        | Change::PutModel(_)
        | Change::PutServer(_)
        | Change::PutRoute(_) => faults.extend(standalone(change)),
        Change::PutKey(key) => check_key(config, key, faults),
        Change::PutMember(_) | Change::RemoveMember(_) => faults.push(Fault::new(
            "change",
            "member",
            "leave the membership to the system; drain or stop the instance instead",
        )),
        Change::Suspect(_) | Change::ClearSuspect(_) => faults.push(Fault::new(
            "change",
            "suspect",
            "leave suspects to the system; put or release a quarantine instead",
        )),
        Change::Quarantine(_) => {}
        Change::RemoveAccount(_)
        | Change::RemoveKey(_)
        | Change::RemoveModel(_)
        | Change::RemoveServer(_)
        | Change::RemoveRoute(_)
        | Change::Release(_) => {
            if is_no_op(config, change) {
                faults.push(Fault::missing(subject::Subject::from_change(change)));
            }
        }
    }
}

fn check_account(account: &model::ClientAccount, faults: &mut Vec<Fault>) {
    let field = |name| format!("account {}: {name}", account.id);
    if account.rate.as_u64() == 0 {
        let remedy = "give at least 1 token per second, or remove the account";
        faults.push(Fault::new(field("rate"), account.rate, remedy));
    }
    if account.burst.as_u64() < account.rate.as_u64() {
        let remedy = format!("give at least one second of its rate ({})", account.rate);
        faults.push(Fault::new(field("burst"), account.burst, remedy));
    }
    if account.weight == 0 || account.weight > MAX_WEIGHT {
        let remedy = format!("use 1 to {MAX_WEIGHT}");
        faults.push(Fault::new(field("weight"), account.weight, remedy));
    }
}

fn check_key(config: &change::Config, key: &model::Key, faults: &mut Vec<Fault>) {
    let present = config.keys.get(&key.id);
    if present.is_some_and(|p| p != key) {
        let remedy = "withdraw the key of this name first, or choose another name";
        faults.push(Fault::new("key", &key.id, remedy));
    }
    let holder = config.key_hashes.get(&key.hash);
    if holder.is_some_and(|h| *h != key.id) {
        let remedy = "make a new secret; another key has this one";
        faults.push(Fault::new(
            format!("key {}: hash", key.id),
            key.hash,
            remedy,
        ));
    }
}

fn check_model(model: &model::Model, faults: &mut Vec<Fault>) {
    let field = |name| format!("model {}: {name}", model.id);
    check_time(field("first_token"), model.first_token, faults);
    check_time(field("between_tokens"), model.between_tokens, faults);
    if model.max_output.as_u64() == 0 {
        let remedy = "allow at least 1 token of output";
        faults.push(Fault::new(field("max_output"), model.max_output, remedy));
    }
    if model.kv_bytes_per_token.as_u64() == 0 {
        let remedy = "give the bytes of KV cache of one token, such as 131072";
        let value = model.kv_bytes_per_token;
        faults.push(Fault::new(field("kv_bytes_per_token"), value, remedy));
    }
}

fn check_server(server: &model::BackendServer, faults: &mut Vec<Fault>) {
    let field = |name| format!("server {}: {name}", server.id);
    if let Some(remedy) = address_remedy(server.address) {
        faults.push(Fault::new(field("address"), server.address, remedy));
    }
    if server.slots == 0 || server.slots > MAX_SLOTS {
        let remedy = format!("use 1 to {MAX_SLOTS}");
        faults.push(Fault::new(field("slots"), server.slots, remedy));
    }
    if server.role == model::Role::Plain {
        check_plain_server(server, faults);
    } else {
        check_engine(server, faults);
    }
}

fn check_plain_server(server: &model::BackendServer, faults: &mut Vec<Fault>) {
    let field = |name| format!("server {}: {name}", server.id);
    if !server.models.is_empty() {
        let remedy = "leave empty for a plain service";
        faults.push(Fault::new(field("models"), join(&server.models), remedy));
    }
    if server.routes.is_empty() {
        let remedy = "name at least one route for a plain service";
        faults.push(Fault::new(field("routes"), "", remedy));
    }
}

fn check_engine(server: &model::BackendServer, faults: &mut Vec<Fault>) {
    let field = |name| format!("server {}: {name}", server.id);
    if server.models.is_empty() {
        let remedy = "name at least one model for a model engine";
        faults.push(Fault::new(field("models"), "", remedy));
    }
    if !server.routes.is_empty() {
        let remedy = "leave empty for a model engine";
        faults.push(Fault::new(field("routes"), join(&server.routes), remedy));
    }
    if server.memory == unit::Pieces::new(0) {
        let remedy = "give a model engine at least 1 piece of memory";
        faults.push(Fault::new(field("memory"), server.memory, remedy));
    }
    if server.link == unit::BytesPerSecond::new(0) {
        let remedy = "give the bandwidth of the engine's link in bytes per second";
        faults.push(Fault::new(field("link"), server.link, remedy));
    }
}

fn check_route(route: &model::Route, faults: &mut Vec<Fault>) {
    let field = |name| format!("route {}: {name}", route.id);
    if !is_prefix(&route.prefix) {
        let remedy = "begin with `/`, use printable ASCII without space, `?` or `#`, and leave \
                      out a last `/`";
        faults.push(Fault::new(field("prefix"), &route.prefix, remedy));
    } else if route.prefix == "/v1" || route.prefix.starts_with("/v1/") {
        let remedy = "choose another prefix; `/v1` is reserved for the system";
        faults.push(Fault::new(field("prefix"), &route.prefix, remedy));
    }
    for method in &route.idempotent_methods {
        if method.is_empty() || !method.bytes().all(|b| b.is_ascii_uppercase()) {
            let remedy = "use upper-case method names such as GET";
            faults.push(Fault::new(field("idempotent_methods"), method, remedy));
        }
    }
    check_time(field("deadline"), route.deadline, faults);
}

fn is_prefix(prefix: &str) -> bool {
    let plain = |b: u8| b.is_ascii_graphic() && !matches!(b, b'?' | b'#');
    prefix.len() > 1
        && prefix.starts_with('/')
        && !prefix.ends_with('/')
        && prefix.bytes().all(plain)
}

fn check_time(field: String, time: clock::Millis, faults: &mut Vec<Fault>) {
    if time == clock::Millis::ZERO || time > MAX_TIME {
        let remedy = format!("use 1 to {} milliseconds", MAX_TIME.as_u64());
        faults.push(Fault::new(field, time.as_u64(), remedy));
    }
}

/// Returns the remedy for an address that no other process can connect to, or `None` for a usable
/// one.
pub fn address_remedy(address: net::SocketAddr) -> Option<&'static str> {
    if address.port() == 0 {
        return Some("give a port from 1 to 65535");
    }
    if address.ip().is_unspecified() || address.ip().is_multicast() {
        return Some("give the IP number that others connect to");
    }
    None
}

fn check_references(config: &change::Config, faults: &mut Vec<Fault>) {
    for key in config.keys.values() {
        if !config.accounts.contains(&key.account) {
            let field = format!("key {}: account", key.id);
            faults.push(Fault::new(field, &key.account, "create the account first"));
        }
    }
    for server in config.servers.values() {
        for id in server
            .models
            .iter()
            .filter(|id| !config.models.contains(id))
        {
            let field = format!("server {}: models", server.id);
            let remedy = "create the model first; or take it off the servers before removing it";
            faults.push(Fault::new(field, id, remedy));
        }
        for id in server
            .routes
            .iter()
            .filter(|id| !config.routes.contains(id))
        {
            let field = format!("server {}: routes", server.id);
            let remedy = "create the route first; or take it off the servers before removing it";
            faults.push(Fault::new(field, id, remedy));
        }
    }
}

/// Returns a fault for each server with another's address and each route with another's prefix.
pub fn duplicates(config: &change::Config) -> Vec<Fault> {
    let mut faults = Vec::new();
    let mut addresses: sorted::Map<net::SocketAddr, &id::BackendServerId> = sorted::Map::new();
    for server in config.servers.values() {
        if let Some(other) = addresses.insert(server.address, &server.id) {
            let field = format!("server {}: address", server.id);
            let remedy = format!("give it an address of its own; server {other} has this one");
            faults.push(Fault::new(field, server.address, remedy));
        }
    }
    let mut prefixes: sorted::Map<&str, &id::RouteId> = sorted::Map::new();
    for route in config.routes.values() {
        if let Some(other) = prefixes.insert(&route.prefix, &route.id) {
            let field = format!("route {}: prefix", route.id);
            let remedy = format!("give it a prefix of its own; route {other} has this one");
            faults.push(Fault::new(field, &route.prefix, remedy));
        }
    }
    faults
}

fn join(names: &[impl fmt::Display]) -> String {
    let names: Vec<_> = names.iter().map(ToString::to_string).collect();
    names.join(" ")
}
