//! Makes one call and records its result.

use buckthorncleat::backend::prompt;
use buckthorncleat::clock;
use buckthorncleat::http::caller::answer;
use buckthorncleat::id;
use http_body_util::BodyExt as _;
use tokio::time;

use crate::client;
use crate::engine::text;
use crate::load::arrival;
use crate::load::entries;
use crate::load::plan;
use crate::load::record;
use crate::plain;

const CONNECT_TIMEOUT: time::Duration = time::Duration::from_secs(1);

/// Most gateway entries to which a caller tries to connect for one call.
const MAX_CONNECT_ATTEMPTS: usize = 3;

/// State of the run that a call needs.
#[derive(Clone, Copy, Debug)]
pub struct Context<'a> {
    pub plan: &'a plan::Plan,
    /// Start of the run; times in records count from it.
    pub start: time::Instant,
    /// List of gateway entries that this caller has cached.
    pub cache: &'a entries::Cache,
}

/// Result of a call, before it is joined with the call's own data in a record.
#[derive(Debug)]
struct CallResult {
    end: record::End,
    outcome: Option<String>,
    first_token_ms: Option<f64>,
    between_tokens_ms: Option<f64>,
    tokens: u64,
}

impl From<record::End> for CallResult {
    fn from(end: record::End) -> Self {
        Self {
            end,
            outcome: None,
            first_token_ms: None,
            between_tokens_ms: None,
            tokens: 0,
        }
    }
}

/// Makes a call that is due now and returns its record.
pub async fn call(cx: Context<'_>, arrival: &arrival::Arrival) -> record::Record {
    let call_timeout = cx.plan.traffic.call_timeout_ms.as_duration();
    let result = time::timeout(call_timeout, connect_and_send(cx, arrival)).await;
    let result = result.unwrap_or_else(|_| record::End::TimedOut.into());
    record::Record {
        number: arrival.number,
        account: arrival.account,
        kind: arrival.work.kind(),
        at: arrival.at,
        ended: clock::Millis::new(cx.start.elapsed().as_millis() as u64),
        end: result.end,
        outcome: result.outcome,
        first_token_ms: result.first_token_ms,
        between_tokens_ms: result.between_tokens_ms,
        tokens: result.tokens,
    }
}

async fn connect_and_send(cx: Context<'_>, arrival: &arrival::Arrival) -> CallResult {
    let entries = cx
        .cache
        .entries(&cx.plan.entries, arrival.number as usize)
        .await;
    for address in entries.into_iter().take(MAX_CONNECT_ATTEMPTS) {
        let opened = time::timeout(CONNECT_TIMEOUT, client::Connection::open(address)).await;
        let Ok(Ok(connection)) = opened else {
            cx.cache.invalidate();
            continue;
        };
        return send_call(cx, arrival, connection).await;
    }
    record::End::Unreachable.into()
}

async fn send_call(
    cx: Context<'_>,
    arrival: &arrival::Arrival,
    mut connection: client::Connection,
) -> CallResult {
    let req = request(cx.plan, arrival);
    let result = match connection.send(req).await {
        Ok(response) => read_response(cx, arrival, response).await,
        Err(_) => record::End::Broken.into(),
    };
    connection.close().await;
    result
}

#[derive(serde::Serialize)]
struct Chat<'a> {
    model: &'a id::ModelId,
    messages: &'a [prompt::Message],
    max_tokens: u64,
    stream: bool,
}

#[derive(serde::Serialize)]
struct Order {
    order: String,
}

fn request(plan: &plan::Plan, arrival: &arrival::Arrival) -> hyper::Request<client::Body> {
    let traffic = &plan.traffic;
    let mut req = match &arrival.work {
        arrival::Work::Chat(chat) => {
            let body = Chat {
                model: &plan.model.id,
                messages: &chat.messages,
                max_tokens: chat.answer_tokens,
                stream: true,
            };
            client::post("/v1/chat/completions", &body)
        }
        arrival::Work::Order => order_request(&traffic.order_path, traffic.seed, arrival),
        arrival::Work::Booking => order_request(&traffic.booking_path, traffic.seed, arrival),
        arrival::Work::Lookup => {
            let path = format!("{}?plot={}", traffic.lookup_path, arrival.number);
            client::request(hyper::Method::GET, &path)
        }
    };
    let key = format!("Bearer {}", plan.accounts[arrival.account].key);
    let key = key.parse().expect("a key is a header value");
    req.headers_mut().insert(hyper::header::AUTHORIZATION, key);
    req
}

fn order_request(
    path: &str,
    seed: u64,
    arrival: &arrival::Arrival,
) -> hyper::Request<client::Body> {
    let order = arrival.order_name(seed);
    let key = order.parse().expect("an order name is a header value");
    let mut req = client::post(path, &Order { order });
    req.headers_mut().insert("idempotency-key", key);
    req
}

async fn read_response(
    cx: Context<'_>,
    arrival: &arrival::Arrival,
    response: hyper::Response<hyper::body::Incoming>,
) -> CallResult {
    let (head, body) = response.into_parts();
    let outcome = head.headers.get(answer::OUTCOME_HEADER);
    let outcome = outcome.and_then(|v| v.to_str().ok()).map(str::to_owned);
    let result = match (head.status.is_success(), &arrival.work) {
        (false, _) => read_refusal(head.status, body).await,
        (true, arrival::Work::Chat(chat)) => read_stream(cx, arrival, chat, body).await,
        (true, arrival::Work::Lookup) => read_plain_answer(body, None).await,
        (true, arrival::Work::Order | arrival::Work::Booking) => {
            let order = arrival.order_name(cx.plan.traffic.seed);
            read_plain_answer(body, Some(order)).await
        }
    };
    CallResult { outcome, ..result }
}

async fn read_refusal(status: hyper::StatusCode, body: hyper::body::Incoming) -> CallResult {
    #[derive(Default, serde::Deserialize)]
    struct Problem {
        error: Reason,
    }
    #[derive(Default, serde::Deserialize)]
    struct Reason {
        code: Option<String>,
    }
    let bytes = body
        .collect()
        .await
        .map(|b| b.to_bytes())
        .unwrap_or_default();
    let problem: Problem = serde_json::from_slice(&bytes).unwrap_or_default();
    let end = record::End::Refused {
        status: status.as_u16(),
        code: problem.error.code.unwrap_or_default(),
    };
    end.into()
}

async fn read_plain_answer(body: hyper::body::Incoming, order: Option<String>) -> CallResult {
    let Ok(body) = body.collect().await else {
        return record::End::Broken.into();
    };
    let ran: Result<plain::Ran, _> = serde_json::from_slice(&body.to_bytes());
    match ran {
        Ok(ran) if order.is_none_or(|order| order == ran.order) => record::End::Whole.into(),
        _ => record::End::Wrong.into(),
    }
}

/// Parser and token timing of one event stream.
#[derive(Default)]
struct EventStream {
    pending: Vec<u8>,
    text: String,
    tokens: u64,
    first_token_at: Option<time::Instant>,
    last_token_at: Option<time::Instant>,
    done: bool,
}

impl EventStream {
    fn push(&mut self, data: &[u8]) {
        self.pending.extend_from_slice(data);
        while let Some(end) = self.pending.windows(2).position(|w| w == b"\n\n") {
            let event: Vec<u8> = self.pending.drain(..end + 2).collect();
            self.push_event(&String::from_utf8_lossy(&event));
        }
    }

    fn push_event(&mut self, event: &str) {
        #[derive(serde::Deserialize)]
        struct Chunk {
            choices: Vec<Choice>,
        }
        #[derive(serde::Deserialize)]
        struct Choice {
            delta: Delta,
        }
        #[derive(serde::Deserialize)]
        struct Delta {
            content: Option<String>,
        }
        let Some(data) = event.lines().find_map(|line| line.strip_prefix("data:")) else {
            return;
        };
        if data.trim() == "[DONE]" {
            self.done = true;
            return;
        }
        let chunk: Option<Chunk> = serde_json::from_str(data).ok();
        let choice = chunk.and_then(|chunk| chunk.choices.into_iter().next());
        if let Some(content) = choice.and_then(|choice| choice.delta.content) {
            self.push_token(&content);
        }
    }

    fn push_token(&mut self, content: &str) {
        let now = time::Instant::now();
        self.text.push_str(content);
        self.tokens += 1;
        self.first_token_at.get_or_insert(now);
        self.last_token_at = Some(now);
    }

    fn between_tokens_ms(&self) -> Option<f64> {
        let gaps = self.tokens.checked_sub(1)?;
        let total = self.last_token_at? - self.first_token_at?;
        Some(total.as_secs_f64() * 1000.0 / gaps.max(1) as f64)
    }
}

async fn read_stream(
    cx: Context<'_>,
    arrival: &arrival::Arrival,
    chat: &arrival::Chat,
    mut body: hyper::body::Incoming,
) -> CallResult {
    let mut events = EventStream::default();
    let mut broken = false;
    while let Some(frame) = body.frame().await {
        match frame {
            Ok(frame) => events.push(frame.data_ref().map_or(&[], |d| d)),
            Err(_) => broken = true,
        }
    }
    let prompt = prompt::from_messages(&chat.messages);
    let expected = text::Answer::from_prompt(&cx.plan.model.id, &prompt).text(chat.answer_tokens);
    let end = match events.done && !broken {
        true if events.text == expected => record::End::Whole,
        true => record::End::Wrong,
        false => record::End::Broken,
    };
    let due = cx.start + arrival.at.as_duration();
    let first = events
        .first_token_at
        .map(|at| (at - due).as_secs_f64() * 1000.0);
    CallResult {
        end,
        outcome: None,
        first_token_ms: first,
        between_tokens_ms: events.between_tokens_ms(),
        tokens: events.tokens,
    }
}
