//! Reads the platform's server list.

use bytes::Bytes;
use tokio::time;

use crate::clock;
use crate::error;
use crate::fleet::message;
use crate::id;
use crate::router::core;
use crate::router::protocol;
use crate::router::upstream;

/// Timeout for one page.
const PAGE_TIMEOUT: clock::Millis = clock::Millis::new(1_000);

/// Upper bound of the pages of one list.
const MAX_PAGES: usize = 1_024;

/// Delay that the error names when a page could not be read.
const RETRY_DELAY: clock::Millis = clock::Millis::new(500);

/// Calls for one page before the read fails. The platform refuses calls beyond the rate that all
/// processes share, and a long list must not begin anew each time.
const MAX_PAGE_CALLS: u32 = 6;

/// Delay after a refused call for a page.
const REFUSED_DELAY: clock::Millis = clock::Millis::new(100);

/// Share of the allowed calls that routers without a leader use.
const ROUTERS_CALL_SHARE: f64 = 0.5;

/// Servers on a page, for the estimate of calls.
const SERVERS_PER_PAGE: usize = 50;

/// Returns the time in which each of `routers` may read a list of this many servers once.
pub fn read_interval(routers: u32, servers: usize, calls_per_second: f64) -> clock::Millis {
    let pages = servers.div_ceil(SERVERS_PER_PAGE).max(1) as f64;
    let allowed = (calls_per_second * ROUTERS_CALL_SHARE).max(0.1);
    clock::Millis::new((f64::from(routers) * pages / allowed * 1_000.0) as u64)
}

/// Why a page could not be read.
#[derive(Debug, thiserror::Error)]
enum PageError {
    /// The call was beyond the allowed rate.
    #[error("call refused with status 429")]
    Refused,
    #[error(transparent)]
    Failed(#[from] error::Error),
}

/// A complete server list.
#[derive(Clone, Debug, PartialEq)]
pub struct Listed {
    pub servers: Vec<message::Server>,
    /// The servers that were cold when their page was read, and for how much longer.
    pub cold: Vec<(id::BackendServerId, clock::Millis)>,
    /// Servers that only entries within damaged ones name.
    pub enclosed: Vec<protocol::EnclosedServer>,
    /// Number of enclosed servers that are used, since they are known from before.
    pub recovered: usize,
    /// Number of entries that could not be decoded.
    pub damaged: usize,
    /// Number of calls that were made.
    pub calls: u32,
}

impl Listed {
    /// Logs what the damaged entries of the list hold.
    pub fn log_damage(&self) {
        log::warn!(
            event = "list_damaged",
            damaged = self.damaged,
            recovered = self.recovered,
            servers = self.servers.len();
            "entries of the platform's server list can't be decoded; of the servers that others within them name \
             those are used that are known from before"
        );
    }
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
        cold: Vec::new(),
        enclosed: Vec::new(),
        recovered: 0,
        damaged: 0,
        calls: 0,
    };
    let mut page: Option<String> = None;
    for _ in 0..MAX_PAGES {
        let next = read_page_patiently(codec, settings, page.as_deref(), &mut listed.calls).await?;
        listed.servers.extend(next.servers);
        listed.cold.extend(next.cold);
        listed.enclosed.extend(next.enclosed);
        listed.damaged += next.damaged;
        page = next.next;
        if page.is_none() {
            metrics::gauge!("buckthorncleat_list_damaged_entries").set(listed.damaged as f64);
            return Ok(listed);
        }
    }
    Err(list_unavailable("it has more than 1024 pages"))
}

/// Reads a page, again after each refusal, and counts the calls.
async fn read_page_patiently(
    codec: &dyn protocol::Codec,
    settings: &core::ListSettings,
    page: Option<&str>,
    calls: &mut u32,
) -> error::Result<protocol::ListPage> {
    for _ in 0..MAX_PAGE_CALLS {
        *calls += 1;
        match read_page(codec, settings, page).await {
            Ok(page) => return Ok(page),
            Err(PageError::Failed(e)) => return Err(e),
            Err(PageError::Refused) => time::sleep(REFUSED_DELAY.as_duration()).await,
        }
    }
    Err(list_unavailable(&PageError::Refused.to_string()))
}

async fn read_page(
    codec: &dyn protocol::Codec,
    settings: &core::ListSettings,
    page: Option<&str>,
) -> Result<protocol::ListPage, PageError> {
    let body = http_body_util::Full::new(Bytes::new());
    let request = hyper::Request::get(codec.list_path(page))
        .header(hyper::header::HOST, settings.address.to_string())
        .body(body)
        .map_err(|e| list_unavailable(&e.to_string()))?;
    let answer = upstream::send(settings.address, request, PAGE_TIMEOUT).await;
    let mut answer = answer.map_err(|e| list_unavailable(&e.to_string()))?;
    if answer.status == hyper::StatusCode::TOO_MANY_REQUESTS {
        return Err(PageError::Refused);
    }
    if answer.status != hyper::StatusCode::OK {
        let reason = format!("expected status 200, got {}", answer.status);
        return Err(list_unavailable(&reason).into());
    }
    let whole = answer
        .read_to_end(PAGE_TIMEOUT, upstream::MAX_ANSWER_BYTES)
        .await;
    let whole = whole.map_err(|e| list_unavailable(&e.to_string()))?;
    Ok(codec.read_list(&whole)?)
}

fn list_unavailable(reason: &str) -> error::Error {
    error::Error::unavailable(
        format!("can't read the platform's server list: {reason}"),
        RETRY_DELAY,
    )
}
