//! A committed change is applied on all gateways within seconds and never reverts, also on a gateway
//! that was down during hundreds of changes.
//!
//! Run with `--nocapture` to see the measured times.

use std::collections;
use std::fs;
use std::net;
use std::path;
use std::process;
use std::time;

use buckthorncleat::cli::client;
use buckthorncleat::config::settings;
use buckthorncleat::http::admin::wire;
use buckthorncleat::id;

const CONTROL: [&str; 3] = ["control-a", "control-b", "control-c"];
const GATEWAYS: [&str; 6] = [
    "gateway-a1",
    "gateway-a2",
    "gateway-b1",
    "gateway-b2",
    "gateway-c1",
    "gateway-c2",
];
const CHANGES: usize = 100;
const MISSED_CHANGES: usize = 300;

/// Longest time allowed from the acknowledgement of a change until all gateways have applied it.
const MAX_PROPAGATION: time::Duration = time::Duration::from_secs(3);

/// Longest wait before a test fails as hanging; nothing comes near it.
const HANG_GUARD: time::Duration = time::Duration::from_secs(60);

/// The daemons of the example deployment, on free ports.
struct Deployment {
    folder: tempfile::TempDir,
    running: collections::BTreeMap<&'static str, process::Child>,
    client: client::Client,
    revisions: Vec<id::Revision>,
    writes: usize,
}

#[derive(serde::Deserialize)]
struct Status {
    revision: id::Revision,
    fresh: bool,
}

impl Deployment {
    fn start() -> Self {
        let folder = tempfile::tempdir().expect("a folder");
        copy_example(folder.path());
        fs::create_dir(folder.path().join("run")).expect("a folder");
        tool(folder.path(), &["secret", "run/secret"]);
        tool(folder.path(), &["token", "planner", "run/operators"]);
        let cfg = settings::Operator::from_file(&folder.path().join("operator.json"));
        let cfg = cfg.expect("the operators' settings");
        let operators = fs::read_to_string(&cfg.token_file).expect("a token");
        let token = operators.split_whitespace().last().expect("a token");
        let mut deployment = Self {
            client: client::Client::new(cfg, token.to_owned()),
            folder,
            running: collections::BTreeMap::new(),
            revisions: vec![id::Revision::default(); GATEWAYS.len()],
            writes: 0,
        };
        for name in CONTROL.into_iter().chain(GATEWAYS) {
            deployment.run(name);
        }
        deployment
    }

    fn run(&mut self, name: &'static str) {
        let program = if name.starts_with("control") {
            env!("CARGO_BIN_EXE_buckthorncleat-control")
        } else {
            env!("CARGO_BIN_EXE_buckthorncleat-gateway")
        };
        let config = self.folder.path().join(format!("{name}.json"));
        let mut command = process::Command::new(program);
        command.arg("--config").arg(config);
        let child = command.stderr(process::Stdio::null()).spawn();
        self.running.insert(name, child.expect("the daemon starts"));
    }

    fn kill(&mut self, name: &str) {
        let mut child = self.running.remove(name).expect("it runs");
        child.kill().expect("killed");
        child.wait().expect("ended");
    }

    async fn write(&mut self) -> id::Revision {
        self.writes += 1;
        let rate = 100 + self.writes;
        let body = format!(r#"{{"rate":{rate},"burst":9999,"priority":"low","weight":1}}"#);
        let write = client::Write {
            method: hyper::Method::PUT,
            path: "/v1/accounts/warehouse".to_owned(),
            body: body.into_bytes(),
            operation: format!("write-{rate}").parse().expect("a name"),
            expected: None,
        };
        self.client.write(&write).await.expect("committed")
    }

    /// Returns a gateway's revision, or `None` if it does not answer or is not fresh; checks that the
    /// revision never decreases.
    async fn fresh_revision(&mut self, gateway: usize) -> Option<id::Revision> {
        let address = self.client.settings().gateways[gateway];
        let answer = client::send(hyper::Method::GET, address, "/v1/status").await;
        let status: Status = client::decode(&answer.ok()?).expect("a status");
        if !status.fresh {
            return None;
        }
        let last = &mut self.revisions[gateway];
        assert!(
            status.revision >= *last,
            "a gateway returned to an older revision"
        );
        *last = status.revision;
        Some(status.revision)
    }

    async fn wait_until_applied(
        &mut self,
        gateway: usize,
        revision: id::Revision,
    ) -> time::Duration {
        let start = time::Instant::now();
        while self.fresh_revision(gateway).await < Some(revision) {
            assert!(
                start.elapsed() < HANG_GUARD,
                "revision {revision} was not applied in time"
            );
            tokio::time::sleep(time::Duration::from_millis(1)).await;
        }
        start.elapsed()
    }

    fn stop(mut self) {
        for child in self.running.values() {
            let pid = child.id().to_string();
            let signalled = process::Command::new("kill").args(["-TERM", &pid]).status();
            assert!(signalled.expect("kill runs").success());
        }
        for (name, child) in &mut self.running {
            assert!(child.wait().expect("ended").success(), "{name}");
        }
        self.running.clear();
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for child in self.running.values_mut() {
            // It may have ended by itself when a test fails.
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

fn tool(folder: &path::Path, args: &[&str]) {
    let mut command = process::Command::new(env!("CARGO_BIN_EXE_buckthorncleat"));
    let output = command.current_dir(folder).args(args).output();
    let output = output.expect("the tool runs");
    let message = String::from_utf8_lossy(&output.stderr);
    assert!(output.status.success(), "{args:?}: {message}");
}

/// Copies the example and replaces the port of each address by a free one.
fn copy_example(folder: &path::Path) {
    let example = path::Path::new(env!("CARGO_MANIFEST_DIR")).join("examples/rempah");
    let mut ports = collections::BTreeMap::new();
    for entry in fs::read_dir(example).expect("the example").flatten() {
        if !entry.path().is_file() {
            continue;
        }
        let text = fs::read_to_string(entry.path()).expect("a file");
        let mut parts = text.split("127.0.0.1:");
        let mut copy = parts.next().unwrap_or_default().to_owned();
        for part in parts {
            let end = part
                .find(|c: char| !c.is_ascii_digit())
                .unwrap_or(part.len());
            let listener = ports
                .entry(part[..end].to_owned())
                .or_insert_with(|| net::TcpListener::bind("127.0.0.1:0").expect("a free port"));
            let address = listener.local_addr().expect("an address");
            copy += &format!("{address}{}", &part[end..]);
        }
        fs::write(folder.join(entry.file_name()), copy).expect("a copy");
    }
}

fn report(what: &str, mut times: Vec<time::Duration>) {
    times.sort_unstable();
    let percentile = |part: usize| times[(times.len() - 1) * part / 100];
    println!(
        "{what}: p50 {:?} p99 {:?} max {:?}",
        percentile(50),
        percentile(99),
        percentile(100)
    );
}

/// Returns the allowed time if `BUCKTHORNCLEAT_TIMED` is set, and the guard against hangs otherwise,
/// so that a busy CI machine does not change the result.
fn max_delay() -> time::Duration {
    match std::env::var_os("BUCKTHORNCLEAT_TIMED") {
        Some(_) => MAX_PROPAGATION,
        None => HANG_GUARD,
    }
}

#[tokio::test]
async fn changes_are_applied_on_all_gateways_and_never_revert() {
    let mut deployment = Deployment::start();
    let folder = deployment.folder.path().to_owned();
    let apply = [
        "--operator",
        "operator.json",
        "sheet",
        "apply",
        "morning.csv",
    ];
    tool(&folder, &apply);
    for gateway in 0..GATEWAYS.len() {
        deployment
            .wait_until_applied(gateway, id::Revision::new(1))
            .await;
    }
    let mut times = Vec::new();
    for _ in 0..CHANGES {
        let revision = deployment.write().await;
        let acknowledged = time::Instant::now();
        for gateway in 0..GATEWAYS.len() {
            deployment.wait_until_applied(gateway, revision).await;
        }
        times.push(acknowledged.elapsed());
    }
    assert!(times.iter().all(|t| *t < max_delay()), "{times:?}");
    report("acknowledged to applied on six gateways", times);

    deployment.kill(GATEWAYS[2]);
    let mut revision = id::Revision::default();
    for _ in 0..MISSED_CHANGES {
        revision = deployment.write().await;
    }
    deployment.run(GATEWAYS[2]);
    let caught_up = deployment.wait_until_applied(2, revision).await;
    assert!(caught_up < max_delay(), "{caught_up:?}");
    report(
        "restarted after 300 missed changes to applied",
        vec![caught_up],
    );
    let status: wire::Status = deployment
        .client
        .read("/v1/status")
        .await
        .expect("a status");
    assert!(status.revision >= revision);
    deployment.stop();
}
