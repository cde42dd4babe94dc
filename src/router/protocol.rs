//! What an adapter must offer so that the router can serve its callers, servers and operators.

use std::net;

use bytes::Bytes;
use hyper::header;

use crate::clock;
use crate::document;
use crate::error;
use crate::fleet::message;
use crate::id;
use crate::unit;

/// How one platform's callers, servers, operators and list speak.
pub trait Codec: Send + Sync + 'static {
    /// Reads what a caller says of its request in the head.
    ///
    /// # Errors
    ///
    /// Fails when a value of the head can't be read.
    fn read_caller(&self, headers: &header::HeaderMap) -> error::Result<CallerHead>;

    /// Turns a caller's headers into those for a server.
    fn write_server_head(&self, headers: &mut header::HeaderMap, head: &ServerHead<'_>);

    /// Reads what a server says in the head of its answer.
    fn read_server_head(
        &self,
        status: hyper::StatusCode,
        headers: &header::HeaderMap,
    ) -> ServerAnswer;

    /// Reads the answer to a request whose prompt was read ahead.
    ///
    /// # Errors
    ///
    /// Fails when the answer can't be read.
    fn read_export(&self, body: &[u8]) -> error::Result<Export>;

    /// Makes the call that reserves room at a server.
    fn write_reserve(&self, tokens: unit::Tokens, ttl: clock::Millis) -> ServerCall;

    /// Reads the answer to a call that reserves room.
    ///
    /// # Errors
    ///
    /// Fails when the answer can't be read.
    fn read_reservation(&self, body: &[u8]) -> error::Result<Reservation>;

    /// Makes the call that gives reserved room back.
    fn write_release(&self, reservation: &Reservation) -> ServerCall;

    /// Marks a call as meant for one life of a server.
    fn write_expected_server(&self, headers: &mut header::HeaderMap, server: &id::BackendServerId);

    /// Writes when a caller should come back.
    fn write_retry_after(&self, headers: &mut header::HeaderMap, retry_after: clock::Millis);

    /// Reads a document.
    ///
    /// # Errors
    ///
    /// Names what can't be read.
    fn read_document(&self, plain: &[u8]) -> error::Result<document::Document>;

    /// Returns the path and query of a page of the platform's list.
    fn list_path(&self, page: Option<&str>) -> String;

    /// Reads a page of the platform's list; damaged entries are left out and counted.
    ///
    /// # Errors
    ///
    /// Fails when the page as a whole can't be read.
    fn read_list(&self, body: &[u8]) -> error::Result<ListPage>;

    /// Returns the path by which the platform asks whether this instance is ready.
    fn ready_path(&self) -> &'static str;

    /// Returns the path by which callers ask where to connect.
    fn entry_path(&self) -> &'static str;

    /// Writes the answer to a caller that asks where to connect.
    fn write_entries(&self, addresses: &[net::SocketAddr], ttl: clock::Millis) -> Bytes;

    /// Tells what an operator's call asks for.
    fn read_operator_call(&self, method: &hyper::Method, path: &str) -> Option<OperatorCall>;
}

/// What an operator asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OperatorCall {
    /// Replace the document.
    Replace,
    /// Return the newest document.
    Read,
}

/// What a caller says of its request.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CallerHead {
    /// The caller's name of the request.
    pub request_id: Option<String>,
    /// How long the caller waits.
    pub max_wait: Option<clock::Millis>,
    /// The secret of the caller's key.
    pub key: Option<String>,
    /// What is to be generated, if anything is.
    pub generation: Option<Generation>,
    /// The last event that the caller has of an earlier run.
    pub resume_after: Option<u64>,
}

/// The size of a generation.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Generation {
    /// The tokens of the prompt.
    pub prompt: unit::Tokens,
    /// The most tokens that may be generated.
    pub max_output: unit::Tokens,
    /// The caller's estimate of the tokens that will be generated.
    pub expected_output: Option<unit::Tokens>,
}

/// What a server is told beside the caller's own request.
#[derive(Clone, Copy, Debug)]
pub struct ServerHead<'a> {
    /// The time that is left.
    pub time_left: clock::Millis,
    /// The life of the server for which the request is meant.
    pub server: &'a id::BackendServerId,
    /// The account of the caller.
    pub account: Option<&'a id::ClientAccountId>,
    /// The last event that was delivered.
    pub resume_after: Option<u64>,
    /// What the server is to do.
    pub work: Work<'a>,
    /// The rank of the request, up to 9; 0 goes first, and without one servers take 5.
    pub priority: Option<u8>,
    /// The room that was reserved for it.
    pub reservation: Option<&'a Reservation>,
}

/// A call to a server beside callers' requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerCall {
    /// The method.
    pub method: hyper::Method,
    /// The path.
    pub path: String,
    /// The body, in JSON.
    pub body: Bytes,
}

/// Room that a server keeps for one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reservation {
    /// The server's name of it.
    pub handle: String,
}

/// What a server is to do with a request.
#[derive(Clone, Copy, Debug)]
pub enum Work<'a> {
    /// All of it.
    Run,
    /// Only read the prompt, and keep the KV cache for another server.
    Prefill,
    /// Fetch the KV cache of the prompt from another server, then generate.
    Decode {
        /// The server that read the prompt.
        from: net::SocketAddr,
        /// Its name of the KV cache.
        export: &'a Export,
    },
}

/// A KV cache that waits for another server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Export {
    /// The server's name of it.
    pub handle: String,
}

/// What a server says of the request in the head of its answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerAnswer {
    /// Whether it ran.
    pub execution: Execution,
    /// Whether it names the request by another name than the one that was sent to it.
    pub request_id: Option<String>,
}

/// Whether a request ran at a server that answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Execution {
    /// It did, or may have.
    Ran,
    /// It did not: the server takes no more work now.
    NotRun,
    /// It did not: another server has the address now.
    Misdirected,
}

/// One page of the platform's list.
#[derive(Clone, Debug, PartialEq)]
pub struct ListPage {
    /// The servers.
    pub servers: Vec<message::Server>,
    /// The entries that can't be read.
    pub damaged: usize,
    /// The next page.
    pub next: Option<String>,
}

/// Decodes a document as the log keeps it.
///
/// # Errors
///
/// Fails when it is damaged or names what can't be read.
pub fn read_packed(
    codec: &dyn Codec,
    packed: &document::Packed,
) -> error::Result<document::Document> {
    codec.read_document(&packed.to_plain()?)
}
