//! Settings files: the examples are good, and every fault is named with field, value and remedy.

use std::fs;
use std::path;

use buckthorncleat::config::check;
use buckthorncleat::config::file;
use buckthorncleat::config::settings;

const SECRET: &str = "0123456789abcdef0123456789abcdef";

/// Copies an example to a new folder and makes its secrets.
fn example(name: &str) -> tempfile::TempDir {
    let folder = tempfile::tempdir().expect("a folder");
    let from = path::Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("examples")
        .join(name);
    for entry in fs::read_dir(from).expect("the example").flatten() {
        if entry.path().is_file() {
            fs::copy(entry.path(), folder.path().join(entry.file_name())).expect("a copy");
        }
    }
    fs::create_dir(folder.path().join("run")).expect("a folder");
    fs::write(folder.path().join("run/secret"), SECRET).expect("a secret");
    let operators = format!("planner {SECRET}\n");
    fs::write(folder.path().join("run/operators"), operators).expect("operators");
    folder
}

fn json_files(folder: &path::Path) -> Vec<path::PathBuf> {
    let files = fs::read_dir(folder).expect("the folder").flatten();
    let mut files: Vec<_> = files.map(|e| e.path()).collect();
    files.retain(|p| p.extension().is_some_and(|x| x == "json"));
    files.sort();
    files
}

#[test]
fn examples_have_the_sizes_of_today() {
    for name in ["rempah", "pinar"] {
        let folder = example(name);
        let files = json_files(folder.path());
        let all: Vec<_> = files
            .iter()
            .map(|f| file::Settings::from_file(f).expect("good settings"))
            .collect();
        let count = |is: fn(&file::Settings) -> bool| all.iter().filter(|s| is(s)).count();
        assert_eq!(count(|s| matches!(s, file::Settings::Control(_))), 3);
        assert_eq!(count(|s| matches!(s, file::Settings::Gateway(_))), 6);
        assert_eq!(count(|s| matches!(s, file::Settings::Operator(_))), 1);
        assert!(check::together(&all).is_empty());
    }
}

/// Reads a gateway's settings after replacing some text, and returns the message.
fn gateway_fault(replacements: &[(&str, &str)]) -> String {
    fault("gateway-a1.json", replacements, |p| {
        settings::Gateway::from_file(p).map(drop)
    })
}

fn control_fault(replacements: &[(&str, &str)]) -> String {
    fault("control-a.json", replacements, |p| {
        settings::Control::from_file(p).map(drop)
    })
}

fn fault(
    name: &str,
    replacements: &[(&str, &str)],
    read: impl FnOnce(&path::Path) -> buckthorncleat::Result<()>,
) -> String {
    let folder = example("rempah");
    let path = folder.path().join(name);
    let mut text = fs::read_to_string(&path).expect("the example");
    for (old, new) in replacements {
        assert!(text.contains(old), "{old} is in {name}");
        text = text.replacen(old, new, 1);
    }
    fs::write(&path, text).expect("a file");
    read(&path).expect_err("a fault").to_string()
}

#[test]
fn gateway_faults_name_field_value_and_remedy() {
    let table = [
        (
            "\"objective\"",
            "\"objectives\"",
            "objectives: bad value `\"worst-served-account\"`: remove",
        ),
        (
            "127.0.0.1:7101",
            "127.0.0.1",
            "caller_address: bad value `\"127.0.0.1\"`",
        ),
        (
            "127.0.0.1:7101",
            "0.0.0.0:7101",
            "caller_address: bad value `0.0.0.0:7101`: give the IP",
        ),
        ("127.0.0.1:7101", "127.0.0.1:0", "give a port from 1"),
        (
            "127.0.0.1:7101",
            "127.0.0.1:7201",
            "use another than `caller_address`",
        ),
        (
            "127.0.0.1:7101",
            "127.0.0.1:7001",
            "give the gateway an address of its own",
        ),
        ("gw-a1", "gw a1", "instance: bad value `\"gw a1\"`"),
        (
            "ctl-b",
            "ctl-a",
            "control[1].instance: bad value `ctl-a`: name each instance once",
        ),
        (
            "7002",
            "7001",
            "control[1].peer_address: bad value `127.0.0.1:7001`: give each",
        ),
        (
            "run/secret",
            "run/none",
            "make it with `buckthorncleat secret FILE`",
        ),
        (
            "\"secret_file\": \"run/secret\",",
            "",
            "secret_file: bad value `(missing)`: add this",
        ),
        (
            "worst-served-account",
            "fair",
            "objective: bad value `\"fair\"`",
        ),
        (
            "{\n",
            "{ \"timing\": { \"freshness_lease_ms\": 1 },\n",
            "use 200 to 60000",
        ),
        (
            "{\n",
            "{ \"timing\": { \"max_requests\": 0 },\n",
            "timing.max_requests: bad value `0`",
        ),
        (
            "{\n",
            "{ \"timing\": { \"lease\": 1 },\n",
            "timing.lease: bad value `1`: remove",
        ),
        (
            "{\n",
            "{ \"timing\": { \"peer_timeout_ms\": 3000 },\n",
            "make it shorter than",
        ),
        ("{\n", "{ , \n", "write valid JSON"),
    ];
    for (old, new, expected) in table {
        let message = gateway_fault(&[(old, new)]);
        assert!(message.contains(expected), "{old} -> {new}: {message}");
    }
}

#[test]
fn control_faults_name_field_value_and_remedy() {
    let table = [
        (
            "\"instance\": \"ctl-a\",\n  \"data",
            "\"instance\": \"ctl-x\",\n  \"data",
            "name this instance among `members`",
        ),
        (
            "\"peer_address\": \"127.0.0.1:7001\",\n  \"admin",
            "\"peer_address\": \"127.0.0.1:7009\",\n  \"admin",
            "use 127.0.0.1:7001, as `members` says",
        ),
        ("run/operators", "run/none", "reading operators"),
        ("run/ctl-a", "run/secret", "data_folder: bad value"),
        (
            "{\n",
            "{ \"timing\": { \"heartbeat_ms\": 200 },\n",
            "make it shorter than timing.election_ms",
        ),
        (
            "{\n",
            "{ \"timing\": { \"session_ms\": 250 },\n",
            "make it shorter than timing.session_ms",
        ),
    ];
    for (old, new, expected) in table {
        let message = control_fault(&[(old, new)]);
        assert!(message.contains(expected), "{old} -> {new}: {message}");
    }
}

#[test]
fn several_faults_are_reported_at_once() {
    let shape = gateway_fault(&[
        ("gw-a1", "gw a1"),
        ("7101", "x"),
        ("\"objective\"", "\"goal\""),
    ]);
    assert_eq!(shape.lines().count(), 3, "{shape}");
    let values = gateway_fault(&[("127.0.0.1:7101", "0.0.0.0:7101"), ("ctl-b", "ctl-a")]);
    assert_eq!(values.lines().count(), 2, "{values}");
}

#[test]
fn a_session_must_outlast_the_freshness_lease() {
    let folder = example("rempah");
    let path = folder.path().join("control-a.json");
    let text = fs::read_to_string(&path).expect("the example");
    let text = text.replacen('{', "{ \"timing\": { \"session_ms\": 2000 },", 1);
    fs::write(&path, text).expect("a file");
    let gateway = folder.path().join("gateway-a1.json");
    let files = [path, gateway].map(|f| file::Settings::from_file(&f).expect("good alone"));
    let faults = check::together(&files);
    let message = faults.first().expect("a fault").to_string();
    assert!(message.contains("make it longer than 2000, the freshness_lease_ms of gw-a1"));
}
