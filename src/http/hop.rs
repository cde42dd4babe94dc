//! The parts of a request or response that a proxy forwards: end-to-end headers, path and query.

use hyper::header;

/// Headers that apply to one connection only, and the length, which is set anew on the next one.
const HOP_BY_HOP: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "transfer-encoding",
    "upgrade",
    "te",
    "trailer",
    "expect",
    "content-length",
];

/// Returns the headers without the hop-by-hop ones and those that `Connection` names.
pub fn end_to_end(headers: &header::HeaderMap) -> header::HeaderMap {
    let mut kept = headers.clone();
    let named: Vec<String> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    for name in &named {
        kept.remove(name.as_str());
    }
    for name in HOP_BY_HOP {
        kept.remove(name);
    }
    kept
}

/// Returns the URI with path and query only, as in a request to a server; `/` when it has none.
pub fn path_only(uri: &hyper::Uri) -> hyper::Uri {
    uri.path_and_query()
        .and_then(|path| path.as_str().parse().ok())
        .unwrap_or_else(|| hyper::Uri::from_static("/"))
}
