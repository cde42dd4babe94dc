//! Speaks to control members and gateways over HTTP.

use std::net;

use bytes::Bytes;
use http_body_util::BodyExt as _;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::Method;
use hyper::StatusCode;
use hyper::client::conn::http1;
use hyper::header;
use hyper_util::rt;
use serde::de;
use tokio::net as tcp;
use tokio::time;

use crate::cli::failure;
use crate::clock;
use crate::config::settings;
use crate::error;
use crate::http::admin::wire;
use crate::http::admin::write;
use crate::id;

/// The longest time for one try at one member.
const TRY_TIMEOUT: clock::Millis = clock::Millis::from_secs(3);

/// The pause after all members were tried in vain.
const ROUND_PAUSE: clock::Millis = clock::Millis::new(100);

/// The largest answer, in bytes.
const MAX_ANSWER_BYTES: usize = 64 << 20;

/// A change to send, the same at every try.
#[derive(Clone, Debug)]
pub struct Write {
    /// The method.
    pub method: Method,
    /// The path.
    pub path: String,
    /// The JSON body, empty for none.
    pub body: Vec<u8>,
    /// The name of the request.
    pub operation: id::OperationId,
    /// The revision that must still be in force.
    pub expected: Option<id::Revision>,
}

/// Finds the leader among the control members and speaks to it.
#[derive(Debug)]
pub struct Client {
    cfg: settings::Operator,
    token: String,
}

/// An answer with its body.
#[derive(Clone, Debug)]
pub struct Answer {
    /// The status.
    pub status: StatusCode,
    /// The body.
    pub body: Bytes,
}

impl Client {
    /// Makes a client.
    pub fn new(cfg: settings::Operator, token: String) -> Self {
        Self { cfg, token }
    }

    /// Returns the settings.
    pub fn settings(&self) -> &settings::Operator {
        &self.cfg
    }

    /// Reads from the leader.
    ///
    /// # Errors
    ///
    /// Fails when the request is refused or no member answered in time.
    pub async fn read<T: de::DeserializeOwned>(&self, path: &str) -> failure::Result<T> {
        let make = || self.request(Method::GET, path).body(Full::default());
        decode(&self.ask_leader(make).await?)
    }

    /// Sends a change to the leader, again under the same name until an answer comes.
    ///
    /// # Errors
    ///
    /// Fails when the change is refused or no member answered in time; it may then have been made.
    pub async fn write(&self, write: &Write) -> failure::Result<id::Revision> {
        let make = || {
            let mut req = self
                .request(write.method.clone(), &write.path)
                .header(write::OPERATION_ID, write.operation.as_str())
                .header(header::CONTENT_TYPE, "application/json");
            if let Some(expected) = write.expected {
                req = req.header(header::IF_MATCH, format!("\"{expected}\""));
            }
            req.body(Full::from(write.body.clone()))
        };
        let answer = self.ask_leader(make).await.map_err(|e| e.of(write))?;
        let written: wire::Written = decode(&answer)?;
        Ok(written.revision)
    }

    /// Reads from one control member, whether it leads or not.
    ///
    /// # Errors
    ///
    /// Fails when the request is refused or the member does not answer in time.
    pub async fn read_at<T: de::DeserializeOwned>(
        &self,
        address: net::SocketAddr,
        path: &str,
    ) -> failure::Result<T> {
        let req = self.request(Method::GET, path).body(Full::default());
        let answer = exchange(address, req.map_err(bad_request)?).await?;
        decode(&accepted(answer)?)
    }

    async fn ask_leader(
        &self,
        make: impl Fn() -> hyper::http::Result<hyper::Request<Full<Bytes>>>,
    ) -> failure::Result<Answer> {
        let started = time::Instant::now();
        let mut last = error::Error::unavailable("no member was tried", ROUND_PAUSE);
        while started.elapsed() < self.cfg.timeout_ms.as_duration() {
            for address in &self.cfg.admin {
                let req = make().map_err(bad_request)?;
                match exchange(*address, req).await {
                    Ok(answer) if answer.status == StatusCode::SERVICE_UNAVAILABLE => {
                        last = unavailable(*address, &answer);
                    }
                    Ok(answer) => return accepted(answer),
                    Err(e) => last = e,
                }
            }
            time::sleep(ROUND_PAUSE.as_duration()).await;
        }
        Err(last.into())
    }

    fn request(&self, method: Method, path: &str) -> hyper::http::request::Builder {
        hyper::Request::builder()
            .method(method)
            .uri(path)
            .header(header::AUTHORIZATION, format!("Bearer {}", self.token))
    }
}

/// Sends a request without a token, such as to a gateway's status address.
///
/// # Errors
///
/// Fails when the request is refused or no answer comes in time.
pub async fn send(method: Method, address: net::SocketAddr, path: &str) -> failure::Result<Answer> {
    let req = hyper::Request::builder().method(method).uri(path);
    let req = req.body(Full::default()).map_err(bad_request)?;
    accepted(exchange(address, req).await?)
}

/// Decodes the JSON of an answer.
///
/// # Errors
///
/// Fails when it has another shape.
pub fn decode<T: de::DeserializeOwned>(answer: &Answer) -> failure::Result<T> {
    serde_json::from_slice(&answer.body).map_err(|e| {
        let remedy = "use the tool and the daemons of one version";
        error::Error::damaged(format!("answer: {e}"), remedy).into()
    })
}

async fn exchange(
    address: net::SocketAddr,
    mut req: hyper::Request<Full<Bytes>>,
) -> error::Result<Answer> {
    if let Ok(host) = header::HeaderValue::from_str(&address.to_string()) {
        req.headers_mut().insert(header::HOST, host);
    }
    let close = header::HeaderValue::from_static("close");
    req.headers_mut().insert(header::CONNECTION, close);
    let limit = TRY_TIMEOUT.as_duration();
    match time::timeout(limit, exchange_once(address, req)).await {
        Ok(Ok(answer)) => Ok(answer),
        Ok(Err(e)) => Err(unreachable(address, &e.to_string())),
        Err(_) => Err(unreachable(address, "no answer in time")),
    }
}

async fn exchange_once(
    address: net::SocketAddr,
    req: hyper::Request<Full<Bytes>>,
) -> Result<Answer, Box<dyn std::error::Error + Send + Sync>> {
    let stream = tcp::TcpStream::connect(address).await?;
    let (mut sender, connection) = http1::handshake(rt::TokioIo::new(stream)).await?;
    let answer = async move {
        let (head, body) = sender.send_request(req).await?.into_parts();
        let body = Limited::new(body, MAX_ANSWER_BYTES).collect().await?;
        Ok(Answer {
            status: head.status,
            body: body.to_bytes(),
        })
    };
    // The answer tells whether the exchange went well; an error of the connection shows there.
    let (answer, _) = tokio::join!(answer, connection);
    answer
}

fn accepted(answer: Answer) -> failure::Result<Answer> {
    if answer.status.is_success() {
        return Ok(answer);
    }
    Err(failure::Failure::from_answer(&answer))
}

fn unavailable(address: net::SocketAddr, answer: &Answer) -> error::Error {
    let problem: Option<wire::Problem> = serde_json::from_slice(&answer.body).ok();
    let reason = problem.map_or_else(|| "not leading".to_owned(), |p| p.message);
    unreachable(address, &reason)
}

fn unreachable(address: net::SocketAddr, reason: &str) -> error::Error {
    error::Error::unavailable(format!("{address}: {reason}"), clock::Millis::from_secs(1))
}

fn bad_request(e: hyper::http::Error) -> failure::Failure {
    error::Error::bad_value("request", e, "use names and values that HTTP can carry").into()
}
