//! Checks the values of settings, beyond what the types of the fields check.

use std::net;

use crate::clock;
use crate::config::file;
use crate::config::settings;
use crate::error;
use crate::id;
use crate::sorted;
use crate::state::check;

/// The most voting members that the control group may have.
pub const MAX_CONTROL_MEMBERS: usize = 10;

/// Returns all faults in the settings of a gateway.
pub fn gateway(cfg: &settings::Gateway) -> Vec<error::Error> {
    let mut faults = Vec::new();
    let own = [
        ("caller_address", cfg.caller_address),
        ("peer_address", cfg.peer_address),
        ("status_address", cfg.status_address),
    ];
    check_addresses(&own, &mut faults);
    if let Some(address) = cfg.platform_address {
        check_address("platform_address".to_owned(), address, &mut faults);
    }
    check_group("control", &cfg.control, &mut faults);
    for (i, peer) in cfg.control.iter().enumerate() {
        if own.iter().any(|(_, address)| *address == peer.peer_address) {
            let field = format!("control[{i}].peer_address");
            let remedy = "give the gateway an address of its own";
            faults.push(error::Error::bad_value(field, peer.peer_address, remedy));
        }
    }
    gateway_timing(&cfg.timing, &mut faults);
    faults
}

/// Returns all faults in the settings of a control member.
pub fn control(cfg: &settings::Control) -> Vec<error::Error> {
    let mut faults = Vec::new();
    let own = [
        ("peer_address", cfg.peer_address),
        ("admin_address", cfg.admin_address),
    ];
    check_addresses(&own, &mut faults);
    check_group("members", &cfg.members, &mut faults);
    match cfg.members.iter().find(|m| m.instance == cfg.instance) {
        None if cfg.joins => {}
        None => {
            let remedy = "name this instance among `members`, or set `joins` to true for one that \
                          an operator admits later";
            faults.push(error::Error::bad_value("instance", &cfg.instance, remedy));
        }
        Some(_) if cfg.joins => {
            let remedy = "set `joins` to false, or leave this instance out of `members`";
            faults.push(error::Error::bad_value("joins", cfg.joins, remedy));
        }
        Some(member) if member.peer_address != cfg.peer_address => {
            let remedy = format!("use {}, as `members` says", member.peer_address);
            faults.push(error::Error::bad_value(
                "peer_address",
                cfg.peer_address,
                remedy,
            ));
        }
        Some(_) => {}
    }
    control_timing(&cfg.timing, &mut faults);
    faults
}

/// Returns all faults in the settings of the operators' tool.
pub fn operator(cfg: &settings::Operator) -> Vec<error::Error> {
    let mut faults = Vec::new();
    if cfg.admin.is_empty() {
        let remedy = "name the admin address of at least one control member";
        faults.push(error::Error::bad_value("admin", "[]", remedy));
    }
    let addresses = cfg.admin.iter().map(|a| ("admin", *a));
    let addresses: Vec<_> = addresses
        .chain(cfg.gateways.iter().map(|a| ("gateways", *a)))
        .collect();
    check_addresses(&addresses, &mut faults);
    check_range(
        "timeout_ms",
        cfg.timeout_ms.as_u64(),
        100,
        600_000,
        &mut faults,
    );
    faults
}

/// Returns all faults between the settings files of one deployment, such as an address used twice.
pub fn deployment(files: &[file::Settings]) -> Vec<error::Error> {
    let mut faults = Vec::new();
    let mut names: sorted::Map<&id::InstanceId, ()> = sorted::Map::new();
    let mut addresses: sorted::Map<net::SocketAddr, &id::InstanceId> = sorted::Map::new();
    for cfg in files {
        let (instance, own) = match cfg {
            file::Settings::Gateway(g) => (
                &g.instance,
                vec![g.caller_address, g.peer_address, g.status_address],
            ),
            file::Settings::Control(c) => (&c.instance, vec![c.peer_address, c.admin_address]),
            file::Settings::Operator(_) => continue,
        };
        if names.insert(instance, ()).is_some() {
            let remedy = "give every process an instance name of its own";
            faults.push(error::Error::bad_value("instance", instance, remedy));
        }
        for address in own {
            if let Some(other) = addresses.insert(address, instance) {
                let field = format!("{instance}: address");
                let remedy = format!("give it an address of its own; {other} has this one");
                faults.push(error::Error::bad_value(field, address, remedy));
            }
        }
    }
    check_gateways(files, &mut faults);
    faults
}

fn check_gateways(files: &[file::Settings], faults: &mut Vec<error::Error>) {
    let controls = || {
        files.iter().filter_map(|f| match f {
            file::Settings::Control(c) => Some(c),
            _ => None,
        })
    };
    let gateways = files.iter().filter_map(|f| match f {
        file::Settings::Gateway(g) => Some(g),
        _ => None,
    });
    for gateway in gateways {
        for control in controls() {
            check_gateway_with_control(gateway, control, faults);
        }
    }
}

fn check_gateway_with_control(
    gateway: &settings::Gateway,
    control: &settings::Control,
    faults: &mut Vec<error::Error>,
) {
    let lease = gateway.timing.freshness_lease_ms;
    let session = control.timing.session_ms;
    if session <= lease {
        let field = format!("{}: timing.session_ms", control.instance);
        let remedy = format!(
            "make it longer than {}, the freshness_lease_ms of {}",
            lease.as_u64(),
            gateway.instance
        );
        faults.push(error::Error::bad_value(field, session.as_u64(), remedy));
    }
    let own = settings::ControlPeer {
        instance: control.instance.clone(),
        peer_address: control.peer_address,
    };
    if !gateway.control.contains(&own) {
        let field = format!("{}: control", gateway.instance);
        let remedy = format!("add {} at {}", own.instance, own.peer_address);
        faults.push(error::Error::bad_value(field, "(list)", remedy));
    }
}

fn check_group(field: &str, peers: &[settings::ControlPeer], faults: &mut Vec<error::Error>) {
    if peers.is_empty() || peers.len() > MAX_CONTROL_MEMBERS {
        let remedy = format!("name 1 to {MAX_CONTROL_MEMBERS} members; 3 or 5 are usual");
        faults.push(error::Error::bad_value(field, peers.len(), remedy));
    }
    let mut names: sorted::Map<&id::InstanceId, ()> = sorted::Map::new();
    let mut addresses: sorted::Map<net::SocketAddr, ()> = sorted::Map::new();
    for (i, peer) in peers.iter().enumerate() {
        if names.insert(&peer.instance, ()).is_some() {
            let remedy = "name each instance once";
            let field = format!("{field}[{i}].instance");
            faults.push(error::Error::bad_value(field, &peer.instance, remedy));
        }
        let field = format!("{field}[{i}].peer_address");
        if addresses.insert(peer.peer_address, ()).is_some() {
            let remedy = "give each instance an address of its own";
            faults.push(error::Error::bad_value(&field, peer.peer_address, remedy));
        }
        check_address(field, peer.peer_address, faults);
    }
}

fn gateway_timing(timing: &settings::GatewayTiming, faults: &mut Vec<error::Error>) {
    let ranges = [
        ("freshness_lease_ms", timing.freshness_lease_ms, 200, 60_000),
        ("peer_timeout_ms", timing.peer_timeout_ms, 10, 10_000),
        (
            "caller_read_timeout_ms",
            timing.caller_read_timeout_ms,
            100,
            600_000,
        ),
        ("silence_bound_ms", timing.silence_bound_ms, 100, 60_000),
        ("drain_ms", timing.drain_ms, 0, 3_600_000),
    ];
    check_times(&ranges, faults);
    let body = timing.max_body_bytes as u64;
    check_range("timing.max_body_bytes", body, 1 << 10, 64 << 20, faults);
    let requests = timing.max_requests as u64;
    check_range("timing.max_requests", requests, 1, 1_000_000, faults);
    check_shorter(
        ("timing.peer_timeout_ms", timing.peer_timeout_ms),
        ("timing.freshness_lease_ms", timing.freshness_lease_ms),
        faults,
    );
}

fn check_times(ranges: &[(&str, clock::Millis, u64, u64)], faults: &mut Vec<error::Error>) {
    for (field, time, min, max) in ranges {
        let field = format!("timing.{field}");
        check_range(&field, time.as_u64(), *min, *max, faults);
    }
}

fn control_timing(timing: &settings::ControlTiming, faults: &mut Vec<error::Error>) {
    let ranges = [
        ("election_ms", timing.election_ms, 20, 60_000),
        ("heartbeat_ms", timing.heartbeat_ms, 5, 10_000),
        ("session_ms", timing.session_ms, 100, 120_000),
    ];
    check_times(&ranges, faults);
    let entries = timing.snapshot_entries;
    check_range("timing.snapshot_entries", entries, 16, 10_000_000, faults);
    check_shorter(
        ("three times timing.heartbeat_ms", timing.heartbeat_ms * 3),
        (
            "timing.election_ms",
            timing.election_ms + clock::Millis::new(1),
        ),
        faults,
    );
    // A session must outlast the elections that follow the loss of a leader.
    check_shorter(
        ("four times timing.election_ms", timing.election_ms * 4),
        (
            "timing.session_ms",
            timing.session_ms + clock::Millis::new(1),
        ),
        faults,
    );
}

fn check_shorter(
    (field, time): (&str, clock::Millis),
    (other, bound): (&str, clock::Millis),
    faults: &mut Vec<error::Error>,
) {
    if time >= bound {
        let remedy = format!("make it shorter than {other}, {}", bound.as_u64());
        faults.push(error::Error::bad_value(field, time.as_u64(), remedy));
    }
}

fn check_range(field: &str, value: u64, min: u64, max: u64, faults: &mut Vec<error::Error>) {
    if value < min || value > max {
        let remedy = format!("use {min} to {max}");
        faults.push(error::Error::bad_value(field, value, remedy));
    }
}

fn check_addresses(addresses: &[(&str, net::SocketAddr)], faults: &mut Vec<error::Error>) {
    let mut seen: sorted::Map<net::SocketAddr, &str> = sorted::Map::new();
    for (field, address) in addresses {
        check_address((*field).to_owned(), *address, faults);
        if let Some(other) = seen.insert(*address, field) {
            let remedy = format!("use another than `{other}`");
            faults.push(error::Error::bad_value(*field, address, remedy));
        }
    }
}

fn check_address(field: String, address: net::SocketAddr, faults: &mut Vec<error::Error>) {
    if let Some(remedy) = check::address_remedy(address) {
        faults.push(error::Error::bad_value(field, address, remedy));
    }
}
