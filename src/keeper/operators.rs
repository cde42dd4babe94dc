//! Serves operators' calls: replace the document, read the newest one, evacuate data centres.

use std::net;
use std::sync;

use http_body_util::BodyExt as _;
use hyper::body as hyper_body;
use hyper::header;

use crate::document;
use crate::error;
use crate::http::body;
use crate::id;
use crate::keeper::aggregator;
use crate::keeper::evacuations;
use crate::keeper::quarantine;
use crate::replica::group;
use crate::router::http_server;
use crate::router::protocol;
use crate::router::request;
use crate::state::command;

/// Size limit of a document that an operator sends.
const MAX_DOCUMENT_BYTES: usize = 16 << 20;

/// Answers operators' calls.
pub struct Operators {
    pub group: group::Group,
    /// Decodes operators' calls and documents.
    pub codec: sync::Arc<dyn protocol::Codec>,
    /// Address on which this member listens for operators; the other members use the same port.
    pub address: net::SocketAddr,
    /// Knows which routers report.
    pub aggregator: sync::Arc<aggregator::Aggregator>,
}

impl http_server::Handler for Operators {
    async fn handle(
        self: sync::Arc<Self>,
        req: hyper::Request<hyper_body::Incoming>,
    ) -> request::Response {
        let path = req.uri().path().to_owned();
        match self.codec.read_operator_call(req.method(), &path) {
            Some(protocol::OperatorCall::Replace) => self.replace(req, &path).await,
            Some(protocol::OperatorCall::Read) => self.read(&path).await,
            Some(protocol::OperatorCall::StartEvacuation(data_centre)) => {
                let action = evacuations::Action::Start;
                self.evacuate(action, &data_centre, &path).await
            }
            Some(protocol::OperatorCall::FinishEvacuation(data_centre)) => {
                let action = evacuations::Action::Finish;
                self.evacuate(action, &data_centre, &path).await
            }
            None => self.handle_tool(req.method(), &path).await,
        }
    }
}

impl Operators {
    /// Answers a call of the operators' tool.
    async fn handle_tool(&self, method: &hyper::Method, path: &str) -> request::Response {
        if let Some(answer) = quarantine::handle(&self.group, method, path).await {
            return answer;
        }
        let (group, aggregator) = (&self.group, &self.aggregator);
        let answer = evacuations::handle(group, aggregator, &*self.codec, method, path).await;
        answer.unwrap_or_else(|| {
            let reason = "no such call: unknown method or path";
            body::answer(hyper::StatusCode::NOT_FOUND, reason)
        })
    }

    async fn evacuate(
        &self,
        action: evacuations::Action,
        data_centre: &id::DataCentre,
        path: &str,
    ) -> request::Response {
        match evacuations::change(&self.group, action, data_centre).await {
            evacuations::Outcome::NotLeader => {
                evacuations::mark_busy(&*self.codec, self.redirect(path))
            }
            outcome => outcome.to_response(&*self.codec),
        }
    }

    async fn replace(
        &self,
        req: hyper::Request<hyper_body::Incoming>,
        path: &str,
    ) -> request::Response {
        let bounded_body = http_body_util::Limited::new(req.into_body(), MAX_DOCUMENT_BYTES);
        let document_bytes = match bounded_body.collect().await {
            Ok(collected) => collected.to_bytes(),
            Err(e) if e.is::<http_body_util::LengthLimitError>() => {
                return body::answer(
                    hyper::StatusCode::PAYLOAD_TOO_LARGE,
                    "document too large: at most 16 MiB are accepted",
                );
            }
            Err(_) => {
                return body::answer(
                    hyper::StatusCode::BAD_REQUEST,
                    "the connection broke before the whole document arrived; send it again",
                );
            }
        };
        let packed = match self.validate(&document_bytes) {
            Ok(packed) => packed,
            Err(e) => {
                log::info!(event = "document_refused", reason = e.to_string(); "an operator's document is not valid; refusing it");
                return body::answer(hyper::StatusCode::BAD_REQUEST, e.to_string());
            }
        };
        let version = packed.version;
        let current_version = self.group.with_state(|s| s.document().map(|d| d.version));
        if current_version >= Some(version) {
            // What was applied here is committed, so this version can't come into force any more.
            self.log_put(version, "overtaken");
            return body::answer(hyper::StatusCode::OK, "");
        }
        let command = command::Command::PutDocument(packed);
        match self.group.submit(&command).await {
            Ok(group::Outcome::Applied(_)) => {
                self.log_put(version, "committed");
                body::answer(hyper::StatusCode::OK, "")
            }
            Ok(group::Outcome::NotLeader(_)) => self.redirect(path),
            Ok(group::Outcome::Uncertain) => {
                self.log_put(version, "uncertain");
                body::answer(
                    hyper::StatusCode::GATEWAY_TIMEOUT,
                    "not committed in time; it may be committed later: send the document again",
                )
            }
            Ok(_) => body::answer(
                hyper::StatusCode::SERVICE_UNAVAILABLE,
                "another change is in progress; try again",
            ),
            Err(e) => body::answer(hyper::StatusCode::PAYLOAD_TOO_LARGE, e.to_string()),
        }
    }

    fn validate(&self, document_bytes: &[u8]) -> error::Result<document::Packed> {
        let document = self.codec.read_document(document_bytes)?;
        document.check()?;
        document::Packed::from_plain(document.version, document_bytes)
    }

    fn log_put(&self, version: document::DocumentVersion, outcome: &str) {
        log::info!(event = "document_put", version = version.as_u64(), outcome = outcome; "an operator's document was processed");
    }

    async fn read(&self, path: &str) -> request::Response {
        if self.group.watch().borrow().leads.is_none() {
            return self.redirect(path);
        }
        if let Err(e) = self.group.ensure_linearizable().await {
            return body::answer(hyper::StatusCode::SERVICE_UNAVAILABLE, e.to_string());
        }
        let Some(packed) = self.group.with_state(|s| s.document().cloned()) else {
            return body::answer(
                hyper::StatusCode::SERVICE_UNAVAILABLE,
                "no document has been committed yet; send one",
            );
        };
        match packed.to_plain() {
            Ok(document_bytes) => body::json(document_bytes),
            Err(e) => body::answer(hyper::StatusCode::INTERNAL_SERVER_ERROR, e.to_string()),
        }
    }

    /// Redirects an operator to the leader.
    fn redirect(&self, path: &str) -> request::Response {
        let leader = self.group.status().leader_peer();
        let address =
            leader.map(|l| net::SocketAddr::new(l.peer_address.ip(), self.address.port()));
        let location = address
            .filter(|a| *a != self.address)
            .and_then(|a| header::HeaderValue::try_from(format!("http://{a}{path}")).ok());
        let Some(location) = location else {
            return body::answer(
                hyper::StatusCode::SERVICE_UNAVAILABLE,
                "no leader of the control group is known; try again later",
            );
        };
        let mut response = body::answer(hyper::StatusCode::TEMPORARY_REDIRECT, "");
        response.headers_mut().insert(header::LOCATION, location);
        response
    }
}
