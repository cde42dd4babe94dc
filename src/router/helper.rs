//! Serves requests that other routers pass on.

use std::sync;

use bytes::Bytes;
use http_body_util::BodyExt as _;
use hyper::header;
use tokio::sync::Mutex;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::time;

use crate::clock;
use crate::fleet::forward;
use crate::id;
use crate::peer::message;
use crate::peer::server;
use crate::router::core;
use crate::router::request;
use crate::sorted;

/// The longest time for which a reply is held while there is nothing to send.
pub const MAX_HOLD: clock::Millis = clock::Millis::new(300);

/// The most requests of other routers that are served at once.
const MAX_EXCHANGES: usize = 128;

/// A request is ended when nothing more of its answer is asked for this long: its router is lost.
const MAX_SILENCE: clock::Millis = clock::Millis::new(2_000);

/// The time between two searches for exchanges whose router is lost.
const SWEEP_INTERVAL: clock::Millis = clock::Millis::new(500);

/// Chunks of an answer that are buffered until they are asked for.
const MAX_BUFFERED_ITEMS: usize = 16;

/// Size from which on a chunk is sent in pieces, and a part gets no further chunk.
const MAX_PART_BYTES: usize = 64 << 10;

/// Serves the requests that other routers pass on.
pub struct Helper {
    core: sync::Arc<core::Core>,
    exchanges: sync::Mutex<sorted::Map<Key, sync::Arc<Exchange>>>,
}

type Key = (id::InstanceId, forward::ExchangeId);

/// An answer on its way to another router.
struct Exchange {
    items: Mutex<mpsc::Receiver<Item>>,
    asked_at: sync::Mutex<clock::Millis>,
}

/// A piece of an answer.
enum Item {
    Declined,
    Head(forward::Head),
    Chunk(Bytes),
    End(forward::End),
}

impl Helper {
    pub fn new(core: sync::Arc<core::Core>) -> Self {
        Self {
            core,
            exchanges: sync::Mutex::default(),
        }
    }

    /// Ends the exchanges whose router is lost, until `stop` becomes true.
    pub async fn sweep(&self, mut stop: watch::Receiver<bool>) {
        loop {
            tokio::select! {
                () = time::sleep(SWEEP_INTERVAL.as_duration()) => {}
                () = server::stopped(&mut stop) => return,
            }
            let now = self.core.clock.now();
            let is_kept = |e: &Exchange| now < *e.asked_at() + MAX_SILENCE;
            self.exchanges().retain(|_, e| is_kept(e));
        }
    }

    fn exchanges(&self) -> sync::MutexGuard<'_, sorted::Map<Key, sync::Arc<Exchange>>> {
        self.exchanges
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    async fn answer(&self, from: id::InstanceId, ask: forward::Ask) -> forward::Answer {
        match ask {
            forward::Ask::Begin(forwarded) => {
                let key = (from, forwarded.exchange);
                if self.begin(&key, *forwarded) {
                    self.next(&key).await
                } else {
                    forward::Answer::Declined
                }
            }
            forward::Ask::Next(id) => self.next(&(from, id)).await,
            forward::Ask::Cancel(id) => {
                self.exchanges().remove(&(from, id));
                forward::Answer::Unknown
            }
        }
    }

    /// Starts to serve a request; returns false when it is not taken.
    fn begin(&self, key: &Key, forwarded: forward::Forwarded) -> bool {
        let mut exchanges = self.exchanges();
        let is_closing = self.core.phase() >= core::Phase::Closing;
        if is_closing || exchanges.len() >= MAX_EXCHANGES || exchanges.contains(key) {
            return false;
        }
        let (tx, rx) = mpsc::channel(MAX_BUFFERED_ITEMS);
        let exchange = Exchange {
            items: Mutex::new(rx),
            asked_at: sync::Mutex::new(self.core.clock.now()),
        };
        exchanges.insert(key.clone(), sync::Arc::new(exchange));
        let core = sync::Arc::clone(&self.core);
        self.core.spawn_stream(serve(core, forwarded, tx));
        true
    }

    /// Returns what there is of an answer, and waits a little when there is nothing.
    async fn next(&self, key: &Key) -> forward::Answer {
        let exchange = self.exchanges().get(key).map(sync::Arc::clone);
        let Some(exchange) = exchange else {
            return forward::Answer::Unknown;
        };
        *exchange.asked_at() = self.core.clock.now();
        let mut items = exchange.items.lock().await;
        let answer = match time::timeout(MAX_HOLD.as_duration(), items.recv()).await {
            Err(_) => forward::Answer::Pending,
            Ok(None) => forward::Answer::Unknown,
            Ok(Some(Item::Declined)) => forward::Answer::Declined,
            Ok(Some(Item::Head(head))) => forward::Answer::Head(head, take_part(&mut items, None)),
            Ok(Some(first)) => forward::Answer::Part(take_part(&mut items, Some(first))),
        };
        let is_over = match &answer {
            forward::Answer::Pending => false,
            forward::Answer::Head(_, part) | forward::Answer::Part(part) => part.end.is_some(),
            forward::Answer::Declined | forward::Answer::Unknown => true,
        };
        if is_over {
            self.exchanges().remove(key);
        }
        answer
    }
}

impl server::Handler for Helper {
    async fn handle(&self, from: id::InstanceId, request: message::Request) -> message::Reply {
        match request {
            message::Request::Forward(ask) => {
                message::Reply::Forward(Box::new(self.answer(from, *ask).await))
            }
            message::Request::Ping => message::Reply::Accepted,
            _ => message::Reply::Unsupported,
        }
    }
}

impl Exchange {
    fn asked_at(&self) -> sync::MutexGuard<'_, clock::Millis> {
        self.asked_at
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}

/// Takes the chunks that are there, up to the size of a part.
fn take_part(items: &mut mpsc::Receiver<Item>, first: Option<Item>) -> forward::Part {
    let mut part = forward::Part::default();
    let mut bytes = 0;
    let mut next = first.or_else(|| items.try_recv().ok());
    while let Some(item) = next {
        match item {
            Item::Chunk(chunk) => {
                bytes += chunk.len();
                part.chunks.push(chunk.to_vec());
            }
            Item::End(end) => part.end = Some(end),
            Item::Head(_) | Item::Declined => {}
        }
        if part.end.is_some() || bytes >= MAX_PART_BYTES {
            return part;
        }
        next = items.try_recv().ok();
    }
    part
}

/// Serves a request that another router passed on, and queues the answer. The request ends when nobody
/// waits for the answer any more.
async fn serve(core: sync::Arc<core::Core>, forwarded: forward::Forwarded, tx: mpsc::Sender<Item>) {
    let served = tokio::select! {
        served = request::serve_forwarded(core, forwarded) => served,
        () = tx.closed() => return,
    };
    let Some(response) = served else {
        let _ = tx.send(Item::Declined).await;
        return;
    };
    let (head, mut body) = response.into_parts();
    let head = forward::Head {
        status: head.status.as_u16(),
        headers: write_headers(&head.headers),
    };
    if tx.send(Item::Head(head)).await.is_err() {
        return;
    }
    let end = loop {
        let frame = tokio::select! {
            frame = body.frame() => frame,
            () = tx.closed() => return,
        };
        match frame {
            None => break forward::End::Complete,
            Some(Err(_)) => break forward::End::Truncated,
            Some(Ok(frame)) => {
                let Ok(mut chunk) = frame.into_data() else {
                    continue;
                };
                while !chunk.is_empty() {
                    let piece = chunk.split_to(chunk.len().min(MAX_PART_BYTES));
                    if tx.send(Item::Chunk(piece)).await.is_err() {
                        return;
                    }
                }
            }
        }
    };
    let _ = tx.send(Item::End(end)).await;
}

/// Encodes headers for another router.
pub fn write_headers(headers: &header::HeaderMap) -> forward::Headers {
    let headers = headers.iter();
    headers
        .map(|(name, value)| (name.as_str().to_owned(), value.as_bytes().to_vec()))
        .collect()
}

/// Decodes headers of another router; those that are not valid are left out.
pub fn read_headers(headers: &forward::Headers) -> header::HeaderMap {
    let headers = headers.iter().filter_map(|(name, value)| {
        let name = header::HeaderName::from_bytes(name.as_bytes()).ok()?;
        Some((name, header::HeaderValue::from_bytes(value).ok()?))
    });
    let mut map = header::HeaderMap::new();
    for (name, value) in headers {
        map.append(name, value);
    }
    map
}
