//! A TCP relay that loses, delays and slows what it carries.

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

/// The most bytes read at once.
const CHUNK_BYTES: usize = 16 << 10;

/// The most chunks on their way in one direction.
const CHUNKS_ON_THE_WAY: usize = 1024;

/// The settings of `buckthorncleat-stand-in wire`.
#[derive(Clone, Debug, clap::Args)]
pub struct Settings {
    /// Address that it relays to, as `IP:port`.
    #[arg(long)]
    pub to: net::SocketAddr,
    /// Address of its switches, as `IP:port`.
    #[arg(long)]
    pub control: net::SocketAddr,
}

/// `POST /_stand-in/wire`: how connections fare from now on; what is left out passes.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Switches {
    /// What becomes of the connections that are open now, for good.
    pub existing: Existing,
    /// What becomes of new connections.
    pub new: New,
    /// What becomes of bytes towards the server.
    pub to_server: Flow,
    /// What becomes of bytes towards the client.
    pub to_client: Flow,
    /// How much later bytes arrive.
    pub delay_ms: clock::Millis,
    /// The rate of each direction of each connection; none is unlimited.
    pub bytes_per_second: Option<unit::BytesPerSecond>,
}

/// What becomes of open connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Existing {
    /// They go on.
    #[default]
    Pass,
    /// They carry nothing any more and are not closed.
    Silent,
    /// They are closed.
    Cut,
}

/// What becomes of new connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum New {
    /// They are relayed.
    #[default]
    Pass,
    /// They are closed at once.
    Refuse,
    /// They are accepted and carry nothing.
    Silent,
}

/// What becomes of bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Flow {
    /// They arrive.
    #[default]
    Pass,
    /// They are lost.
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

/// Relays until the flag is true.
///
/// # Errors
///
/// Says which address can't be bound.
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
                self.0.set(&switches);
                server::json(hyper::StatusCode::OK, &switches)
            }
            Err(failure) => failure.to_response(),
        }
    }
}

impl Relay {
    fn set(&self, switches: &Switches) {
        self.switches.send_replace(switches.clone());
        let open = self.open.lock().expect("connections lock");
        for fate in open.iter().filter_map(sync::Weak::upgrade) {
            if switches.existing != Existing::Pass && *fate.borrow() == Existing::Pass {
                fate.send_replace(switches.existing);
            }
        }
    }

    fn open(&self) -> sync::Arc<watch::Sender<Existing>> {
        let fate = sync::Arc::new(watch::channel(Existing::Pass).0);
        let mut open = self.open.lock().expect("connections lock");
        open.retain(|fate| fate.strong_count() > 0);
        open.push(sync::Arc::downgrade(&fate));
        fate
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
                connections.spawn(carry(sync::Arc::clone(&relay), client, to));
            }
            Some(_) = connections.join_next() => {}
            () = shutdown::requested(stop.clone()) => break,
        }
    }
    connections.shutdown().await;
}

async fn carry(relay: sync::Arc<Relay>, client: tokio::net::TcpStream, to: net::SocketAddr) {
    let new = relay.switches.borrow().new;
    match new {
        New::Pass => {}
        New::Refuse => return,
        New::Silent => return future::pending().await,
    }
    let open = relay.open();
    let mut fate = open.subscribe();
    let Ok(server) = tokio::net::TcpStream::connect(to).await else {
        return;
    };
    let _ = (client.set_nodelay(true), server.set_nodelay(true));
    let (client_read, client_write) = client.into_split();
    let (server_read, server_write) = server.into_split();
    let both_ways = async {
        tokio::try_join!(
            copy(&relay, Direction::ToServer, client_read, server_write),
            copy(&relay, Direction::ToClient, server_read, client_write),
        )
    };
    tokio::pin!(both_ways);
    let end = tokio::select! {
        result = &mut both_ways => {
            log::debug!("a connection ended: {result:?}");
            Existing::Cut
        }
        changed = fate.wait_for(|fate| *fate != Existing::Pass) => {
            changed.map_or(Existing::Cut, |fate| *fate)
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
    let (tx, rx) = mpsc::channel(CHUNKS_ON_THE_WAY);
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
