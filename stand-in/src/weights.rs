//! The stand-in of the rate-limited weight store.

use std::io;
use std::net;
use std::sync;

use buckthorncleat::unit;
use bytes::Bytes;
use futures_util::stream;
use http_body_util::BodyExt as _;
use hyper::body;
use tokio::sync::watch;

use crate::connection;
use crate::engine::export;
use crate::engine::link;
use crate::server;

/// The real bytes sent at once.
const CHUNK_BYTES: u64 = 16 << 10;

/// The settings of `buckthorncleat-stand-in weights`.
#[derive(Clone, Debug, clap::Args)]
pub struct Settings {
    /// Rate of the store, shared by all that load, in bytes a second.
    #[arg(long, default_value = "1250000000")]
    pub bytes_per_second: unit::BytesPerSecond,
    /// Size of each version of each model; one byte in 1,024 is really sent.
    #[arg(long, default_value = "1000000000")]
    pub model_bytes: unit::Bytes,
}

/// Serves `GET /v1/weights/{model}/{version}` until the flag is true.
///
/// # Errors
///
/// Says which address can't be bound.
pub async fn run(
    address: net::SocketAddr,
    settings: Settings,
    stop: watch::Receiver<bool>,
) -> buckthorncleat::Result<()> {
    let listener = server::listen(address).await?;
    let app = App {
        link: sync::Arc::new(link::Link::new(settings.bytes_per_second)),
        settings,
    };
    let connections = sync::Arc::<connection::Registry>::default();
    server::serve(listener, connections, sync::Arc::new(app), stop).await;
    Ok(())
}

struct App {
    settings: Settings,
    link: sync::Arc<link::Link>,
}

impl server::App for App {
    async fn call(&self, _: u64, req: server::Request) -> server::Response {
        let path = req.uri().path().trim_start_matches('/');
        let path: Vec<&str> = path.split('/').collect();
        match (req.method().as_str(), path.as_slice()) {
            ("GET", ["v1", "weights", _, _]) => self.send(),
            _ => server::Failure::unknown_path().to_response(),
        }
    }
}

impl App {
    fn send(&self) -> server::Response {
        let left = self.settings.model_bytes.as_u64() / export::SIZE_SCALE;
        let state = (sync::Arc::clone(&self.link), left);
        let frames = stream::unfold(state, |(link, left)| async move {
            let size = left.min(CHUNK_BYTES);
            if size == 0 {
                return None;
            }
            link.carry(size).await;
            let frame = body::Frame::data(Bytes::from(vec![0; size as usize]));
            Some((Ok::<_, io::Error>(frame), (link, left - size)))
        });
        hyper::Response::new(http_body_util::StreamBody::new(frames).boxed_unsync())
    }
}
