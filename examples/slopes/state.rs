//! Configuration, membership, ranking of gateways for callers and ownership of roles: time of an
//! operation, and encoded size of the configuration.

use buckthorncleat::clock;
use buckthorncleat::controller::entries;
use buckthorncleat::controller::membership;
use buckthorncleat::controller::ownership;
use buckthorncleat::id;
use buckthorncleat::sorted;
use buckthorncleat::state::change;

use crate::fit;
use crate::fleet;
use crate::wire;

const MEMBERS: [usize; 5] = [10, 50, 150, 300, 630];
const ACCOUNTS: usize = 290;
const ROLES: usize = 315;

pub fn run() {
    let servers = [100, 500, 1_000, 2_000, 3_000];
    let title = "configuration: clone and apply one commit; 290 accounts, 630 members";
    let points = servers.map(|n| point(n, apply(n, 630)));
    fit::print_series(title, "servers", "microseconds", &points);
    let points = servers.map(|n| point(n, wire::size(&fleet::config(ACCOUNTS, n, 630))));
    fit::print_series("configuration: snapshot", "servers", "bytes", &points);
    let title = "configuration: snapshot; 290 accounts, 3,000 servers";
    let points = MEMBERS.map(|n| point(n, wire::size(&fleet::config(ACCOUNTS, 3_000, n))));
    fit::print_series(title, "members", "bytes", &points);
    let title = "membership: one watch at the leader";
    let points = MEMBERS.map(|n| point(n, watch(n)));
    fit::print_series(title, "members", "microseconds", &points);
    let points = MEMBERS.map(|n| point(n, rank(n)));
    fit::print_series(
        "entry advice: one answer",
        "members",
        "microseconds",
        &points,
    );
    let points = MEMBERS.map(|n| point(n, owner(n)));
    fit::print_series("ownership: one role", "members", "microseconds", &points);
    let title = "ownership: all of 315 roles, at each answer to a watch";
    let points = MEMBERS.map(|n| point(n, roles(n)));
    fit::print_series(title, "members", "microseconds", &points);
}

fn point(n: usize, y: f64) -> fit::Point {
    fit::Point { x: n as f64, y }
}

/// Returns the microseconds to clone the configuration and apply a commit that replaces a server.
fn apply(servers: usize, members: usize) -> f64 {
    let config = fleet::config(ACCOUNTS, servers, members);
    let commit = change::Commit {
        revision: config.revision.next(),
        changes: vec![change::Change::PutServer(fleet::server(servers / 2))],
    };
    fit::median_micros(
        20,
        || (),
        |(), _| {
            let mut next = config.clone();
            assert!(next.apply(&commit));
            next
        },
    )
}

/// Returns the microseconds that the leader takes to handle the `Watch` of an up-to-date member.
fn watch(members: usize) -> f64 {
    let config = fleet::config(ACCOUNTS, 0, members);
    let now = clock::Millis::new(1_000);
    let make = || {
        let mut sessions = membership::Membership::new(clock::Millis::from_secs(3));
        sessions.step(now, &config, membership::Input::Elected);
        sessions
    };
    fit::median_micros(200, make, |sessions, call| {
        let input = membership::Input::Watch {
            member: fleet::member(call % members),
            have: config.revision,
        };
        sessions.step(now, &config, input)
    })
}

/// Returns the microseconds to rank the gateways for one caller.
fn rank(members: usize) -> f64 {
    let config = fleet::config(0, 0, members);
    let now = clock::Millis::new(1_000);
    let loads: sorted::Map<id::InstanceId, entries::Load> = config
        .members
        .keys()
        .map(|id| {
            let load = entries::Load {
                running: 10,
                capacity: 100,
                seen: now,
            };
            (id.clone(), load)
        })
        .collect();
    let near = fleet::member(0).data_centre;
    fit::median_micros(
        100,
        || (),
        |(), call| {
            let seed = call as u64;
            entries::rank(&config.members, &loads, &near, entries::Query { now, seed })
        },
    )
}

/// Returns the microseconds to find the owner of one role.
fn owner(members: usize) -> f64 {
    let config = fleet::config(0, 0, members);
    let role = ownership::Role::Limiter(fleet::account(0).id);
    fit::median_micros(
        200,
        || (),
        |(), _| ownership::owner_of(&role, &config.members).cloned(),
    )
}

/// Returns the microseconds for a member to update its ownership of all roles.
fn roles(members: usize) -> f64 {
    let config = fleet::config(0, 0, members);
    let me = fleet::member(0);
    let roles: Vec<ownership::Role> = (0..ROLES)
        .map(|n| ownership::Role::Limiter(fleet::account(n).id))
        .collect();
    let now = clock::Millis::new(1_000);
    let make = || {
        let mut ownership = ownership::Ownership::new(me.id.clone(), me.incarnation);
        ownership.configure(config.epoch, &config.members);
        ownership.extend_lease(clock::Millis::from_secs(60));
        ownership.set_settled(config.epoch);
        ownership
    };
    fit::median_micros(10, make, |ownership, _| ownership.update(now, &roles))
}
