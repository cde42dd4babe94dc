//! The HTTP server of an engine.

use std::net;
use std::sync;
use std::sync::atomic;

use buckthorncleat::backend::wire;
use buckthorncleat::clock;
use buckthorncleat::id;
use tokio::sync::watch;
use tokio::time;

use crate::client;
use crate::connection;
use crate::engine::link;
use crate::engine::machine;
use crate::engine::prefill;
use crate::engine::refusal;
use crate::engine::settings;
use crate::engine::stream;
use crate::engine::transfer;
use crate::fault;
use crate::server as http;
use crate::shutdown;

/// The state that the connections of an engine share.
#[derive(Debug)]
pub struct Shared {
    engine: sync::Mutex<machine::Engine>,
    clock: clock::Clock,
    changes: watch::Sender<u64>,
    stream_cuts: atomic::AtomicU64,
    link: link::Link,
    load_model_time: clock::Millis,
    weights: Option<net::SocketAddr>,
    connections: sync::Arc<connection::Registry>,
}

impl Shared {
    fn new(settings: settings::Settings) -> Self {
        Self {
            clock: clock::Clock::start(),
            changes: watch::channel(0).0,
            stream_cuts: atomic::AtomicU64::new(0),
            link: link::Link::new(settings.link_bytes_per_second),
            load_model_time: settings.load_model_ms,
            weights: settings.weights,
            connections: sync::Arc::default(),
            engine: sync::Mutex::new(machine::Engine::new(settings)),
        }
    }

    /// Advances the engine to the present time and calls `f` with it. Ends the process if the
    /// engine has crashed.
    ///
    /// # Panics
    ///
    /// Panics if another thread panicked while it held the engine's lock.
    pub fn read<T>(&self, f: impl FnOnce(&mut machine::Engine) -> T) -> T {
        let mut engine = self.engine.lock().expect("engine lock");
        engine.advance(self.clock.now());
        if engine.has_crashed() {
            fault::crash();
        }
        f(&mut engine)
    }

    /// Advances the engine, calls `change` with it and notifies all receivers of
    /// [`changes`](Self::changes).
    pub fn change<T>(&self, change: impl FnOnce(&mut machine::Engine) -> T) -> T {
        let value = self.read(change);
        self.changes.send_modify(|count| *count += 1);
        value
    }

    /// Returns a receiver that is notified after each change of the engine.
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// Returns how often all streams have been cut by an injected fault.
    pub fn stream_cuts(&self) -> u64 {
        self.stream_cuts.load(atomic::Ordering::Relaxed)
    }

    /// Returns the link for transfers of KV cache.
    pub fn link(&self) -> &link::Link {
        &self.link
    }

    async fn run_engine(&self, stop: watch::Receiver<bool>) {
        let mut changes = self.changes();
        loop {
            changes.mark_unchanged();
            let due = self.read(|engine| engine.due());
            let due = time::Instant::from_std(self.clock.instant_at(due));
            tokio::select! {
                () = time::sleep_until(due) => self.change(|_| ()),
                _ = changes.changed() => {}
                () = shutdown::requested(stop.clone()) => return,
            }
        }
    }
}

/// Runs an engine until `stop` is true.
///
/// # Errors
///
/// Fails if the address can't be bound.
pub async fn run(
    address: net::SocketAddr,
    settings: settings::Settings,
    stop: watch::Receiver<bool>,
) -> buckthorncleat::Result<()> {
    let listener = http::listen(address).await?;
    let shared = sync::Arc::new(Shared::new(settings));
    let registry = sync::Arc::clone(&shared.connections);
    let app = sync::Arc::new(App(sync::Arc::clone(&shared)));
    tokio::join!(
        http::serve(listener, registry, app, stop.clone()),
        shared.run_engine(stop),
    );
    Ok(())
}

struct App(sync::Arc<Shared>);

type Answer = Result<http::Response, http::Failure>;

impl http::App for App {
    async fn call(&self, connection: u64, req: http::Request) -> http::Response {
        let path = req.uri().path().to_owned();
        let path: Vec<&str> = path.trim_start_matches('/').split('/').collect();
        let answer = match (req.method().as_str(), path.as_slice()) {
            ("POST", ["v1", "prefill"]) => self.prefill(req).await,
            ("POST", ["v1", "import"]) => self.import(req).await,
            ("GET", ["v1", "exports", name]) => transfer::send(&self.0, name).map_err(Into::into),
            ("POST", ["v1", "decode"]) => self.decode(req).await,
            ("GET", ["v1", "requests", request, "stream"]) => self.resume(&req, request),
            ("DELETE", ["v1", "requests", request]) => self.cancel(request),
            ("GET", ["v1", "held"]) => Ok(ok(&self.0.read(|e| e.held()))),
            ("GET", ["v1", "load"]) => Ok(ok(&self.0.read(|e| e.load()))),
            ("GET", ["v1", "cache-events"]) => self.cache_events(&req),
            ("POST", ["v1", "orders"]) => self.order(req).await,
            ("GET", ["_stand-in", "totals"]) => Ok(ok(&self.0.read(|e| e.totals().clone()))),
            ("GET", ["_stand-in", "heads"]) => Ok(ok(&self.0.connections.received())),
            ("POST", ["_stand-in", "faults"]) => self.faults(connection, req).await,
            _ => Err(http::Failure::unknown_path()),
        };
        answer.unwrap_or_else(|failure| failure.to_response())
    }
}

impl App {
    async fn prefill(&self, req: http::Request) -> Answer {
        let call: wire::Prefill = http::read_json(req.into_body()).await?;
        let request = call.request;
        let mut changes = self.0.changes();
        self.0.change(|e| e.prefill(call))?;
        loop {
            changes.mark_unchanged();
            match self.0.read(|e| e.progress(request))? {
                prefill::Progress::Done(prefilled) => return Ok(ok(&prefilled)),
                prefill::Progress::Pending => {}
            }
            let _ = changes.changed().await;
        }
    }

    async fn import(&self, req: http::Request) -> Answer {
        let call: wire::Import = http::read_json(req.into_body()).await?;
        transfer::fetch(&self.0, &call).await?;
        Ok(ok(&serde_json::Map::new()))
    }

    async fn decode(&self, req: http::Request) -> Answer {
        let call: wire::Decode = http::read_json(req.into_body()).await?;
        let from = self.0.change(|e| e.decode(&call))?;
        let shared = sync::Arc::clone(&self.0);
        Ok(stream::answer(shared, call.request, from))
    }

    fn resume(&self, req: &http::Request, request: &str) -> Answer {
        let request = parse(request)?;
        let from = parse(http::query(req, "from").unwrap_or("0"))?;
        self.0.change(|e| e.attach(request))?;
        let shared = sync::Arc::clone(&self.0);
        Ok(stream::answer(shared, request, from))
    }

    fn cancel(&self, request: &str) -> Answer {
        let request = parse(request)?;
        Ok(ok(&self.0.change(|e| e.cancel(request))))
    }

    fn cache_events(&self, req: &http::Request) -> Answer {
        let after = parse(http::query(req, "after").unwrap_or("0"))?;
        Ok(ok(&self.0.read(|e| e.cache_events(after))))
    }

    async fn order(&self, req: http::Request) -> Answer {
        let number = req.headers().get(wire::FENCING_HEADER).cloned();
        let order: wire::Order = http::read_json(req.into_body()).await?;
        let number: id::FencingNumber = number
            .and_then(|value| value.to_str().ok()?.parse().ok())
            .ok_or(refusal::Refusal::MissingFencingNumber)?;
        self.0.change(|e| e.order(number, &order))?;
        self.load_weights(&order).await?;
        self.0.change(|e| e.finish_order(&order));
        Ok(ok(&serde_json::Map::new()))
    }

    async fn load_weights(&self, order: &wire::Order) -> Result<(), http::Failure> {
        let path = match order {
            wire::Order::LoadModel { model, version } => format!("/v1/weights/{model}/{version}"),
            wire::Order::LoadAdapter { model, adapter } => format!("/v1/weights/{model}/{adapter}"),
            wire::Order::UnloadModel { .. } | wire::Order::ChangeRole { .. } => return Ok(()),
        };
        time::sleep(self.0.load_model_time.as_duration()).await;
        let Some(store) = self.0.weights else {
            return Ok(());
        };
        let answer = client::ask(store, client::request(hyper::Method::GET, &path)).await;
        match answer {
            Ok(answer) if answer.status == hyper::StatusCode::OK => Ok(()),
            _ => Err(http::Failure::new(
                hyper::StatusCode::BAD_GATEWAY,
                "the weight store did not return the weights: check that it runs and has them",
            )),
        }
    }

    async fn faults(&self, connection: u64, req: http::Request) -> Answer {
        let faults: fault::Faults = http::read_json(req.into_body()).await?;
        if faults.crash {
            fault::crash();
        }
        if faults.silent {
            self.0.connections.silence_all_but(connection);
        }
        if faults.cut_streams {
            self.0.stream_cuts.fetch_add(1, atomic::Ordering::Relaxed);
        }
        if let Some(rate) = faults.link_bytes_per_second {
            self.0.link.set_rate(rate);
        }
        self.0.change(|engine| set_faults(engine, &faults));
        Ok(ok(&faults))
    }
}

fn set_faults(engine: &mut machine::Engine, faults: &fault::Faults) {
    if let Some(stall) = faults.stall {
        engine.set_stalled(stall);
    }
    if let Some(factor) = faults.slow_factor {
        engine.set_slow_factor(factor);
    }
    if let Some(count) = faults.fail_imports {
        engine.set_failing_imports(count);
    }
}

impl From<refusal::Refusal> for http::Failure {
    fn from(refusal: refusal::Refusal) -> Self {
        Self::new(refusal.status(), refusal)
    }
}

fn ok<T: serde::Serialize>(value: &T) -> http::Response {
    http::json(hyper::StatusCode::OK, value)
}

fn parse<T: std::str::FromStr<Err: std::fmt::Display>>(text: &str) -> Result<T, http::Failure> {
    text.parse()
        .map_err(|e: T::Err| http::Failure::new(hyper::StatusCode::BAD_REQUEST, e))
}
