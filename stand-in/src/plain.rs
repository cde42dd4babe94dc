//! A stand-in for a plain HTTP service, which counts how often each order ran.

use std::net;
use std::sync;

use buckthorncleat::clock;
use buckthorncleat::id;
use buckthorncleat::sorted;
use tokio::sync::watch;
use tokio::time;

use crate::connection;
use crate::engine::text;
use crate::fault;
use crate::server;

/// The header that names an order; without it, the field `order` of a JSON body does.
///
/// A call with neither is named by a hash of its method, URI and body.
pub const ORDER_HEADER: &str = "x-order";

/// The settings of `buckthorncleat-stand-in plain`.
#[derive(Clone, Debug, clap::Args)]
pub struct Settings {
    /// Name of the service, returned in each answer.
    #[arg(long)]
    pub id: id::BackendServerId,
    /// Duration of each call, in milliseconds; a mark `[slow=MS]` in the body adds to it.
    #[arg(long, default_value = "0")]
    pub delay_ms: clock::Millis,
    /// Text in a request body that makes the service crash.
    #[arg(long, default_value = "[crash]")]
    pub crash_on: String,
}

/// The answer to a call.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Ran {
    pub server: id::BackendServerId,
    pub order: String,
    /// How often the order ran in this process, including this call.
    pub runs: u64,
}

/// The answer to `GET /_stand-in/orders`.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Orders {
    /// One entry per order, sorted by name.
    pub orders: Vec<Count>,
}

/// How often one order ran.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Count {
    pub order: String,
    pub runs: u64,
}

/// Runs a plain service until `stop` is true or its sender is dropped.
///
/// # Errors
///
/// Returns an error that names the address if it can't be bound.
pub async fn run(
    address: net::SocketAddr,
    settings: Settings,
    stop: watch::Receiver<bool>,
) -> buckthorncleat::Result<()> {
    let listener = server::listen(address).await?;
    let connections = sync::Arc::<connection::Registry>::default();
    let app = App {
        settings,
        runs: sync::Mutex::default(),
        connections: sync::Arc::clone(&connections),
        faults: watch::channel(Switches::default()).0,
    };
    server::serve(listener, connections, sync::Arc::new(app), stop).await;
    Ok(())
}

#[derive(Clone, Copy, Debug)]
struct Switches {
    stall: bool,
    slow_factor: u32,
}

impl Default for Switches {
    fn default() -> Self {
        Self {
            stall: false,
            slow_factor: 1,
        }
    }
}

struct App {
    settings: Settings,
    runs: sync::Mutex<sorted::Map<String, u64>>,
    connections: sync::Arc<connection::Registry>,
    faults: watch::Sender<Switches>,
}

type Answer = Result<server::Response, server::Failure>;

impl server::App for App {
    async fn call(&self, connection: u64, req: server::Request) -> server::Response {
        let answer = match (req.method().as_str(), req.uri().path()) {
            ("GET", "/_stand-in/orders") => Ok(ok(&self.orders())),
            ("GET", "/_stand-in/heads") => Ok(ok(&self.connections.received())),
            ("POST", "/_stand-in/faults") => self.set_faults(connection, req).await,
            _ => self.run_order(req).await,
        };
        answer.unwrap_or_else(|failure| failure.to_response())
    }
}

impl App {
    async fn run_order(&self, req: server::Request) -> Answer {
        let (head, body) = req.into_parts();
        let body = server::read_body(body).await?;
        let text = String::from_utf8_lossy(&body);
        let order = order_name(&head, &text);
        self.wait_while_stalled().await;
        if text.contains(&self.settings.crash_on) {
            fault::crash();
        }
        let runs = self.count(&order);
        time::sleep(self.delay(&text).as_duration()).await;
        let server = self.settings.id.clone();
        Ok(ok(&Ran {
            server,
            order,
            runs,
        }))
    }

    fn count(&self, order: &str) -> u64 {
        let mut runs = self.runs.lock().expect("runs lock");
        let count = runs.get_or_insert_with(order.to_owned(), || 0);
        *count += 1;
        *count
    }

    fn delay(&self, text: &str) -> clock::Millis {
        let asked = clock::Millis::new(text::mark_number(text, "slow").unwrap_or(0));
        (self.settings.delay_ms + asked) * u64::from(self.faults.borrow().slow_factor)
    }

    async fn wait_while_stalled(&self) {
        let mut faults = self.faults.subscribe();
        let _ = faults.wait_for(|faults| !faults.stall).await;
    }

    fn orders(&self) -> Orders {
        let runs = self.runs.lock().expect("runs lock");
        let orders = runs.iter().map(|(order, runs)| Count {
            order: order.clone(),
            runs: *runs,
        });
        Orders {
            orders: orders.collect(),
        }
    }

    async fn set_faults(&self, connection: u64, req: server::Request) -> Answer {
        let faults: fault::Faults = server::read_json(req.into_body()).await?;
        if faults.crash {
            fault::crash();
        }
        if faults.silent {
            self.connections.silence_all_but(connection);
        }
        self.faults.send_modify(|switches| {
            switches.stall = faults.stall.unwrap_or(switches.stall);
            switches.slow_factor = faults.slow_factor.unwrap_or(switches.slow_factor);
        });
        Ok(ok(&faults))
    }
}

fn order_name(head: &hyper::http::request::Parts, text: &str) -> String {
    #[derive(serde::Deserialize)]
    struct Named {
        order: String,
    }
    let header = head.headers.get(ORDER_HEADER);
    if let Some(name) = header.and_then(|value| value.to_str().ok()) {
        return name.to_owned();
    }
    if let Ok(named) = serde_json::from_str::<Named>(text) {
        return named.order;
    }
    let call = format!("{} {}\n{text}", head.method, head.uri);
    format!("{:016x}", xxhash_rust::xxh3::xxh3_64(call.as_bytes()))
}

fn ok<T: serde::Serialize>(value: &T) -> server::Response {
    server::json(hyper::StatusCode::OK, value)
}
