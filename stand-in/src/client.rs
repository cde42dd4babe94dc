//! A small HTTP/1.1 client, one connection at a time.

use std::net;

use bytes::Bytes;
use http_body_util::BodyExt as _;
use hyper::body;
use hyper::client::conn::http1;

/// The body of a request.
pub type Body = http_body_util::Full<Bytes>;

/// One connection; it ends when this is dropped.
#[derive(Debug)]
pub struct Connection {
    sender: http1::SendRequest<Body>,
    driver: tokio::task::JoinSet<()>,
    authority: String,
}

/// A whole answer.
#[derive(Clone, Debug)]
pub struct Answer {
    /// The status.
    pub status: hyper::StatusCode,
    /// The headers.
    pub headers: hyper::HeaderMap,
    /// The body.
    pub body: Bytes,
}

impl Answer {
    /// Reads the body as JSON.
    ///
    /// # Errors
    ///
    /// Says where the body does not fit the type.
    pub fn json<T: serde::de::DeserializeOwned>(&self) -> buckthorncleat::Result<T> {
        serde_json::from_slice(&self.body).map_err(|e| {
            let text = String::from_utf8_lossy(&self.body);
            buckthorncleat::Error::bad_value("answer", text, e.to_string())
        })
    }
}

impl Connection {
    /// Connects.
    ///
    /// # Errors
    ///
    /// Says which address can't be reached.
    pub async fn open(address: net::SocketAddr) -> buckthorncleat::Result<Self> {
        let stream = tokio::net::TcpStream::connect(address)
            .await
            .map_err(|e| buckthorncleat::Error::io(format!("connect to {address}"), e))?;
        let _ = stream.set_nodelay(true);
        let (sender, connection) = http1::handshake(hyper_util::rt::TokioIo::new(stream))
            .await
            .map_err(failed)?;
        let mut driver = tokio::task::JoinSet::new();
        driver.spawn(async move {
            let _ = connection.await;
        });
        Ok(Self {
            sender,
            driver,
            authority: address.to_string(),
        })
    }

    /// Sends a request and returns the answer once its head is there.
    ///
    /// # Errors
    ///
    /// If the connection breaks.
    ///
    /// # Panics
    ///
    /// Panics if the server's address is not a valid header value.
    pub async fn send(
        &mut self,
        mut req: hyper::Request<Body>,
    ) -> buckthorncleat::Result<hyper::Response<body::Incoming>> {
        let host = self
            .authority
            .parse()
            .expect("an address is a header value");
        req.headers_mut().insert(hyper::header::HOST, host);
        self.sender.ready().await.map_err(failed)?;
        self.sender.send_request(req).await.map_err(failed)
    }

    /// Sends a request and reads the whole answer.
    ///
    /// # Errors
    ///
    /// If the connection breaks.
    pub async fn ask(&mut self, req: hyper::Request<Body>) -> buckthorncleat::Result<Answer> {
        let (head, body) = self.send(req).await?.into_parts();
        let body = body.collect().await.map_err(failed)?.to_bytes();
        Ok(Answer {
            status: head.status,
            headers: head.headers,
            body,
        })
    }

    /// Ends the connection and waits for its task.
    pub async fn close(mut self) {
        self.driver.shutdown().await;
    }
}

/// Asks once over a new connection.
///
/// # Errors
///
/// If the address can't be reached or the connection breaks.
pub async fn ask(
    address: net::SocketAddr,
    req: hyper::Request<Body>,
) -> buckthorncleat::Result<Answer> {
    let mut connection = Connection::open(address).await?;
    let answer = connection.ask(req).await;
    connection.close().await;
    answer
}

/// Makes a request without a body.
///
/// # Panics
///
/// If the path is not a valid URI.
pub fn request(method: hyper::Method, path: &str) -> hyper::Request<Body> {
    hyper::Request::builder()
        .method(method)
        .uri(path)
        .body(Body::default())
        .expect("a valid path")
}

/// Makes a `POST` request with a JSON body.
///
/// # Panics
///
/// If the path is not a valid URI.
pub fn post<T: serde::Serialize>(path: &str, value: &T) -> hyper::Request<Body> {
    let body = serde_json::to_vec(value).expect("requests are plain data");
    hyper::Request::builder()
        .method(hyper::Method::POST)
        .uri(path)
        .header(hyper::header::CONTENT_TYPE, "application/json")
        .body(Body::new(body.into()))
        .expect("a valid path")
}

fn failed(e: hyper::Error) -> buckthorncleat::Error {
    buckthorncleat::Error::io("talk HTTP", std::io::Error::other(e))
}
