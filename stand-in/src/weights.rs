//! A stand-in for a rate-limited store of model weights.

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

/// The number of bytes really sent per chunk.
const CHUNK_BYTES: u64 = 16 << 10;

/// The settings of `buckthorncleat-stand-in weights`.
#[derive(Clone, Debug, clap::Args)]
pub struct Settings {
    /// Bandwidth of the store in bytes per second, shared by all downloads.
    #[arg(long, default_value = "1250000000")]
    pub bytes_per_second: unit::BytesPerSecond,
    /// Size of each version of each model, in bytes; only one byte in 1,024 is really sent.
    #[arg(long, default_value = "1000000000")]
    pub model_bytes: unit::Bytes,
}

/// Serves `GET /v1/weights/{model}/{version}` until `stop` is true or its sender is dropped.
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
            ("GET", ["v1", "weights", _, _]) => self.weights(),
            _ => server::Failure::unknown_path().to_response(),
        }
    }
}

impl App {
    fn weights(&self) -> server::Response {
        let remaining = self.settings.model_bytes.as_u64() / export::SIZE_SCALE;
        let state = (sync::Arc::clone(&self.link), remaining);
        let frames = stream::unfold(state, |(link, remaining)| async move {
            let size = remaining.min(CHUNK_BYTES);
            if size == 0 {
                return None;
            }
            link.carry(size).await;
            let frame = body::Frame::data(Bytes::from(vec![0; size as usize]));
            Some((Ok::<_, io::Error>(frame), (link, remaining - size)))
        });
        hyper::Response::new(http_body_util::StreamBody::new(frames).boxed_unsync())
    }
}
