//! The admin interface over raw connections: responses, refusals, limits and shutdown.

use std::net;
use std::sync;

use buckthorncleat::clock;
use buckthorncleat::error;
use buckthorncleat::event;
use buckthorncleat::http::admin;
use buckthorncleat::replica;
use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;
use tokio::net as tcp;
use tokio::sync::watch;
use tokio::task;
use tokio::time;

const TOKEN: &str = "0123456789abcdef";
const ACCOUNT: &str = r#"{"rate":100,"burst":1000,"priority":"normal","weight":1}"#;
const MODEL: &str =
    r#"{"first_token":5000,"between_tokens":100,"max_output":9,"kv_bytes_per_token":9}"#;
const SERVER: &str = r#"{"address":"127.0.0.1:9","data_centre":"a","role":"decode","models":["m"],"routes":[],"state":"in-service","slots":1,"memory":1,"link":1,"checks_fencing":true}"#;
const ROUTE: &str = r#"{"prefix":"/shop","access":"open","idempotent_methods":[],"require_idempotency_key":false,"deadline":9,"cost":0}"#;
const KEY_HASH: &str = "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08";

/// The time after which a step counts as hung; far above what any case needs.
const HANG_GUARD: clock::Millis = clock::Millis::from_secs(20);

struct TestServer {
    address: net::SocketAddr,
    group: replica::Group,
    stop: watch::Sender<bool>,
    task: task::JoinHandle<()>,
}

impl TestServer {
    async fn start() -> Self {
        let instance: buckthorncleat::id::InstanceId = "ctl-a".parse().expect("a name");
        let recorder = sync::Arc::new(event::Recorder::new(instance.clone()));
        let group = replica::Group::in_memory(instance);
        let operators = format!("# operators\nplanner {TOKEN}\nnight fedcba9876543210\n");
        let operators = admin::token::Operators::from_text(&operators).expect("operators");
        let limits = admin::service::Limits {
            head_timeout: clock::Millis::new(200),
            body_timeout: clock::Millis::new(200),
            stop_timeout: clock::Millis::from_secs(5),
            max_body_bytes: 4096,
        };
        let service = admin::service::Service::new(group.clone(), operators, recorder, None);
        let service = service.with_limits(limits);
        let listener = tcp::TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let (stop, stopped) = watch::channel(false);
        let task = task::spawn(admin::serve::serve_on(listener, service, stopped));
        Self {
            address,
            group,
            stop,
            task,
        }
    }

    /// Sends raw bytes and reads until the connection closes.
    async fn send_raw(&self, bytes: &[u8]) -> String {
        let exchange = async {
            let mut stream = tcp::TcpStream::connect(self.address)
                .await
                .expect("connected");
            stream.write_all(bytes).await.expect("sent");
            let mut answer = Vec::new();
            // A connection reset after the response counts as closed.
            let _ = stream.read_to_end(&mut answer).await;
            String::from_utf8_lossy(&answer).into_owned()
        };
        let limit = HANG_GUARD.as_duration();
        time::timeout(limit, exchange).await.expect("no hang")
    }

    async fn send(&self, line: &str, headers: &str, body: &str) -> String {
        let length = body.len();
        let head = format!(
            "{line} HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: {length}\r\n\
             Authorization: Bearer {TOKEN}\r\n{headers}\r\n"
        );
        self.send_raw(format!("{head}{body}").as_bytes()).await
    }

    async fn stop(self) {
        self.stop.send_replace(true);
        let limit = HANG_GUARD.as_duration();
        let ended = time::timeout(limit, self.task).await;
        ended.expect("no hang").expect("no panic");
    }
}

fn status(answer: &str) -> u16 {
    let code = answer.split(' ').nth(1).and_then(|code| code.parse().ok());
    code.unwrap_or(0)
}

/// Runs a table of cases; each line has a request and the expected response.
async fn run_cases(server: &TestServer, table: &str) {
    for line in table.lines().filter(|line| !line.starts_with('#')) {
        let cells: Vec<_> = line.split('|').map(str::trim).collect();
        let [request, operation, expected, body, code, part] = cells[..] else {
            panic!("six cells: {line}");
        };
        let mut headers = String::new();
        if !operation.is_empty() {
            headers += &format!("Operation-Id: {operation}\r\n");
        }
        if !expected.is_empty() {
            headers += &format!("If-Match: {expected}\r\n");
        }
        let answer = server.send(request, &headers, &body_from_cell(body)).await;
        assert_eq!(status(&answer).to_string(), code, "{line}: {answer}");
        let plain = answer.replace("\\\"", "\"");
        assert!(
            answer.contains(part) || plain.contains(part),
            "{line}: {answer}"
        );
    }
}

/// Returns the body for a cell: a named body for `$name`, the same with `old` replaced by `new` for
/// `$name ~old~new`, or else the cell itself.
fn body_from_cell(cell: &str) -> String {
    let (name, edit) = cell.split_once(" ~").unwrap_or((cell, ""));
    let text = match name {
        "$account" => ACCOUNT.to_owned(),
        "$key" => format!(r#"{{"account":"chefs","hash":"{KEY_HASH}"}}"#),
        "$model" => MODEL.to_owned(),
        "$server" => SERVER.to_owned(),
        "$route" => ROUTE.to_owned(),
        "$large" => "x".repeat(5000),
        "$deep" => "[".repeat(4000),
        _ => return cell.to_owned(),
    };
    let Some((old, new)) = edit.split_once('~') else {
        return text;
    };
    assert!(text.contains(old), "{old} is in {text}");
    text.replacen(old, new, 1)
}

#[tokio::test]
async fn reads_and_writes_respond_as_documented() {
    let server = TestServer::start().await;
    run_cases(&server, include_str!("cases/admin-documented.txt")).await;
    server.stop().await;
}

#[tokio::test]
async fn malformed_requests_are_refused_with_the_remedy() {
    let server = TestServer::start().await;
    run_cases(&server, include_str!("cases/admin-malformed.txt")).await;
    let revision = server.group.with_state(|s| s.config().revision);
    assert_eq!(revision.as_u64(), 0);
    server.stop().await;
}

#[tokio::test]
async fn invalid_changes_are_refused() {
    let server = TestServer::start().await;
    run_cases(&server, include_str!("cases/admin-refused.txt")).await;
    server.stop().await;
}

#[tokio::test]
async fn unauthorised_requests_and_broken_connections_are_refused() {
    let server = TestServer::start().await;
    let with_token = |token: &str| {
        format!("GET /v1/accounts HTTP/1.1\r\nHost: x\r\nConnection: close\r\n{token}\r\n")
    };
    let put = format!(
        "PUT /v1/accounts/a HTTP/1.1\r\nHost: x\r\nOperation-Id: 1\r\n\
         Authorization: Bearer {TOKEN}\r\nContent-Length: 60\r\n"
    );
    let valid = format!("Authorization: Bearer {TOKEN}\r\n");
    let table: Vec<(&str, Vec<u8>, u16)> = vec![
        ("no token", with_token("").into(), 401),
        (
            "wrong token",
            with_token("Authorization: Bearer 0123456789abcdee\r\n").into(),
            401,
        ),
        (
            "other scheme",
            with_token(&format!("Authorization: Basic {TOKEN}\r\n")).into(),
            401,
        ),
        (
            "empty token",
            with_token("Authorization: Bearer \r\n").into(),
            401,
        ),
        ("valid token", with_token(&valid).into(), 200),
        (
            "non-UTF-8 header",
            [with_token("X: ").trim_end().as_bytes(), b"\xff\xfe\r\n\r\n"].concat(),
            400,
        ),
        ("not HTTP", b"\x16\x03\x01\x02\x00\r\n\r\n".to_vec(), 400),
        (
            "slow head",
            b"GET /v1/accounts HTTP/1.1\r\nHost".to_vec(),
            0,
        ),
        ("silence", Vec::new(), 0),
        (
            "large chunks",
            [
                put.replace("Content-Length: 60", "Transfer-Encoding: chunked")
                    .as_bytes(),
                b"\r\n1400\r\n",
                &[b' '; 0x1400],
                b"\r\n0\r\n\r\n",
            ]
            .concat(),
            413,
        ),
        ("slow body", format!("{put}\r\n{{").into(), 408),
        (
            "bad length",
            put.replace("60", "x")
                .into_bytes()
                .into_iter()
                .chain(*b"\r\n")
                .collect(),
            400,
        ),
        (
            "large length",
            put.replace("60", "99999")
                .into_bytes()
                .into_iter()
                .chain(*b"\r\n")
                .collect(),
            413,
        ),
    ];
    for (name, bytes, code) in table {
        let answer = server.send_raw(&bytes).await;
        assert_eq!(status(&answer), code, "{name}: {answer}");
    }
    server
        .group
        .with_state(|s| assert_eq!(s.config().revision.as_u64(), 0));
    server.stop().await;
}

#[tokio::test]
async fn only_one_concurrent_change_of_a_revision_succeeds() {
    let server = sync::Arc::new(TestServer::start().await);
    for round in 0..20 {
        let mut writers = task::JoinSet::new();
        for writer in 0..4 {
            let server = server.clone();
            writers.spawn(async move {
                let line = format!("PUT /v1/accounts/a-{round}-{writer}");
                let headers =
                    format!("Operation-Id: {round}-{writer}\r\nIf-Match: \"{round}\"\r\n");
                status(&server.send(&line, &headers, ACCOUNT).await)
            });
        }
        let mut codes = writers.join_all().await;
        codes.sort_unstable();
        assert_eq!(codes, [200, 412, 412, 412]);
    }
    let server = sync::Arc::into_inner(server).expect("the last handle");
    server.stop().await;
}

#[tokio::test]
async fn a_stop_ends_idle_connections_and_unfinished_requests() {
    let server = TestServer::start().await;
    let idle = tcp::TcpStream::connect(server.address)
        .await
        .expect("connected");
    let mut unfinished = tcp::TcpStream::connect(server.address)
        .await
        .expect("connected");
    unfinished
        .write_all(b"PUT /v1/accounts/a HTTP/1.1\r\n")
        .await
        .expect("sent");
    server.stop().await;
    drop((idle, unfinished));
}

#[test]
fn a_member_that_is_not_the_leader_names_the_leader() {
    let e = error::Error::unavailable("this member does not lead", clock::Millis::new(300));
    let leader = "ctl-b".parse().expect("a name");
    let reply = admin::reply::from_error(&e, Some(leader));
    assert_eq!(reply.status(), 503);
    assert_eq!(reply.headers()["retry-after"], "1");
    assert!(format!("{:?}", reply.body()).contains(r#"\"leader\":\"ctl-b\""#));
}

#[test]
fn errors_in_an_operators_file_do_not_show_tokens() {
    let table = [
        ("", "(empty)"),
        ("planner", "write a name, a space and a token"),
        ("planner short", "at least 16 random characters"),
        ("pl/anner 0123456789abcdef", "use 1 to 64"),
        (
            "a 0123456789abcdef\na 0123456789abcdef",
            "name each operator once",
        ),
        (
            "a 0123456789abcdef extra",
            "write a name, a space and a token",
        ),
    ];
    for (text, expected) in table {
        let message = admin::token::Operators::from_text(text)
            .expect_err("a fault")
            .to_string();
        assert!(message.contains(expected), "{text}: {message}");
        assert!(!message.contains("0123456789abcdef"), "{message}");
    }
}
