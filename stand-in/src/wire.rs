//! A TCP relay that can drop, delay and rate-limit the bytes it forwards, and cut connections.

use std::future;
use std::io;
use std::net;
use std::sync;

use buckthorncleat::clock;
use buckthorncleat::unit;
use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::time;

use crate::connection;
use crate::server;
use crate::shutdown;

/// The most bytes per read.
const CHUNK_BYTES: usize = 16 << 10;

/// The most chunks queued per direction of a connection.
const MAX_QUEUED_CHUNKS: usize = 1024;

/// The settings of `buckthorncleat-stand-in wire`.
#[derive(Clone, Debug, clap::Args)]
pub struct Settings {
    /// Address of the server to relay to, as `IP:port`.
    #[arg(long)]
    pub to: net::SocketAddr,
    /// Address on which `POST /_stand-in/wire` sets the faults, as `IP:port`.
    #[arg(long)]
    pub control: net::SocketAddr,
}

/// The body of `POST /_stand-in/wire`, which replaces the earlier settings.
///
/// A field that is left out injects no fault.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Switches {
    /// What to do with the connections that are open now; a later setting does not undo it.
    pub existing: Existing,
    /// What to do with connections that are accepted from now on.
    pub new: New,
    /// What to do with bytes sent to the server.
    pub to_server: Flow,
    /// What to do with bytes sent to the client.
    pub to_client: Flow,
    /// The delay added to each chunk of bytes, in each direction.
    pub delay_ms: clock::Millis,
    /// The rate limit of each direction of each connection; `None` means no limit.
    pub bytes_per_second: Option<unit::BytesPerSecond>,
}

/// What to do with open connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Existing {
    /// Keeps forwarding.
    #[default]
    Pass,
    /// Stops forwarding but leaves the connections open.
    Silent,
    /// Closes them.
    Cut,
}

/// What to do with new connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum New {
    /// Relays them.
    #[default]
    Pass,
    /// Accepts them and closes them at once.
    Refuse,
    /// Accepts them and leaves them open, but forwards nothing.
    Silent,
}

/// What to do with bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Flow {
    /// Forwards them.
    #[default]
    Pass,
    /// Discards them.
    Drop,
}

#[derive(Clone, Copy, Debug)]
enum Direction {
    ToServer,
    ToClient,
}

#[derive(Debug, Default)]
struct Relay {
    switches: watch::Sender<Switches>,
    open: sync::Mutex<Vec<sync::Weak<watch::Sender<Existing>>>>,
}

/// Relays connections until `stop` is true or its sender is dropped.
///
/// # Errors
///
/// Returns an error that names the address if it can't be bound.
pub async fn run(
    address: net::SocketAddr,
    settings: Settings,
    stop: watch::Receiver<bool>,
) -> buckthorncleat::Result<()> {
    let control = server::bind(settings.control).await?;
    let listener = server::listen(address).await?;
    let relay = sync::Arc::new(Relay::default());
    let app = sync::Arc::new(App(sync::Arc::clone(&relay)));
    let connections = sync::Arc::<connection::Registry>::default();
    tokio::join!(
        server::serve(control, connections, app, stop.clone()),
        accept(listener, relay, settings.to, stop),
    );
    Ok(())
}

struct App(sync::Arc<Relay>);

impl server::App for App {
    async fn call(&self, _: u64, req: server::Request) -> server::Response {
        if req.uri().path() != "/_stand-in/wire" {
            return server::Failure::unknown_path().to_response();
        }
        match server::read_json::<Switches>(req.into_body()).await {
            Ok(switches) => {
                self.0.apply(&switches);
                server::json(hyper::StatusCode::OK, &switches)
            }
            Err(failure) => failure.to_response(),
        }
    }
}

impl Relay {
    fn apply(&self, switches: &Switches) {
        self.switches.send_replace(switches.clone());
        let open = self.open.lock().expect("connections lock");
        for state in open.iter().filter_map(sync::Weak::upgrade) {
            if switches.existing != Existing::Pass && *state.borrow() == Existing::Pass {
                state.send_replace(switches.existing);
            }
        }
    }

    fn register(&self) -> sync::Arc<watch::Sender<Existing>> {
        let state = sync::Arc::new(watch::channel(Existing::Pass).0);
        let mut open = self.open.lock().expect("connections lock");
        open.retain(|state| state.strong_count() > 0);
        open.push(sync::Arc::downgrade(&state));
        state
    }

    fn flow(&self, direction: Direction) -> Flow {
        let switches = self.switches.borrow();
        match direction {
            Direction::ToServer => switches.to_server,
            Direction::ToClient => switches.to_client,
        }
    }
}

async fn accept(
    listener: tokio::net::TcpListener,
    relay: sync::Arc<Relay>,
    to: net::SocketAddr,
    stop: watch::Receiver<bool>,
) {
    let mut connections = tokio::task::JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                let Ok((client, _)) = accepted else { continue };
                connections.spawn(relay_connection(sync::Arc::clone(&relay), client, to));
            }
            Some(_) = connections.join_next() => {}
            () = shutdown::requested(stop.clone()) => break,
        }
    }
    connections.shutdown().await;
}

async fn relay_connection(
    relay: sync::Arc<Relay>,
    client: tokio::net::TcpStream,
    to: net::SocketAddr,
) {
    let new = relay.switches.borrow().new;
    match new {
        New::Pass => {}
        New::Refuse => return,
        New::Silent => return future::pending().await,
    }
    let state_tx = relay.register();
    let mut state = state_tx.subscribe();
    let Ok(server) = tokio::net::TcpStream::connect(to).await else {
        return;
    };
    let _ = (client.set_nodelay(true), server.set_nodelay(true));
    let (client_read, client_write) = client.into_split();
    let (server_read, server_write) = server.into_split();
    let forwarding = async {
        tokio::try_join!(
            copy(&relay, Direction::ToServer, client_read, server_write),
            copy(&relay, Direction::ToClient, server_read, client_write),
        )
    };
    tokio::pin!(forwarding);
    let end = tokio::select! {
        result = &mut forwarding => {
            log::debug!("a relayed connection ended: {result:?}");
            Existing::Cut
        }
        changed = state.wait_for(|state| *state != Existing::Pass) => {
            changed.map_or(Existing::Cut, |state| *state)
        }
    };
    if end == Existing::Silent {
        future::pending::<()>().await;
    }
}

async fn copy(
    relay: &Relay,
    direction: Direction,
    from: tokio::net::tcp::OwnedReadHalf,
    to: tokio::net::tcp::OwnedWriteHalf,
) -> io::Result<()> {
    let (tx, rx) = mpsc::channel(MAX_QUEUED_CHUNKS);
    tokio::try_join!(read(relay, from, tx), write(relay, direction, rx, to))?;
    Ok(())
}

type Chunk = (time::Instant, Vec<u8>);

async fn read(
    relay: &Relay,
    mut from: tokio::net::tcp::OwnedReadHalf,
    tx: mpsc::Sender<Chunk>,
) -> io::Result<()> {
    let mut buf = vec![0; CHUNK_BYTES];
    loop {
        let size = from.read(&mut buf).await?;
        if size == 0 {
            return Ok(());
        }
        let delay = relay.switches.borrow().delay_ms.as_duration();
        let due = time::Instant::now() + delay;
        if tx.send((due, buf[..size].to_vec())).await.is_err() {
            return Ok(());
        }
    }
}

async fn write(
    relay: &Relay,
    direction: Direction,
    mut rx: mpsc::Receiver<Chunk>,
    mut to: tokio::net::tcp::OwnedWriteHalf,
) -> io::Result<()> {
    while let Some((due, bytes)) = rx.recv().await {
        time::sleep_until(due).await;
        let rate = relay.switches.borrow().bytes_per_second;
        if let Some(rate) = rate {
            let size = unit::Bytes::new(bytes.len() as u64);
            time::sleep(rate.time_for(size).as_duration()).await;
        }
        if relay.flow(direction) == Flow::Pass {
            to.write_all(&bytes).await?;
        }
    }
    to.shutdown().await
}
