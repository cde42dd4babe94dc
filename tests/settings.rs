//! Settings files: the examples are valid, and errors name the field, the value and the remedy.

use std::fs;
use std::path;

use buckthorncleat::config::check;
use buckthorncleat::config::file;

const SECRET: &str = "0123456789abcdef0123456789abcdef";

/// Copies an example to a new folder and writes the secrets that it needs.
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
fn examples_are_valid_deployments_of_three_members_and_six_gateways() {
    for name in ["rempah", "pinar"] {
        let folder = example(name);
        let files = json_files(folder.path());
        let all: Vec<_> = files
            .iter()
            .map(|f| file::Settings::from_file(f).expect("good settings"))
            .collect();
        let count =
            |is_kind: fn(&file::Settings) -> bool| all.iter().filter(|s| is_kind(s)).count();
        assert_eq!(count(|s| matches!(s, file::Settings::Control(_))), 3);
        assert_eq!(count(|s| matches!(s, file::Settings::Gateway(_))), 6);
        assert_eq!(count(|s| matches!(s, file::Settings::Operator(_))), 1);
        assert!(check::deployment(&all).is_empty());
    }
}

/// Reads a settings file of the example after replacing some of its text, and returns the error.
fn error_of(name: &str, replacements: &[(&str, &str)]) -> String {
    let folder = example("rempah");
    let path = folder.path().join(format!("{name}.json"));
    let mut text = fs::read_to_string(&path).expect("the example");
    for (old, new) in replacements {
        assert!(text.contains(old), "{old} is in {name}");
        text = text.replacen(old, new, 1);
    }
    fs::write(&path, text).expect("a file");
    let read = file::Settings::from_file(&path);
    read.expect_err("a fault").to_string()
}

#[test]
fn errors_name_field_value_and_remedy() {
    let table = include_str!("cases/settings.txt").lines();
    for line in table.filter(|line| !line.starts_with('#')) {
        let cells: Vec<_> = line.split('|').map(str::trim).collect();
        let [name, old, new, expected] = cells[..] else {
            panic!("four cells: {line}");
        };
        let message = error_of(name, &[(old, new)]);
        assert!(message.contains(expected), "{line}: {message}");
    }
}

#[test]
fn several_faults_are_reported_at_once() {
    let type_errors = [
        ("gw-a1", "gw a1"),
        ("7101", "x"),
        ("\"objective\"", "\"goal\""),
    ];
    let type_errors = error_of("gateway-a1", &type_errors);
    assert_eq!(type_errors.lines().count(), 3, "{type_errors}");
    let value_errors = error_of(
        "gateway-a1",
        &[("127.0.0.1:7101", "0.0.0.0:7101"), ("ctl-b", "ctl-a")],
    );
    assert_eq!(value_errors.lines().count(), 2, "{value_errors}");
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
    let faults = check::deployment(&files);
    let message = faults.first().expect("a fault").to_string();
    assert!(message.contains("make it longer than 2000, the freshness_lease_ms of gw-a1"));
}
