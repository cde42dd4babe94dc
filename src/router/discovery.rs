//! Reads the platform's server list.

use bytes::Bytes;

use crate::clock;
use crate::error;
use crate::fleet::message;
use crate::router::core;
use crate::router::protocol;
use crate::router::upstream;

/// Timeout for one page.
const PAGE_TIMEOUT: clock::Millis = clock::Millis::new(1_000);

/// Upper bound of the pages of one list.
const MAX_PAGES: usize = 1_024;

/// Delay that the error names when a page could not be read.
const RETRY_DELAY: clock::Millis = clock::Millis::new(500);

/// A complete server list.
#[derive(Clone, Debug, PartialEq)]
pub struct Listed {
    pub servers: Vec<message::Server>,
    /// Number of entries that could not be decoded.
    pub damaged: usize,
    /// Number of calls that were made.
    pub calls: u32,
}

/// Reads all pages of the server list.
///
/// # Errors
///
/// Fails when a page can't be fetched or decoded, or when there are more than 1024 pages.
pub async fn read(
    codec: &dyn protocol::Codec,
    settings: &core::ListSettings,
) -> error::Result<Listed> {
    let mut listed = Listed {
        servers: Vec::new(),
        damaged: 0,
        calls: 0,
    };
    let mut page: Option<String> = None;
    for _ in 0..MAX_PAGES {
        let next = read_page(codec, settings, page.as_deref()).await?;
        listed.calls += 1;
        listed.servers.extend(next.servers);
        listed.damaged += next.damaged;
        page = next.next;
        if page.is_none() {
            return Ok(listed);
        }
    }
    Err(list_unavailable("it has more than 1024 pages"))
}

async fn read_page(
    codec: &dyn protocol::Codec,
    settings: &core::ListSettings,
    page: Option<&str>,
) -> error::Result<protocol::ListPage> {
    let body = http_body_util::Full::new(Bytes::new());
    let request = hyper::Request::get(codec.list_path(page))
        .header(hyper::header::HOST, settings.address.to_string())
        .body(body)
        .map_err(|e| list_unavailable(&e.to_string()))?;
    let answer = upstream::send(settings.address, request, PAGE_TIMEOUT).await;
    let mut answer = answer.map_err(|e| list_unavailable(&e.to_string()))?;
    if answer.status != hyper::StatusCode::OK {
        return Err(list_unavailable(&format!(
            "expected status 200, got {}",
            answer.status
        )));
    }
    let whole = answer.read_to_end(PAGE_TIMEOUT).await;
    let whole = whole.map_err(|e| list_unavailable(&e.to_string()))?;
    codec.read_list(&whole)
}

fn list_unavailable(reason: &str) -> error::Error {
    error::Error::unavailable(
        format!("can't read the platform's server list: {reason}"),
        RETRY_DELAY,
    )
}
