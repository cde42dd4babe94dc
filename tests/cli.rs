//! Runs the operators' tool against a control member in the test process.

use std::fs;
use std::io::Read as _;
use std::io::Write as _;
use std::net;
use std::path;
use std::process;
use std::sync;
use std::sync::atomic;
use std::thread;

use buckthorncleat::event;
use buckthorncleat::http::admin;
use buckthorncleat::replica;
use tokio::sync::watch;

/// A running control member, and a folder with the token of one operator.
struct Fixture {
    folder: tempfile::TempDir,
    address: net::SocketAddr,
    stop: watch::Sender<bool>,
    server: Option<thread::JoinHandle<()>>,
}

struct ToolOutput {
    code: i32,
    out: String,
    err: String,
}

impl Fixture {
    fn start() -> Self {
        let folder = tempfile::tempdir().expect("a folder");
        let operators = folder.path().join("operators");
        let made = run_tool(&["token", "planner", operators.to_str().expect("a path")]);
        assert_eq!(made.code, 0, "{}", made.err);
        let operators = admin::token::Operators::from_file(&operators).expect("operators");
        let instance: buckthorncleat::id::InstanceId = "ctl-a".parse().expect("a name");
        let recorder = sync::Arc::new(event::Recorder::new(instance.clone()));
        recorder.record(event::Kind::Started, "test");
        let group = replica::Group::in_memory(instance);
        let service = admin::service::Service::new(group, operators, recorder, None);
        let listener = net::TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let (stop, stopped) = watch::channel(false);
        let server = thread::spawn(move || {
            let runtime = tokio::runtime::Runtime::new().expect("a runtime");
            runtime.block_on(async {
                listener.set_nonblocking(true).expect("a mode");
                let listener = tokio::net::TcpListener::from_std(listener).expect("a socket");
                admin::serve::serve_on(listener, service, stopped).await;
            });
        });
        Self {
            folder,
            address,
            stop,
            server: Some(server),
        }
    }

    fn run(&self, args: &[&str]) -> ToolOutput {
        let token = self.folder.path().join("operators");
        let admin = self.address.to_string();
        let token = token.to_str().expect("a path");
        let connection = [
            "--admin",
            &admin,
            "--token-file",
            token,
            "--timeout-ms",
            "3000",
        ];
        run_tool(&[&connection, args].concat())
    }

    fn ok(&self, line: &str) -> String {
        let output = self.run(&line.split_whitespace().collect::<Vec<_>>());
        assert_eq!(output.code, 0, "{line}: {}", output.err);
        output.out
    }

    fn path(&self, name: &str) -> path::PathBuf {
        self.folder.path().join(name)
    }
}

impl Drop for Fixture {
    fn drop(&mut self) {
        self.stop.send_replace(true);
        if let Some(server) = self.server.take() {
            server.join().expect("the server ends");
        }
    }
}

fn run_tool(args: &[&str]) -> ToolOutput {
    let output = process::Command::new(env!("CARGO_BIN_EXE_buckthorncleat"))
        .args(args)
        .env_clear()
        .output()
        .expect("the tool runs");
    ToolOutput {
        code: output.status.code().expect("an exit code"),
        out: String::from_utf8_lossy(&output.stdout).into_owned(),
        err: String::from_utf8_lossy(&output.stderr).into_owned(),
    }
}

fn example_sheet(name: &str) -> String {
    let root = env!("CARGO_MANIFEST_DIR");
    format!("{root}/examples/{name}/morning.csv")
}

#[test]
fn items_are_created_listed_and_removed() {
    let fixture = Fixture::start();
    fixture.ok("model put resipi --first-token-ms 5000 --between-tokens-ms 100 --max-output 2048 --kv-bytes-per-token 131072");
    fixture.ok(
        "route put stock --prefix /shop/stock --open --idempotent-method GET --deadline-ms 800",
    );
    fixture.ok("server put decode-1 --address 127.0.0.1:7505 --data-centre klang-a --role decode --model resipi --slots 20 --memory 64 --link 1250000000");
    fixture.ok("account put chefs --rate 100 --burst 1000 --priority high");
    let granted = fixture.ok("key grant chefs chefs-1");
    assert!(granted.contains("secret bck_"), "{granted}");
    assert!(fixture.ok("key list").contains("chefs-1"));
    assert!(!fixture.ok("--json key list").contains("bck_"));
    assert!(fixture.ok("account list").contains("high"));
    fixture.ok("server leave decode-1");
    assert!(fixture.ok("server list").contains("leaving"));
    assert!(fixture.ok("model list").contains("resipi"));
    assert!(fixture.ok("route list").contains("/shop/stock"));
    assert!(fixture.ok("quarantine list").contains("fingerprint"));
    assert!(fixture.ok("member list").contains("instance"));
    assert!(fixture.ok("status").contains("leader ctl-a revision 6"));
    assert!(fixture.ok("timeline --since 0").contains("ctl-a started"));
    assert!(fixture.ok("audit").contains("planner"));
    fixture.ok("key withdraw chefs-1");
    fixture.ok("server remove decode-1");
    fixture.ok("model remove resipi");
    fixture.ok("route remove stock");
    fixture.ok("account remove chefs");
    assert_eq!(
        fixture.ok("--json audit").matches("\"operator\"").count(),
        11
    );
}

#[test]
fn exit_codes_distinguish_refused_invalid_and_unanswered_requests() {
    let fixture = Fixture::start();
    fixture.ok("account put chefs --rate 100 --burst 1000");
    let cases: &[(&str, i32, &str)] = &[
        (
            "account put chefs --rate 0 --burst 1000",
            1,
            "account chefs: rate: bad value `0`",
        ),
        ("account remove chiefs", 1, "list what exists"),
        (
            "account put chefs --rate 9 --burst 9 --expected 0",
            1,
            "changed since: put account chefs",
        ),
        (
            "account put chefs --rate nine --burst 9",
            2,
            "use a whole number",
        ),
        ("account put ch/efs --rate 9 --burst 9", 2, "use 1 to 64"),
        ("sheet check none.csv", 2, "reading sheet none.csv"),
        ("server leave none", 1, "not found"),
        ("drain gw-a1", 2, "give the status addresses"),
        ("timeline --since yesterday", 2, "use `WALL.COUNTER`"),
    ];
    for (line, code, expected) in cases {
        let output = fixture.run(&line.split_whitespace().collect::<Vec<_>>());
        assert_eq!(output.code, *code, "{line}: {}", output.err);
        assert!(output.err.contains(expected), "{line}: {}", output.err);
    }
    let token = fixture.path("operators");
    let token = token.to_str().expect("a path");
    let unreachable = [
        "--admin",
        "127.0.0.1:1",
        "--token-file",
        token,
        "--timeout-ms",
        "300",
    ];
    let output = run_tool(&[&unreachable[..], &["account", "list"]].concat());
    assert_eq!(output.code, 3, "{}", output.err);
    let output = run_tool(&[&unreachable[..], &["account", "remove", "x"]].concat());
    assert!(
        output.err.contains("again with `--operation op-"),
        "{}",
        output.err
    );
    fs::write(fixture.path("wrong"), "not-the-token-of-anyone").expect("a file");
    let wrong = fixture.path("wrong");
    let wrong = wrong.to_str().expect("a path");
    let admin = fixture.address.to_string();
    let output = run_tool(&["--admin", &admin, "--token-file", wrong, "account", "list"]);
    assert_eq!(output.code, 1);
    assert!(output.err.contains("an operator's token"), "{}", output.err);
}

#[test]
fn a_change_resent_under_the_same_name_is_made_once() {
    let fixture = Fixture::start();
    let put = "account put chefs --rate 100 --burst 1000 --operation monday-1";
    let first = fixture.ok(put);
    fixture.ok("account put chefs --rate 200 --burst 1000");
    assert_eq!(fixture.ok(put), first);
    assert!(fixture.ok("account list").contains("200"));
    let other = fixture.run(&["--operation", "monday-1", "account", "remove", "chefs"]);
    assert_eq!(other.code, 1);
    assert!(other.err.contains("choose a new one"), "{}", other.err);
}

#[test]
fn a_key_kept_in_a_file_can_be_granted_again() {
    let fixture = Fixture::start();
    fixture.ok("account put chefs --rate 100 --burst 1000");
    let file = fixture.path("key");
    let grant = format!("key grant chefs chefs-1 --secret-file {}", file.display());
    let first = fixture.ok(&grant);
    let secret = fs::read_to_string(&file).expect("the secret");
    assert!(!first.contains(secret.trim()));
    assert_eq!(fixture.ok(&grant), first);
    assert_eq!(fs::read_to_string(&file).expect("the secret"), secret);
    let other = fixture.run(&["key", "grant", "chefs", "chefs-1"]);
    assert!(
        other.err.contains("withdraw the key of this name first"),
        "{}",
        other.err
    );
}

#[test]
fn a_sheet_makes_one_change_and_none_when_applied_again() {
    for name in ["rempah", "pinar"] {
        let fixture = Fixture::start();
        let sheet = example_sheet(name);
        assert!(
            fixture
                .ok(&format!("sheet check {sheet}"))
                .starts_with("ok: 23 rows")
        );
        let diff = fixture.ok(&format!("sheet diff {sheet}"));
        assert_eq!(diff.matches("\n+ ").count(), 23, "{diff}");
        assert_eq!(
            fixture.ok(&format!("sheet apply {sheet}")).trim(),
            "revision 1"
        );
        let again = fixture.ok(&format!("sheet apply {sheet}"));
        assert_eq!(again.trim(), "nothing to change; revision 1");
        let late_diff = fixture.ok(&format!("sheet diff {sheet} --at 23:00"));
        assert_eq!(
            late_diff.contains("~ account"),
            name == "pinar",
            "{late_diff}"
        );
    }
}

#[test]
fn a_diff_shows_overwritten_and_kept_items() {
    let fixture = Fixture::start();
    let sheet = example_sheet("rempah");
    fixture.ok(&format!("sheet apply {sheet}"));
    fixture.ok("account put warehouse --rate 500 --burst 2000");
    fixture.ok("account put guests --rate 10 --burst 100");
    fixture.ok("server leave decode-3");
    let diff = fixture.ok(&format!("sheet diff {sheet}"));
    let expected = "~ account warehouse rate: 500 -> 400 (overwrites revision 2 by planner)";
    assert!(diff.contains(expected), "{diff}");
    assert!(
        diff.contains("= account guests (not in the sheet, kept)"),
        "{diff}"
    );
    assert!(!diff.contains("decode-3"), "{diff}");
    let pruned = fixture.ok(&format!("sheet diff {sheet} --prune"));
    assert!(pruned.contains("- account guests"), "{pruned}");
    let conflict = fixture.run(&["--expected", "1", "sheet", "apply", &sheet]);
    assert_eq!(conflict.code, 1);
    assert!(
        conflict.err.contains("changed since: put account guests"),
        "{}",
        conflict.err
    );
    assert_eq!(
        fixture.ok(&format!("sheet apply {sheet} --prune")).trim(),
        "revision 5"
    );
    assert!(fixture.ok("server list").contains("leaving"));
    assert!(!fixture.ok("account list").contains("guests"));
}

/// A server that passes its connections to a function, one after the other, until it is dropped.
struct FakeServer {
    address: net::SocketAddr,
    stop: sync::Arc<atomic::AtomicBool>,
    thread: Option<thread::JoinHandle<()>>,
}

impl FakeServer {
    fn start(serve: impl Fn(usize, net::TcpStream) + Send + 'static) -> Self {
        let listener = net::TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let stop = sync::Arc::new(atomic::AtomicBool::new(false));
        let stopped = stop.clone();
        let thread = thread::spawn(move || {
            for (i, stream) in listener.incoming().flatten().enumerate() {
                if stopped.load(atomic::Ordering::SeqCst) {
                    break;
                }
                serve(i, stream);
            }
        });
        Self {
            address,
            stop,
            thread: Some(thread),
        }
    }
}

impl Drop for FakeServer {
    fn drop(&mut self) {
        self.stop.store(true, atomic::Ordering::SeqCst);
        net::TcpStream::connect(self.address).expect("connected");
        if let Some(thread) = self.thread.take() {
            thread.join().expect("the relay ends");
        }
    }
}

fn read_head(stream: &mut net::TcpStream) -> String {
    let mut text = Vec::new();
    let mut byte = [0];
    while !text.ends_with(b"\r\n\r\n") && stream.read(&mut byte).is_ok_and(|n| n > 0) {
        text.push(byte[0]);
    }
    String::from_utf8_lossy(&text).into_owned()
}

fn answer_with(stream: &mut net::TcpStream, status: &str, body: &str) {
    let length = body.len();
    let head =
        format!("HTTP/1.1 {status}\r\nContent-Length: {length}\r\nConnection: close\r\n\r\n");
    stream.write_all((head + body).as_bytes()).expect("sent");
}

#[test]
fn a_change_is_resent_after_a_lost_answer_and_to_the_next_member() {
    let fixture = Fixture::start();
    fixture.ok("account put chefs --rate 100 --burst 1000");
    let follower = FakeServer::start(|_, mut stream| {
        read_head(&mut stream);
        let body = r#"{"reason":"unavailable","message":"not leading","leader":"ctl-a"}"#;
        answer_with(&mut stream, "503 Service Unavailable", body);
    });
    let member = fixture.address;
    let drops_first_answer = FakeServer::start(move |i, mut stream| {
        let request = read_head(&mut stream);
        let mut upstream = net::TcpStream::connect(member).expect("connected");
        upstream.write_all(request.as_bytes()).expect("sent");
        let mut answer = Vec::new();
        upstream.read_to_end(&mut answer).expect("an answer");
        if i > 0 {
            stream.write_all(&answer).expect("sent");
        }
    });
    let token = fixture.path("operators");
    let token = token.to_str().expect("a path");
    let admin = format!("{},{}", follower.address, drops_first_answer.address);
    let connection = ["--admin", &admin, "--token-file", token];
    let output = run_tool(&[&connection[..], &["account", "remove", "chefs"]].concat());
    assert_eq!(
        (output.code, output.out.trim()),
        (0, "revision 2"),
        "{}",
        output.err
    );
    assert!(fixture.ok("status").contains("revision 2"));
}

#[test]
fn gateways_are_queried_and_drained_at_their_status_address() {
    let fixture = Fixture::start();
    let gateway = FakeServer::start(|_, mut stream| {
        let head = read_head(&mut stream);
        assert!(
            !head.to_lowercase().contains("authorization"),
            "no token for gateways"
        );
        let request: Vec<_> = head.split(' ').take(2).collect();
        match request[..] {
            ["GET", "/v1/status"] => answer_with(&mut stream, "200 OK", r#"{"instance":"gw-a1"}"#),
            ["GET", "/v1/events?since=0.0"] => {
                let event = r#"{"events":[{"at":{"wall":1,"counter":0},"instance":"gw-a1","kind":"arrived","request":"0000000000000000000000000000002a","detail":"chat"}]}"#;
                answer_with(&mut stream, "200 OK", event);
            }
            ["POST", "/v1/drain"] => answer_with(&mut stream, "202 Accepted", "{}"),
            _ => answer_with(&mut stream, "404 Not Found", "{}"),
        }
    });
    let ok_with_gateway =
        |line: &str| fixture.ok(&format!("--gateways {} {line}", gateway.address));
    assert!(ok_with_gateway("status").contains("gw-a1"));
    let all = ok_with_gateway("timeline");
    let lines: Vec<_> = all.lines().collect();
    assert!(
        lines[0].starts_with("1.0 gw-a1 arrived 0000000000000000000000000000002a chat"),
        "{all}"
    );
    assert!(lines[1].contains("ctl-a started"), "{all}");
    assert_eq!(ok_with_gateway("timeline --request 2a").lines().count(), 1);
    assert_eq!(ok_with_gateway("drain gw-a1").trim(), "gw-a1 drains");
    let output = fixture.run(&["--gateways", &gateway.address.to_string(), "drain", "gw-b1"]);
    assert_eq!(output.code, 2, "{}", output.err);
}
