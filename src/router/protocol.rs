//! The messages of a platform's callers, servers and operators, which an adapter encodes and
//! decodes for the router and the keeper.

use std::net;

use bytes::Bytes;
use hyper::header;

use crate::clock;
use crate::document;
use crate::error;
use crate::fleet::message;
use crate::id;
use crate::state::model;
use crate::unit;

/// Encodes and decodes the messages of one platform.
pub trait Codec: Send + Sync + 'static {
    /// Decodes the headers of a caller's request.
    ///
    /// # Errors
    ///
    /// Fails when a header value can't be decoded.
    fn read_caller(&self, headers: &header::HeaderMap) -> error::Result<CallerHead>;

    /// Turns a caller's headers into those for a server; removes those that only the router may
    /// set.
    fn write_server_head(&self, headers: &mut header::HeaderMap, head: &ServerHead<'_>);

    /// Decodes the head of a server's answer.
    fn read_server_head(
        &self,
        status: hyper::StatusCode,
        headers: &header::HeaderMap,
    ) -> ServerAnswer;

    /// Decodes a prefill server's answer.
    ///
    /// # Errors
    ///
    /// Fails when the answer can't be decoded.
    fn read_export(&self, body: &[u8]) -> error::Result<Export>;

    /// Encodes the call that reserves capacity at a server.
    fn write_reserve(&self, tokens: unit::Tokens, ttl: clock::Millis) -> ServerCall;

    /// Decodes the answer to a reservation call.
    ///
    /// # Errors
    ///
    /// Fails when the answer can't be decoded.
    fn read_reservation(&self, body: &[u8]) -> error::Result<Reservation>;

    /// Encodes the call that releases a reservation.
    fn write_release(&self, reservation: &Reservation) -> ServerCall;

    /// Marks a call as meant for one incarnation of a server.
    fn write_expected_server(&self, headers: &mut header::HeaderMap, server: &id::BackendServerId);

    /// Sets the header that says after which time a refused caller should send again.
    fn write_retry_after(&self, headers: &mut header::HeaderMap, retry_after: clock::Millis);

    /// Decodes a document.
    ///
    /// # Errors
    ///
    /// Fails when the document can't be decoded; the error names the field.
    fn read_document(&self, plain: &[u8]) -> error::Result<document::Document>;

    /// Returns the path and query of a page of the platform's server list; `None` is the first
    /// page.
    fn list_path(&self, page: Option<&str>) -> String;

    /// Decodes a page of the platform's server list. Entries that can't be decoded are left out and
    /// counted.
    ///
    /// # Errors
    ///
    /// Fails when the page as a whole can't be decoded.
    fn read_list(&self, body: &[u8]) -> error::Result<ListPage>;

    /// Returns the path of the platform's readiness probe.
    fn ready_path(&self) -> &'static str;

    /// Returns the path at which callers ask for gateway addresses.
    fn entry_path(&self) -> &'static str;

    /// Encodes the answer with gateway addresses and the time for which it may be cached.
    fn write_entries(&self, addresses: &[net::SocketAddr], ttl: clock::Millis) -> Bytes;

    /// Decodes an operator's call; `None` for an unknown method or path.
    fn read_operator_call(&self, method: &hyper::Method, path: &str) -> Option<OperatorCall>;
}

/// A call of an operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OperatorCall {
    /// Replaces the document.
    Replace,
    /// Returns the newest document.
    Read,
    /// Asks that nothing more be sent to the servers of a data centre.
    StartEvacuation(id::DataCentre),
    /// Withdraws that.
    FinishEvacuation(id::DataCentre),
}

/// What the headers of a caller's request say.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CallerHead {
    /// The caller's id of the request.
    pub request_id: Option<String>,
    /// Longest time that the caller waits for an answer.
    pub max_wait: Option<clock::Millis>,
    /// The secret of the caller's API key.
    pub key: Option<String>,
    /// Size of the generation; `None` for a request that generates nothing.
    pub generation: Option<Generation>,
    /// Id of the last event that the caller has from an earlier attempt.
    pub resume_after: Option<u64>,
    /// The request id of the attempt that brought the first event of the stream that is resumed.
    pub resumes: Option<String>,
    /// The parts of the prompt that requests may have in common, in order; empty when it has none.
    pub parts: Vec<model::Fingerprint>,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Generation {
    /// Number of tokens of the prompt.
    pub prompt: unit::Tokens,
    /// Limit of the generated tokens; 0 for no limit.
    pub max_output: unit::Tokens,
    /// The caller's estimate of the generated tokens.
    pub expected_output: Option<unit::Tokens>,
}

/// What a server is told in addition to the caller's own request.
#[derive(Clone, Copy, Debug)]
pub struct ServerHead<'a> {
    /// Time until the deadline of the request.
    pub time_left: clock::Millis,
    /// The incarnation of the server that the request is meant for.
    pub server: &'a id::BackendServerId,
    /// The account that is charged.
    pub account: Option<&'a id::ClientAccountId>,
    /// Id of the last event that was delivered.
    pub resume_after: Option<u64>,
    pub work: Work<'a>,
    /// Priority of the request, from 0 (first) to 9; servers take 5 without one.
    pub priority: Option<u8>,
    /// The reservation that the request uses.
    pub reservation: Option<&'a Reservation>,
}

/// A call to a server that is not a caller's request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerCall {
    pub method: hyper::Method,
    pub path: String,
    /// JSON body.
    pub body: Bytes,
}

/// Capacity that a server keeps for one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reservation {
    /// Identifier that the server issued.
    pub handle: String,
}

/// What a server does with a request.
#[derive(Clone, Copy, Debug)]
pub enum Work<'a> {
    /// Serves the whole request.
    Run,
    /// Runs only the prefill and keeps the KV cache for a decode server.
    Prefill,
    /// Fetches the KV cache of the prompt from a prefill server, then generates.
    Decode {
        /// Address of the prefill server.
        from: net::SocketAddr,
        /// The KV cache at that server.
        export: &'a Export,
    },
}

/// A KV cache that a prefill server keeps for a decode server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Export {
    /// Identifier that the server issued.
    pub handle: String,
}

/// What the head of a server's answer says about the request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerAnswer {
    /// Whether the request ran.
    pub execution: Execution,
    /// The request id in the answer, if it has one.
    pub request_id: Option<String>,
    /// Whether the server took the call on: neither refused it nor failed.
    pub accepted: bool,
    /// Whether the server says that it is leaving: it completes what it runs and wants nothing new.
    pub is_leaving: bool,
    /// For how long the server wants no calls from this router; `None` when it does not say.
    pub quiet: Option<clock::Millis>,
    /// What the server says of the calls that it takes from all routers together.
    pub limit: Limit,
}

/// A server's limit of calls from all routers together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Limit {
    /// The server names no limit, which ends one that it named before.
    Unlimited,
    Calls(unit::CallRate),
    /// The server names a limit that can't be decoded, which changes nothing.
    Unreadable,
}

/// Whether a server that answered ran the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Execution {
    /// It ran, or may have run.
    Ran,
    /// It did not run: the server takes no more work at present.
    NotRun,
    /// It did not run: another server has the address (status 421).
    Misdirected,
}

/// One page of the platform's server list.
#[derive(Clone, Debug, PartialEq)]
pub struct ListPage {
    pub servers: Vec<message::Server>,
    /// The servers that are cold, and for how much longer.
    pub cold: Vec<(id::BackendServerId, clock::Millis)>,
    /// Servers that entries within others name which could not be decoded. Such an entry may be a copy that
    /// is out of date or was never true, so its server is used only if it is known from elsewhere.
    pub enclosed: Vec<EnclosedServer>,
    /// Number of entries that could not be decoded.
    pub damaged: usize,
    /// Token of the next page; `None` on the last one.
    pub next: Option<String>,
}

/// A server that an entry names which stands within another one.
#[derive(Clone, Debug, PartialEq)]
pub struct EnclosedServer {
    pub server: message::Server,
    /// For how much longer it is cold; `None` when it is not.
    pub cold: Option<clock::Millis>,
}

/// Decodes a document as the replicated log stores it.
///
/// # Errors
///
/// Fails when the compressed content is damaged or the document can't be decoded.
pub fn read_packed(
    codec: &dyn Codec,
    packed: &document::Packed,
) -> error::Result<document::Document> {
    codec.read_document(&packed.to_plain()?)
}
