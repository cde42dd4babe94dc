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
const MAX_TRIES: usize = 3;

/// State of the run that a call needs.
#[derive(Clone, Copy, Debug)]
pub struct Context<'a> {
    pub plan: &'a plan::Plan,
    /// Start of the run; times in records count from it.
    pub start: time::Instant,
    /// List of gateway entries that this caller has cached.
    pub kept: &'a entries::Kept,
}

/// Result of a call, before it is joined with the call's own data in a record.
#[derive(Debug)]
struct Met {
    end: record::End,
    outcome: Option<String>,
    first_token_ms: Option<f64>,
    between_tokens_ms: Option<f64>,
    tokens: u64,
}

impl From<record::End> for Met {
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
    let patience = cx.plan.traffic.call_timeout_ms.as_duration();
    let met = time::timeout(patience, try_entries(cx, arrival)).await;
    let met = met.unwrap_or_else(|_| record::End::TimedOut.into());
    record::Record {
        number: arrival.number,
        account: arrival.account,
        kind: arrival.work.kind(),
        at: arrival.at,
        ended: clock::Millis::new(cx.start.elapsed().as_millis() as u64),
        end: met.end,
        outcome: met.outcome,
        first_token_ms: met.first_token_ms,
        between_tokens_ms: met.between_tokens_ms,
        tokens: met.tokens,
    }
}

async fn try_entries(cx: Context<'_>, arrival: &arrival::Arrival) -> Met {
    let entries = cx
        .kept
        .entries(&cx.plan.entries, arrival.number as usize)
        .await;
    for address in entries.into_iter().take(MAX_TRIES) {
        let opened = time::timeout(CONNECT_TIMEOUT, client::Connection::open(address)).await;
        let Ok(Ok(connection)) = opened else {
            cx.kept.forget();
            continue;
        };
        return talk(cx, arrival, connection).await;
    }
    record::End::Unreachable.into()
}

async fn talk(
    cx: Context<'_>,
    arrival: &arrival::Arrival,
    mut connection: client::Connection,
) -> Met {
    let req = request(cx.plan, arrival);
    let met = match connection.send(req).await {
        Ok(response) => receive(cx, arrival, response).await,
        Err(_) => record::End::Broken.into(),
    };
    connection.close().await;
    met
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
        arrival::Work::Order => order(&traffic.order_path, traffic.seed, arrival),
        arrival::Work::Booking => order(&traffic.booking_path, traffic.seed, arrival),
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

fn order(path: &str, seed: u64, arrival: &arrival::Arrival) -> hyper::Request<client::Body> {
    let order = arrival.order_name(seed);
    let key = order.parse().expect("an order name is a header value");
    let mut req = client::post(path, &Order { order });
    req.headers_mut().insert("idempotency-key", key);
    req
}

async fn receive(
    cx: Context<'_>,
    arrival: &arrival::Arrival,
    response: hyper::Response<hyper::body::Incoming>,
) -> Met {
    let (head, body) = response.into_parts();
    let outcome = head.headers.get(answer::OUTCOME_HEADER);
    let outcome = outcome.and_then(|v| v.to_str().ok()).map(str::to_owned);
    let met = match (head.status.is_success(), &arrival.work) {
        (false, _) => refused(head.status, body).await,
        (true, arrival::Work::Chat(chat)) => stream(cx, arrival, chat, body).await,
        (true, arrival::Work::Lookup) => plain_answer(body, None).await,
        (true, arrival::Work::Order | arrival::Work::Booking) => {
            let order = arrival.order_name(cx.plan.traffic.seed);
            plain_answer(body, Some(order)).await
        }
    };
    Met { outcome, ..met }
}

async fn refused(status: hyper::StatusCode, body: hyper::body::Incoming) -> Met {
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

async fn plain_answer(body: hyper::body::Incoming, order: Option<String>) -> Met {
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
struct Received {
    pending: Vec<u8>,
    text: String,
    tokens: u64,
    first: Option<time::Instant>,
    last: Option<time::Instant>,
    done: bool,
}

impl Received {
    fn take(&mut self, data: &[u8]) {
        self.pending.extend_from_slice(data);
        while let Some(end) = self.pending.windows(2).position(|w| w == b"\n\n") {
            let event: Vec<u8> = self.pending.drain(..end + 2).collect();
            self.take_event(&String::from_utf8_lossy(&event));
        }
    }

    fn take_event(&mut self, event: &str) {
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
            self.take_token(&content);
        }
    }

    fn take_token(&mut self, content: &str) {
        let now = time::Instant::now();
        self.text.push_str(content);
        self.tokens += 1;
        self.first.get_or_insert(now);
        self.last = Some(now);
    }

    fn between_tokens_ms(&self) -> Option<f64> {
        let gaps = self.tokens.checked_sub(1)?;
        let total = self.last? - self.first?;
        Some(total.as_secs_f64() * 1000.0 / gaps.max(1) as f64)
    }
}

async fn stream(
    cx: Context<'_>,
    arrival: &arrival::Arrival,
    chat: &arrival::Chat,
    mut body: hyper::body::Incoming,
) -> Met {
    let mut received = Received::default();
    let mut broken = false;
    while let Some(frame) = body.frame().await {
        match frame {
            Ok(frame) => received.take(frame.data_ref().map_or(&[], |d| d)),
            Err(_) => broken = true,
        }
    }
    let prompt = prompt::from_messages(&chat.messages);
    let expected = text::Answer::from_prompt(&cx.plan.model.id, &prompt).text(chat.answer_tokens);
    let end = match received.done && !broken {
        true if received.text == expected => record::End::Whole,
        true => record::End::Wrong,
        false => record::End::Broken,
    };
    let due = cx.start + arrival.at.as_duration();
    let first = received.first.map(|at| (at - due).as_secs_f64() * 1000.0);
    Met {
        end,
        outcome: None,
        first_token_ms: first,
        between_tokens_ms: received.between_tokens_ms(),
        tokens: received.tokens,
    }
}
