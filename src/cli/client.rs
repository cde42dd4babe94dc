//! The HTTP client for control members and gateways.

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

/// The longest time to wait for the answer of one member to one attempt.
const ATTEMPT_TIMEOUT: clock::Millis = clock::Millis::from_secs(3);

/// The delay before the members are tried again, after none of them gave an answer.
const ROUND_DELAY: clock::Millis = clock::Millis::new(100);

/// The largest answer body that is read, in bytes.
const MAX_ANSWER_BYTES: usize = 64 << 20;

/// A request that changes something, the same at each attempt.
#[derive(Clone, Debug)]
pub struct Write {
    pub method: Method,
    pub path: String,
    /// The JSON body; empty if there is none.
    pub body: Vec<u8>,
    /// The name of the request, by which the control group recognises a resend.
    pub operation: id::OperationId,
    /// The revision at which the configuration must still be; `None` for any.
    pub expected_revision: Option<id::Revision>,
}

/// A client that finds the leader among the control members and sends it requests.
#[derive(Debug)]
pub struct Client {
    cfg: settings::Operator,
    token: String,
}

/// An HTTP response with its whole body.
#[derive(Clone, Debug)]
pub struct Answer {
    pub status: StatusCode,
    pub body: Bytes,
}

impl Client {
    pub fn new(cfg: settings::Operator, token: String) -> Self {
        Self { cfg, token }
    }

    pub fn settings(&self) -> &settings::Operator {
        &self.cfg
    }

    /// Sends a GET request to the leader and decodes the answer.
    ///
    /// # Errors
    ///
    /// Fails if the request is refused or no member answers within the timeout of the settings.
    pub async fn read<T: de::DeserializeOwned>(&self, path: &str) -> failure::Result<T> {
        let build = || self.request(Method::GET, path).body(Full::default());
        decode(&self.send_to_leader(build).await?)
    }

    /// Sends a change to the leader, and resends it under the same name until an answer comes.
    ///
    /// Returns the revision that the change created.
    ///
    /// # Errors
    ///
    /// Fails if the change is refused, or if no member answers within the timeout of the settings;
    /// the change may then have been made.
    pub async fn write(&self, write: &Write) -> failure::Result<id::Revision> {
        let build = || {
            let mut req = self
                .request(write.method.clone(), &write.path)
                .header(write::OPERATION_ID, write.operation.as_str())
                .header(header::CONTENT_TYPE, "application/json");
            if let Some(expected_revision) = write.expected_revision {
                req = req.header(header::IF_MATCH, format!("\"{expected_revision}\""));
            }
            req.body(Full::from(write.body.clone()))
        };
        let answer = self
            .send_to_leader(build)
            .await
            .map_err(|e| e.with_resend_hint(write))?;
        let written: wire::Written = decode(&answer)?;
        Ok(written.revision)
    }

    /// Sends a GET request to one control member, which need not lead, and decodes the answer.
    ///
    /// # Errors
    ///
    /// Fails if the request is refused or the member does not answer in time.
    pub async fn read_at<T: de::DeserializeOwned>(
        &self,
        address: net::SocketAddr,
        path: &str,
    ) -> failure::Result<T> {
        let req = self.request(Method::GET, path).body(Full::default());
        let answer = exchange(address, req.map_err(bad_request)?).await?;
        decode(&check_status(answer)?)
    }

    /// Sends a request to each member in turn until one gives an answer other than 503.
    async fn send_to_leader(
        &self,
        build: impl Fn() -> hyper::http::Result<hyper::Request<Full<Bytes>>>,
    ) -> failure::Result<Answer> {
        let started = time::Instant::now();
        let mut last =
            error::Error::unavailable("no member was tried within the timeout", ROUND_DELAY);
        while started.elapsed() < self.cfg.timeout_ms.as_duration() {
            for address in &self.cfg.admin {
                let req = build().map_err(bad_request)?;
                match exchange(*address, req).await {
                    Ok(answer) if answer.status == StatusCode::SERVICE_UNAVAILABLE => {
                        last = unavailable(*address, &answer);
                    }
                    Ok(answer) => return check_status(answer),
                    Err(e) => last = e,
                }
            }
            time::sleep(ROUND_DELAY.as_duration()).await;
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

/// Sends a request without a token, for the status address of a gateway.
///
/// # Errors
///
/// Fails if the request is refused or no answer comes in time.
pub async fn send(method: Method, address: net::SocketAddr, path: &str) -> failure::Result<Answer> {
    let req = hyper::Request::builder().method(method).uri(path);
    let req = req.body(Full::default()).map_err(bad_request)?;
    check_status(exchange(address, req).await?)
}

/// Decodes the JSON body of an answer.
///
/// # Errors
///
/// Fails if the body is not valid JSON of the type.
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
    let limit = ATTEMPT_TIMEOUT.as_duration();
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
    // An error of the connection also fails the answer, so its own result is not needed.
    let (answer, _) = tokio::join!(answer, connection);
    answer
}

/// Returns the answer if its status is a success, and otherwise the refusal that it carries.
fn check_status(answer: Answer) -> failure::Result<Answer> {
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
