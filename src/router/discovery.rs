//! Reads the platform's list of servers.

use bytes::Bytes;

use crate::clock;
use crate::error;
use crate::fleet::message;
use crate::router::core;
use crate::router::protocol;
use crate::router::upstream;

/// The longest time for one page.
const PAGE_TIMEOUT: clock::Millis = clock::Millis::new(1_000);

/// The most pages of one list.
const MAX_PAGES: usize = 64;

/// When to ask again after a page did not come.
const RETRY_DELAY: clock::Millis = clock::Millis::new(500);

/// A list as it was read.
#[derive(Clone, Debug, PartialEq)]
pub struct Listed {
    /// The servers.
    pub servers: Vec<message::Server>,
    /// The entries that could not be read.
    pub damaged: usize,
    /// The calls that it took.
    pub calls: u32,
}

/// Reads all pages of the list.
///
/// # Errors
///
/// Fails when a page does not come or can't be read.
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
    Err(list_unavailable("it has too many pages"))
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
        return Err(list_unavailable(&format!("it answers {}", answer.status)));
    }
    let whole = answer.read_to_end(PAGE_TIMEOUT).await;
    let whole = whole.map_err(|e| list_unavailable(&e.to_string()))?;
    codec.read_list(&whole)
}

fn list_unavailable(reason: &str) -> error::Error {
    error::Error::unavailable(format!("the list of servers: {reason}"), RETRY_DELAY)
}
