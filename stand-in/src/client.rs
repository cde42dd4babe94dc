//! A minimal HTTP/1.1 client that uses one connection for one request at a time.

use std::net;

use bytes::Bytes;
use http_body_util::BodyExt as _;
use hyper::body;
use hyper::client::conn::http1;

/// A request body.
pub type Body = http_body_util::Full<Bytes>;

/// A client connection, which is closed when this is dropped.
#[derive(Debug)]
pub struct Connection {
    sender: http1::SendRequest<Body>,
    driver: tokio::task::JoinSet<()>,
    authority: String,
}

/// A response whose body has been read completely.
#[derive(Clone, Debug)]
pub struct Answer {
    pub status: hyper::StatusCode,
    pub headers: hyper::HeaderMap,
    pub body: Bytes,
}

impl Answer {
    /// Decodes the body as JSON.
    ///
    /// # Errors
    ///
    /// Returns an error with the body and the parser's message if the body does not decode as `T`.
    pub fn json<T: serde::de::DeserializeOwned>(&self) -> buckthorncleat::Result<T> {
        serde_json::from_slice(&self.body).map_err(|e| {
            let text = String::from_utf8_lossy(&self.body);
            buckthorncleat::Error::bad_value("answer", text, e.to_string())
        })
    }
}

impl Connection {
    /// Connects to the address.
    ///
    /// # Errors
    ///
    /// Returns an error that names the address if it can't be reached.
    pub async fn open(address: net::SocketAddr) -> buckthorncleat::Result<Self> {
        let stream = tokio::net::TcpStream::connect(address)
            .await
            .map_err(|e| buckthorncleat::Error::io(format!("connect to {address}"), e))?;
        let _ = stream.set_nodelay(true);
        let (sender, connection) = http1::handshake(hyper_util::rt::TokioIo::new(stream))
            .await
            .map_err(http_error)?;
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

    /// Sends a request and returns the response once its head has arrived; the body is not read.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection fails.
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
        self.sender.ready().await.map_err(http_error)?;
        self.sender.send_request(req).await.map_err(http_error)
    }

    /// Sends a request and reads the whole response.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection fails.
    pub async fn ask(&mut self, req: hyper::Request<Body>) -> buckthorncleat::Result<Answer> {
        let (head, body) = self.send(req).await?.into_parts();
        let body = body.collect().await.map_err(http_error)?.to_bytes();
        Ok(Answer {
            status: head.status,
            headers: head.headers,
            body,
        })
    }

    /// Closes the connection and waits for its task to end.
    pub async fn close(mut self) {
        self.driver.shutdown().await;
    }
}

/// Sends one request over a new connection and reads the whole response.
///
/// # Errors
///
/// Returns an error if the address can't be reached or the connection fails.
pub async fn ask(
    address: net::SocketAddr,
    req: hyper::Request<Body>,
) -> buckthorncleat::Result<Answer> {
    let mut connection = Connection::open(address).await?;
    let answer = connection.ask(req).await;
    connection.close().await;
    answer
}

/// Builds a request without a body.
///
/// # Panics
///
/// Panics if the path is not a valid URI.
pub fn request(method: hyper::Method, path: &str) -> hyper::Request<Body> {
    hyper::Request::builder()
        .method(method)
        .uri(path)
        .body(Body::default())
        .expect("a valid path")
}

/// Builds a `POST` request with a JSON body.
///
/// # Panics
///
/// Panics if the path is not a valid URI or `value` can't be written as JSON.
pub fn post<T: serde::Serialize>(path: &str, value: &T) -> hyper::Request<Body> {
    let body = serde_json::to_vec(value).expect("request value serialises to JSON");
    hyper::Request::builder()
        .method(hyper::Method::POST)
        .uri(path)
        .header(hyper::header::CONTENT_TYPE, "application/json")
        .body(Body::new(body.into()))
        .expect("a valid path")
}

fn http_error(e: hyper::Error) -> buckthorncleat::Error {
    buckthorncleat::Error::io("exchange HTTP messages", std::io::Error::other(e))
}
