//! What goes on from one connection to the next.

use hyper::header;

/// The headers that concern one connection only, with the length, which the next one sets anew.
const OF_ONE_CONNECTION: [&str; 9] = [
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

/// Returns the headers without those that concern one connection, or that `Connection` names.
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
    for name in OF_ONE_CONNECTION {
        kept.remove(name);
    }
    kept
}

/// Returns the path and query of a URI, as requests to servers carry it.
pub fn path_only(uri: &hyper::Uri) -> hyper::Uri {
    uri.path_and_query()
        .and_then(|path| path.as_str().parse().ok())
        .unwrap_or_else(|| hyper::Uri::from_static("/"))
}
