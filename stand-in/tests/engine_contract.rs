//! Tests of the engine interface over HTTP, against real engine processes.

mod common;

use buckthorncleat::backend::wire;
use buckthorncleat::id;
use buckthorncleat::state::model;
use buckthorncleat::unit;
use stand_in::client;
use stand_in::engine::text;
use stand_in::engine::totals;
use stand_in::fault;
use tokio::time;

fn expected(prompt: &str) -> text::Answer {
    text::Answer::from_prompt(&common::MODEL.parse().unwrap(), prompt)
}

async fn start_stream(
    engines: &common::Engines,
    call: &wire::Prefill,
    max_tokens: u64,
) -> common::Stream {
    assert_eq!(common::import(engines, call).await.status, 200);
    let decode = common::decode_call(call.request.as_u128(), max_tokens);
    common::Stream::open(engines.decode, client::post("/v1/decode", &decode)).await
}

fn resume(number: u128, from: u64) -> hyper::Request<client::Body> {
    let path = format!(
        "/v1/requests/{}/stream?from={from}",
        common::request(number)
    );
    client::request(hyper::Method::GET, &path)
}

fn check_tokens(stream: &common::Stream, prompt: &str, from: u64) {
    for (token, index) in stream.tokens().iter().zip(from..) {
        assert_eq!(token.index, index);
        assert_eq!(token.text, expected(prompt).token(index));
    }
}

async fn faults(to: std::net::SocketAddr, faults: &fault::Faults) {
    let answer = common::post(to, "/_stand-in/faults", faults).await;
    assert_eq!(answer.status, 200, "{answer:?}");
}

#[tokio::test]
async fn an_answer_is_generated_by_both_engines_and_leaves_nothing_held() {
    let mut engines = common::Engines::start(&[]);
    let prompt = "adapt smoked chicken sosej [len=30]";
    let mut stream = start_stream(&engines, &common::prefill_call(1, prompt), 100).await;
    assert!(stream.read(usize::MAX).await);
    assert_eq!(stream.tokens().len(), 30);
    check_tokens(&stream, prompt, 0);
    let done = stream.done().unwrap();
    assert_eq!(done.finish_reason, wire::FinishReason::Stop);
    assert_eq!(done.tokens, unit::Tokens::new(30));
    for engine in [engines.prefill, engines.decode] {
        let held: wire::Held = common::get(engine, "/v1/held").await;
        assert_eq!(held.requests, []);
    }
    let prefill: totals::Totals = common::get(engines.prefill, "/_stand-in/totals").await;
    let decode: totals::Totals = common::get(engines.decode, "/_stand-in/totals").await;
    assert_eq!(prefill.computed_tokens, decode.decoded_from_tokens);
    for child in &mut engines.children {
        assert_eq!(child.end().unwrap(), Some(0));
    }
}

#[tokio::test]
async fn a_stream_can_be_resumed_and_is_truncated_at_max_tokens() {
    let engines = common::Engines::start(&[]);
    let prompt = "plots [len=120]";
    let mut first = start_stream(&engines, &common::prefill_call(1, prompt), 60).await;
    assert!(first.read(5).await);
    first.close().await;
    for from in [3, 0, 60] {
        let mut again = common::Stream::open(engines.decode, resume(1, from)).await;
        assert!(again.read(usize::MAX).await);
        assert_eq!(again.tokens().len() as u64, 60 - from);
        check_tokens(&again, prompt, from);
        let reason = again.done().unwrap().finish_reason;
        assert_eq!(reason, wire::FinishReason::Length);
    }
}

#[tokio::test]
async fn cut_streams_end_without_the_last_event_and_can_be_resumed() {
    let engines = common::Engines::start(&[]);
    let prompt = "care of trees [len=90]";
    let mut first = start_stream(&engines, &common::prefill_call(1, prompt), 100).await;
    assert!(first.read(3).await);
    let cut = fault::Faults {
        cut_streams: true,
        ..fault::Faults::default()
    };
    faults(engines.decode, &cut).await;
    assert!(!first.read(usize::MAX).await);
    assert_eq!(first.done(), None);
    let from = first.tokens().len() as u64;
    let mut again = common::Stream::open(engines.decode, resume(1, from)).await;
    assert!(again.read(usize::MAX).await);
    check_tokens(&again, prompt, from);
}

#[tokio::test]
async fn delivered_tokens_continue_the_same_answer() {
    let engines = common::Engines::start(&[]);
    let prompt = "availability [len=25]";
    let mut call = common::prefill_call(1, prompt);
    call.delivered = (0..10).map(|i| expected(prompt).token(i)).collect();
    let mut stream = start_stream(&engines, &call, 100).await;
    assert!(stream.read(usize::MAX).await);
    assert_eq!(stream.tokens().len(), 15);
    check_tokens(&stream, prompt, 10);
    let totals: totals::Totals = common::get(engines.prefill, "/_stand-in/totals").await;
    assert_eq!(totals.wrong_delivered, 0);
}

#[tokio::test]
async fn an_expired_export_is_refused() {
    let engines = common::Engines::start(&["--export-expiry-ms", "30"]);
    let answer = common::post(
        engines.prefill,
        "/v1/prefill",
        &common::prefill_call(1, "x"),
    )
    .await;
    let prefilled: wire::Prefilled = answer.json().unwrap();
    time::sleep(time::Duration::from_millis(60)).await;
    let import = wire::Import {
        request: common::request(1),
        model: common::MODEL.parse().unwrap(),
        from: engines.prefill,
        export: prefilled.export,
    };
    let answer = common::post(engines.decode, "/v1/import", &import).await;
    assert_eq!(answer.status, 404, "{answer:?}");
    for engine in [engines.prefill, engines.decode] {
        let held: wire::Held = common::get(engine, "/v1/held").await;
        assert_eq!(held.requests, []);
    }
}

#[tokio::test]
async fn a_cancelled_request_frees_its_memory_and_is_refused() {
    let engines = common::Engines::start(&[]);
    let call = common::prefill_call(1, "long [len=4000]");
    let mut stream = start_stream(&engines, &call, 4000).await;
    assert!(stream.read(2).await);
    let was = common::cancel(engines.decode, 1).await.was;
    assert_eq!(was, wire::Phase::Decoding);
    assert!(!stream.read(usize::MAX).await);
    let held: wire::Held = common::get(engines.decode, "/v1/held").await;
    assert_eq!(held.requests, []);
    let again = common::post(engines.decode, "/v1/decode", &common::decode_call(1, 10)).await;
    assert_eq!(again.status, 410);
    let was = common::cancel(engines.prefill, 1).await.was;
    assert_eq!(was, wire::Phase::Unknown);
    let again = common::post(engines.prefill, "/v1/prefill", &call).await;
    assert_eq!(again.status, 410);
}

#[tokio::test]
async fn a_prefill_call_is_answered_when_it_is_cancelled() {
    let engines = common::Engines::start(&[]);
    let call = common::prefill_call(1, "[slow-prefill=60000]");
    let prefill = common::post(engines.prefill, "/v1/prefill", &call);
    let cancel = async {
        loop {
            let held: wire::Held = common::get(engines.prefill, "/v1/held").await;
            if held
                .requests
                .iter()
                .any(|h| h.phase == wire::Phase::Prefilling)
            {
                return common::cancel(engines.prefill, 1).await;
            }
        }
    };
    let (answer, cancelled) = tokio::join!(prefill, cancel);
    assert_eq!(answer.status, 410);
    assert_eq!(cancelled.was, wire::Phase::Prefilling);
}

#[tokio::test]
async fn full_engines_refuse_before_they_start_anything() {
    let engines = common::Engines::start(&["--slots", "1", "--memory-pieces", "4"]);
    let long = start_stream(&engines, &common::prefill_call(1, "[len=4000]"), 4000).await;
    let answer = common::import(&engines, &common::prefill_call(2, "x")).await;
    assert_eq!(answer.status, 503, "{answer:?}");
    common::cancel(engines.decode, 1).await;
    let was = common::cancel(engines.prefill, 2).await.was;
    assert_eq!(was, wire::Phase::Exported);
    let answer = common::import(&engines, &common::prefill_call(3, "x")).await;
    assert_eq!(answer.status, 200, "{answer:?}");
    let larger_than_memory = "x".repeat(5 * 4096 * 4);
    let call = common::prefill_call(4, &larger_than_memory);
    let answer = common::post(engines.prefill, "/v1/prefill", &call).await;
    assert_eq!(answer.status, 503, "{answer:?}");
    long.close().await;
}

#[tokio::test]
async fn invalid_calls_get_a_4xx_status_and_calls_for_another_role_503() {
    let engines = common::Engines::start(&[]);
    let post = |path: &str, body: Vec<u8>| {
        hyper::Request::post(path)
            .body(client::Body::new(body.into()))
            .unwrap()
    };
    let json = |value: &wire::Prefill| serde_json::to_vec(value).unwrap();
    let mut unknown_model = common::prefill_call(1, "x");
    unknown_model.model = "other".parse().unwrap();
    let delete = client::request(hyper::Method::DELETE, "/v1/requests/no-number");
    let get = |path| client::request(hyper::Method::GET, path);
    let cases = [
        (post("/v1/prefill", b"{".to_vec()), 400),
        (post("/v1/prefill", vec![0xff; 10]), 400),
        (post("/v1/import", b"{}".to_vec()), 400),
        (post("/v1/decode", b"[]".to_vec()), 400),
        (post("/v1/prefill", vec![b' '; (8 << 20) + 1]), 413),
        (post("/v1/prefill", json(&unknown_model)), 404),
        (
            post(
                "/v1/orders",
                br#"{"order":"change_role","role":"prefill"}"#.to_vec(),
            ),
            400,
        ),
        (delete, 400),
        (resume(77, 0), 404),
        (get("/v1/exports/none"), 404),
        (get("/v1/cache-events?after=x"), 400),
        (get("/nowhere"), 404),
    ];
    for (req, status) in cases {
        let what = format!("{req:?}");
        let answer = client::ask(engines.prefill, req).await.unwrap();
        assert_eq!(
            answer.status,
            status,
            "{} {answer:?}",
            &what[..80.min(what.len())]
        );
    }
    let answer = common::post(engines.decode, "/v1/decode", &common::decode_call(9, 1)).await;
    assert_eq!(answer.status, 404);
    let answer = common::post(engines.decode, "/v1/prefill", &common::prefill_call(9, "x")).await;
    assert_eq!(answer.status, 503);
}

#[tokio::test]
async fn stale_fencing_numbers_are_refused_unless_they_are_ignored() {
    for (flags, stale_status) in [(&[][..], 409), (&["--ignore-fencing"][..], 200)] {
        let engines = common::Engines::start(flags);
        let order = wire::Order::ChangeRole {
            role: model::Role::Prefill,
        };
        for (number, status) in [(7, 200), (7, 200), (6, stale_status), (8, 200)] {
            let mut req = client::post("/v1/orders", &order);
            let value = id::FencingNumber::new(number).to_string().parse().unwrap();
            req.headers_mut().insert(wire::FENCING_HEADER, value);
            let answer = client::ask(engines.decode, req).await.unwrap();
            assert_eq!(answer.status, status, "number {number} with {flags:?}");
        }
        let load: wire::Load = common::get(engines.decode, "/v1/load").await;
        assert!(load.age_ms.as_u64() < 60_000);
    }
}

#[tokio::test]
async fn marked_prompts_crash_the_engine_that_runs_them() {
    for (prompt, crashing_engine) in [("a [crash] b", 0), ("a [crash-decode] b", 1)] {
        let mut engines = common::Engines::start(&[]);
        let call = common::prefill_call(1, prompt);
        let run = async {
            let answer = client::ask(engines.prefill, client::post("/v1/prefill", &call)).await?;
            let prefilled: wire::Prefilled = answer.json()?;
            let import = wire::Import {
                request: call.request,
                model: call.model.clone(),
                from: engines.prefill,
                export: prefilled.export,
            };
            common::post(engines.decode, "/v1/import", &import).await;
            let decode = client::post("/v1/decode", &common::decode_call(1, 50));
            client::ask(engines.decode, decode).await
        };
        assert!(run.await.is_err(), "{prompt}");
        let code = engines.children[crashing_engine].wait_end().unwrap();
        assert_eq!(code, Some(fault::CRASH_EXIT_CODE), "{prompt}");
        assert!(engines.children[1 - crashing_engine].is_running());
    }
}

#[tokio::test]
async fn silent_connections_stay_silent_while_new_ones_work() {
    let engines = common::Engines::start(&[]);
    let mut old = client::Connection::open(engines.decode).await.unwrap();
    let held = || client::request(hyper::Method::GET, "/v1/held");
    assert_eq!(old.ask(held()).await.unwrap().status, 200);
    let silent = fault::Faults {
        silent: true,
        ..fault::Faults::default()
    };
    faults(engines.decode, &silent).await;
    let timeout = time::Duration::from_millis(200);
    assert!(time::timeout(timeout, old.ask(held())).await.is_err());
    assert_eq!(
        client::ask(engines.decode, held()).await.unwrap().status,
        200
    );
}

#[tokio::test]
async fn injected_import_failures_count_down_and_a_stall_lasts_until_it_is_cleared() {
    let engines = common::Engines::start(&[]);
    let faults_with = |stall, fail_imports| fault::Faults {
        stall,
        fail_imports,
        ..fault::Faults::default()
    };
    faults(engines.decode, &faults_with(None, Some(1))).await;
    let call = common::prefill_call(1, "[len=20]");
    assert_eq!(common::import(&engines, &call).await.status, 503);
    let mut stream = start_stream(&engines, &common::prefill_call(2, "[len=20]"), 20).await;
    faults(engines.decode, &faults_with(Some(true), None)).await;
    let timeout = time::Duration::from_millis(400);
    assert!(
        time::timeout(timeout, stream.read(usize::MAX))
            .await
            .is_err()
    );
    faults(engines.decode, &faults_with(Some(false), None)).await;
    assert!(stream.read(usize::MAX).await);
    assert_eq!(stream.tokens().len(), 20);
}
