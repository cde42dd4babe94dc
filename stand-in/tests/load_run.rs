//! Tests of the load tool against a fake gateway that gives faulty answers to chats on demand.

mod common;

use std::sync;
use std::time;

use buckthorncleat::clock;
use buckthorncleat::controller::entries;
use buckthorncleat::unit;
use stand_in::client;
use stand_in::connection;
use stand_in::engine::text;
use stand_in::load::plan;
use stand_in::load::report;
use stand_in::load::run;
use stand_in::plain;
use stand_in::server;
use tokio::sync::watch;

/// How the fake gateway answers chats.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Behaviour {
    Answer,
    OtherText,
    NoEnd,
    Refuse,
    Nothing,
}

struct Gateway {
    address: std::net::SocketAddr,
    behaviour: Behaviour,
}

impl server::App for Gateway {
    async fn call(&self, _: u64, req: server::Request) -> server::Response {
        let ok = hyper::StatusCode::OK;
        match req.uri().path() {
            "/v1/entries" => server::json(ok, &self.entries()),
            "/v1/chat/completions" => self.chat(req).await,
            _ => {
                let order = req.headers().get("idempotency-key");
                let order = order.map_or(String::new(), |v| v.to_str().unwrap().to_owned());
                let server = "shop".parse().unwrap();
                let ran = plain::Ran {
                    server,
                    order,
                    runs: 1,
                };
                server::json(ok, &ran)
            }
        }
    }
}

impl Gateway {
    fn entries(&self) -> entries::Answer {
        let entry = entries::Entry {
            address: self.address,
            data_centre: "klang-a".parse().unwrap(),
            weight: 1,
        };
        entries::Answer {
            entries: vec![entry],
            max_age: clock::Millis::from_secs(10),
        }
    }

    async fn chat(&self, req: server::Request) -> server::Response {
        assert!(
            req.headers()["authorization"]
                .to_str()
                .unwrap()
                .starts_with("Bearer ")
        );
        let body = server::read_body(req.into_body()).await.unwrap();
        let call = buckthorncleat::http::caller::chat::Call::from_json(
            buckthorncleat::http::caller::chat::Endpoint::Chat,
            &body,
        );
        let call = call.unwrap();
        let answer = text::Answer::from_prompt(&call.model, &call.prompt);
        let max_tokens = call.max_tokens.unwrap().as_u64();
        let id = buckthorncleat::id::RequestId::new(1);
        let mut stream = String::new();
        for index in 0..answer.length(max_tokens) {
            let text = match self.behaviour {
                Behaviour::OtherText => "other".to_owned(),
                _ => answer.token(index),
            };
            let token = buckthorncleat::backend::wire::Token { index, text };
            stream.push_str(std::str::from_utf8(&call.token_event(id, &token)).unwrap());
        }
        let reason = buckthorncleat::backend::wire::FinishReason::Stop;
        match self.behaviour {
            Behaviour::Refuse => {
                let problem =
                    buckthorncleat::http::caller::answer::Refusal::not_run(429, "limited", "wait");
                let status = hyper::StatusCode::TOO_MANY_REQUESTS;
                return server::json(status, &problem.to_json());
            }
            Behaviour::Nothing => std::future::pending().await,
            Behaviour::NoEnd => {}
            _ => stream.push_str(std::str::from_utf8(&call.last_events(id, reason)).unwrap()),
        }
        server::bytes(hyper::StatusCode::OK, "text/event-stream", stream)
    }
}

async fn run(behaviour: Behaviour, engines: Vec<std::net::SocketAddr>) -> report::Report {
    let listener = server::bind("127.0.0.1:0".parse().unwrap()).await.unwrap();
    let address = listener.local_addr().unwrap();
    let (stop, stopped) = watch::channel(false);
    let app = sync::Arc::new(Gateway { address, behaviour });
    let registry = sync::Arc::<connection::Registry>::default();
    let gateway = tokio::spawn(server::serve(listener, registry, app, stopped));
    let account = plan::Account {
        id: "rempah".parse().unwrap(),
        key: "secret".to_owned(),
        rate: unit::TokensPerSecond::new(1_000_000),
        burst: unit::Tokens::new(1_000_000),
        weight: 1,
        share: 1.0,
        surge: None,
    };
    // Nothing listens at the first entry; callers must go on to the second.
    let gone = stand_in::process::free_address().unwrap();
    let plan = plan::Plan {
        entries: vec![gone, address],
        engines,
        services: Vec::new(),
        accounts: vec![account],
        model: plan::Model {
            id: "sosej".parse().unwrap(),
            first_token_ms: clock::Millis::from_secs(30),
            between_tokens_ms: clock::Millis::from_secs(30),
        },
        traffic: plan::Traffic {
            duration_ms: clock::Millis::from_secs(1),
            call_timeout_ms: clock::Millis::new(if behaviour == Behaviour::Nothing {
                300
            } else {
                30_000
            }),
            chats_per_second: 20.0,
            ..plan::Traffic::default()
        },
    };
    let report = run::run(&sync::Arc::new(plan), |_| ()).await;
    stop.send_replace(true);
    gateway.await.unwrap();
    report
}

#[tokio::test]
async fn complete_wrong_broken_refused_and_late_answers_are_counted_separately() {
    let started = time::Instant::now();
    for behaviour in [
        Behaviour::Answer,
        Behaviour::OtherText,
        Behaviour::NoEnd,
        Behaviour::Refuse,
        Behaviour::Nothing,
    ] {
        let report = run(behaviour, Vec::new()).await;
        let chats = report.chats.offered;
        assert!(chats > 5);
        let all_if = |is: bool| if is { chats } else { 0 };
        assert_eq!(
            report.chats.good,
            all_if(behaviour == Behaviour::Answer),
            "{behaviour:?}"
        );
        assert_eq!(
            report.wrong,
            all_if(behaviour == Behaviour::OtherText),
            "{behaviour:?}"
        );
        assert_eq!(
            report.broken,
            all_if(behaviour == Behaviour::NoEnd),
            "{behaviour:?}"
        );
        assert_eq!(
            report.timed_out,
            all_if(behaviour == Behaviour::Nothing),
            "{behaviour:?}"
        );
        let refused: u64 = report.refusals.iter().map(|r| r.count).sum();
        assert_eq!(
            refused,
            all_if(behaviour == Behaviour::Refuse),
            "{behaviour:?}"
        );
        assert_eq!(report.plain.whole, report.plain.offered, "{behaviour:?}");
        assert_eq!(report.unreachable, 0);
    }
    assert!(started.elapsed() < time::Duration::from_secs(60));
}

#[tokio::test]
async fn report_includes_the_work_of_an_engine_that_dies_during_the_run() {
    let mut engines = common::Engines::start(&[]);
    let address = engines.prefill;
    let lose = async {
        let call = common::prefill_call(1, "never decoded from [slow-prefill=300]");
        client::ask(address, client::post("/v1/prefill", &call))
            .await
            .unwrap();
        tokio::time::sleep(time::Duration::from_millis(600)).await;
        engines.children[0].kill().unwrap();
    };
    let (report, ()) = tokio::join!(run(Behaviour::Answer, vec![address]), lose);
    assert_eq!(report.wasted_prefill, 1.0);
}
