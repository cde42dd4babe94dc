//! Transfer of KV cache from a prefill engine to a decode engine over HTTP.

use std::io;
use std::sync;

use buckthorncleat::backend::wire;
use buckthorncleat::id;
use bytes::Bytes;
use futures_util::stream;
use http_body_util::BodyExt as _;
use hyper::body;
use tokio::sync::watch;

use crate::client;
use crate::engine::export;
use crate::engine::machine;
use crate::engine::refusal;
use crate::engine::server;
use crate::server as http;

/// The size of a chunk of a transfer, in scaled-down bytes ([`export::SIZE_SCALE`]).
const CHUNK_BYTES: u64 = 16 << 10;

/// The body of an answer with KV cache. Ends the fetch when it is dropped.
struct ExportBody {
    shared: sync::Arc<server::Shared>,
    name: String,
    head: Option<export::Head>,
    remaining_bytes: u64,
    ended: bool,
}

impl Drop for ExportBody {
    fn drop(&mut self) {
        let complete = self.remaining_bytes == 0;
        self.shared.change(|e| e.end_fetch(&self.name, complete));
    }
}

/// Responds with exported KV cache, sent at the rate of the link.
///
/// # Errors
///
/// Fails if no export has this name.
pub fn send(shared: &sync::Arc<server::Shared>, name: &str) -> machine::Result<http::Response> {
    let head = shared.change(|e| e.begin_fetch(name))?;
    let export_body = ExportBody {
        shared: sync::Arc::clone(shared),
        name: name.to_owned(),
        remaining_bytes: head.real_bytes(),
        head: Some(head),
        ended: false,
    };
    let frames = stream::unfold(export_body, next_frame);
    let body = http_body_util::StreamBody::new(frames).boxed_unsync();
    Ok(hyper::Response::new(body))
}

async fn next_frame(
    mut export_body: ExportBody,
) -> Option<(io::Result<body::Frame<Bytes>>, ExportBody)> {
    if let Some(head) = export_body.head.take() {
        let mut line = serde_json::to_vec(&head).expect("a plain struct serializes to JSON");
        line.push(b'\n');
        return Some((Ok(body::Frame::data(line.into())), export_body));
    }
    if export_body.remaining_bytes == 0 || export_body.ended {
        return None;
    }
    let size = export_body.remaining_bytes.min(CHUNK_BYTES);
    export_body.shared.link().carry(size).await;
    if !export_body
        .shared
        .read(|e| e.holds_export(&export_body.name))
    {
        export_body.ended = true;
        return Some((
            Err(io::Error::other(
                "the export was cancelled, or freed by another transfer of it",
            )),
            export_body,
        ));
    }
    export_body.remaining_bytes -= size;
    let chunk = Bytes::from(vec![0; size as usize]);
    Some((Ok(body::Frame::data(chunk)), export_body))
}

/// Frees the slot and memory of an import that is dropped before it has finished.
struct ImportGuard<'a> {
    shared: &'a server::Shared,
    request: id::RequestId,
    ended: bool,
}

impl ImportGuard<'_> {
    fn finish(mut self, head: export::Head) -> machine::Result<()> {
        self.ended = true;
        self.shared
            .change(|e| e.end_import(self.request, Some(head)))
    }
}

impl Drop for ImportGuard<'_> {
    fn drop(&mut self) {
        if !self.ended {
            let result = self.shared.change(|e| e.end_import(self.request, None));
            log::debug!(
                "import of {} ended early; result of freeing its slot: {result:?}",
                self.request
            );
        }
    }
}

/// Fetches KV cache from a prefill engine.
///
/// # Errors
///
/// Fails as [`machine::Engine::begin_import`] does, and if the export does not exist, the memory is
/// full, the transfer fails or the request is cancelled meanwhile. Nothing is held then.
pub async fn fetch(shared: &server::Shared, call: &wire::Import) -> machine::Result<()> {
    shared.change(|e| e.begin_import(call))?;
    let guard = ImportGuard {
        shared,
        request: call.request,
        ended: false,
    };
    let changes = shared.changes();
    let head = tokio::select! {
        head = receive(shared, call) => head?,
        refusal = wait_for_cancellation(shared, call.request, changes) => return Err(refusal),
    };
    guard.finish(head)
}

async fn wait_for_cancellation(
    shared: &server::Shared,
    request: id::RequestId,
    mut changes: watch::Receiver<u64>,
) -> refusal::Refusal {
    loop {
        changes.mark_unchanged();
        if let Err(refusal @ refusal::Refusal::Cancelled) =
            shared.read(|e| e.check_importing(request))
        {
            return refusal;
        }
        let _ = changes.changed().await;
    }
}

async fn receive(shared: &server::Shared, call: &wire::Import) -> machine::Result<export::Head> {
    let transfer_failed = |e: buckthorncleat::Error| {
        log::info!("import of {} failed: {e}", call.request);
        refusal::Refusal::TransferFailed
    };
    let mut connection = client::Connection::open(call.from)
        .await
        .map_err(transfer_failed)?;
    let path = format!("/v1/exports/{}", call.export);
    let req = client::request(hyper::Method::GET, &path);
    let answer = connection.send(req).await.map_err(transfer_failed)?;
    if answer.status() != hyper::StatusCode::OK {
        return Err(refusal::Refusal::UnknownExport);
    }
    let head = receive_body(shared, answer.into_body()).await;
    connection.close().await;
    head
}

async fn receive_body(
    shared: &server::Shared,
    mut body: body::Incoming,
) -> machine::Result<export::Head> {
    let mut line = Vec::new();
    let mut head: Option<export::Head> = None;
    let mut received = 0;
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| refusal::Refusal::TransferFailed)?;
        let Some(data) = frame.data_ref() else {
            continue;
        };
        if head.is_some() {
            received += data.len() as u64;
            shared.link().carry(data.len() as u64).await;
            continue;
        }
        line.extend_from_slice(data);
        let Some(end) = line.iter().position(|b| *b == b'\n') else {
            continue;
        };
        received = (line.len() - end - 1) as u64;
        let parsed: export::Head =
            serde_json::from_slice(&line[..end]).map_err(|_| refusal::Refusal::TransferFailed)?;
        shared.change(|e| e.reserve_import(&parsed))?;
        head = Some(parsed);
    }
    head.filter(|head| head.real_bytes() == received)
        .ok_or(refusal::Refusal::TransferFailed)
}
