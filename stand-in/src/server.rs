//! A minimal HTTP/1.1 server for the stand-ins.

use std::convert;
use std::future;
use std::io;
use std::net;
use std::sync;

use bytes::Bytes;
use http_body_util::BodyExt as _;
use hyper::body;
use hyper::service;
use tokio::sync::watch;

use crate::connection;
use crate::shutdown;

/// The largest request body that a stand-in accepts.
pub const MAX_BODY_BYTES: usize = 8 << 20;

/// A body above [`MAX_BODY_BYTES`] is read on and discarded up to this size, so that the caller
/// sees the answer.
const MAX_DRAINED_BYTES: usize = 4 * MAX_BODY_BYTES;

/// A response body.
pub type Body = http_body_util::combinators::UnsyncBoxBody<Bytes, io::Error>;

pub type Response = hyper::Response<Body>;

/// A request whose body has not been read yet.
pub type Request = hyper::Request<body::Incoming>;

/// Answers the requests of one server.
pub trait App: Send + Sync + 'static {
    /// Answers one request; `connection` is the number of the connection that it came over.
    fn call(&self, connection: u64, req: Request) -> impl future::Future<Output = Response> + Send;
}

/// Binds the address without printing it.
///
/// # Errors
///
/// Returns an error that names the address if it can't be bound.
pub async fn bind(address: net::SocketAddr) -> buckthorncleat::Result<tokio::net::TcpListener> {
    tokio::net::TcpListener::bind(address)
        .await
        .map_err(|e| buckthorncleat::Error::io(format!("listen on {address}"), e))
}

/// Binds the address and prints the line `listening ADDR`.
///
/// # Errors
///
/// Returns an error that names the address if it can't be bound.
pub async fn listen(address: net::SocketAddr) -> buckthorncleat::Result<tokio::net::TcpListener> {
    let listener = bind(address).await?;
    let bound = listener
        .local_addr()
        .map_err(|e| buckthorncleat::Error::io(format!("listen on {address}"), e))?;
    println!("listening {bound}");
    Ok(listener)
}

/// Answers requests until `stop` is true or its sender is dropped, then drops all connections.
pub async fn serve<A: App>(
    listener: tokio::net::TcpListener,
    registry: sync::Arc<connection::Registry>,
    app: sync::Arc<A>,
    stop: watch::Receiver<bool>,
) {
    let mut connections = tokio::task::JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                let Ok((stream, _)) = accepted else { continue };
                let _ = stream.set_nodelay(true);
                let connection = registry.accept(stream);
                connections.spawn(serve_connection(connection, sync::Arc::clone(&app)));
            }
            Some(_) = connections.join_next() => {}
            () = shutdown::requested(stop.clone()) => break,
        }
    }
    connections.shutdown().await;
}

async fn serve_connection<A: App>(connection: connection::Connection, app: sync::Arc<A>) {
    let number = connection.entry().number();
    let service = service::service_fn(move |req| {
        let app = sync::Arc::clone(&app);
        async move { Ok::<_, convert::Infallible>(app.call(number, req).await) }
    });
    let result = hyper::server::conn::http1::Builder::new()
        .serve_connection(hyper_util::rt::TokioIo::new(connection), service)
        .await;
    if let Err(e) = result {
        log::debug!("connection {number} failed: {e}");
    }
}

/// Builds a response with the content type `kind`.
///
/// # Panics
///
/// Panics if `kind` is not a valid header value.
pub fn bytes(status: hyper::StatusCode, kind: &'static str, bytes: impl Into<Bytes>) -> Response {
    let body = http_body_util::Full::new(bytes.into()).map_err(|never| match never {});
    hyper::Response::builder()
        .status(status)
        .header(hyper::header::CONTENT_TYPE, kind)
        .body(body.boxed_unsync())
        .expect("a fixed header is valid")
}

/// Builds a response with a JSON body.
///
/// # Panics
///
/// Panics if the value can't be written as JSON.
pub fn json<T: serde::Serialize>(status: hyper::StatusCode, value: &T) -> Response {
    let text = serde_json::to_vec(value).expect("response value serialises to JSON");
    bytes(status, "application/json", text)
}

/// A request that failed, with the status and the message of the response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Failure {
    status: hyper::StatusCode,
    message: String,
}

impl Failure {
    pub fn new(status: hyper::StatusCode, message: impl ToString) -> Self {
        let message = message.to_string();
        Self { status, message }
    }

    /// Returns the 404 for a path that has no handler.
    pub fn unknown_path() -> Self {
        Self::new(hyper::StatusCode::NOT_FOUND, "unknown path")
    }

    /// Builds the response, whose JSON body has the message in the field `error`.
    pub fn to_response(&self) -> Response {
        let body = ErrorBody {
            error: &self.message,
        };
        json(self.status, &body)
    }
}

#[derive(serde::Serialize)]
struct ErrorBody<'a> {
    error: &'a str,
}

/// Reads a whole request body.
///
/// # Errors
///
/// Fails with 413 if the body is larger than [`MAX_BODY_BYTES`], and with 400 if it is truncated
/// or malformed.
pub async fn read_body(mut body: body::Incoming) -> Result<Bytes, Failure> {
    let mut kept = Vec::new();
    let mut size = 0;
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|e| Failure::new(hyper::StatusCode::BAD_REQUEST, e))?;
        let data = frame.into_data().unwrap_or_default();
        size += data.len();
        if size <= MAX_BODY_BYTES {
            kept.extend_from_slice(&data);
        }
        if size > MAX_DRAINED_BYTES {
            break;
        }
    }
    if size > MAX_BODY_BYTES {
        let message = format!("the body is larger than {MAX_BODY_BYTES} bytes");
        return Err(Failure::new(hyper::StatusCode::PAYLOAD_TOO_LARGE, message));
    }
    Ok(kept.into())
}

/// Reads a request body and decodes it as JSON.
///
/// # Errors
///
/// Fails like [`read_body`], and with 400 if the body does not decode as `T`.
pub async fn read_json<T: serde::de::DeserializeOwned>(body: body::Incoming) -> Result<T, Failure> {
    let bytes = read_body(body).await?;
    serde_json::from_slice(&bytes)
        .map_err(|e| Failure::new(hyper::StatusCode::BAD_REQUEST, format!("invalid body: {e}")))
}

/// Returns the first value of a query parameter, without percent-decoding.
pub fn query<'a>(req: &'a Request, name: &str) -> Option<&'a str> {
    let pairs = req.uri().query()?.split('&');
    pairs
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .map(|(_, value)| value)
}
