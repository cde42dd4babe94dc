//! Calls to servers beside callers' requests.

use std::net;

use bytes::Bytes;
use hyper::header;

use crate::clock;
use crate::id;
use crate::router::edge;
use crate::router::upstream;

/// Makes a call to one life of a server and returns its answer.
///
/// # Errors
///
/// Tells whether the call may have reached the server.
pub async fn call(
    dialect: &dyn edge::Dialect,
    server: &id::BackendServerId,
    address: net::SocketAddr,
    call: edge::ServerCall,
    limit: clock::Millis,
) -> Result<(hyper::StatusCode, Bytes), upstream::Failure> {
    let body = http_body_util::Full::new(call.body);
    let mut req = hyper::Request::new(body);
    *req.method_mut() = call.method;
    *req.uri_mut() = call.path.parse().map_err(|_| upstream::Failure::NotSent)?;
    let headers = req.headers_mut();
    if let Ok(host) = header::HeaderValue::try_from(address.to_string()) {
        headers.insert(header::HOST, host);
    }
    let json = header::HeaderValue::from_static("application/json");
    headers.insert(header::CONTENT_TYPE, json);
    dialect.write_expected_server(headers, server);
    let mut answer = upstream::send(address, req, limit).await?;
    let body = answer.whole(limit).await?;
    Ok((answer.status, body))
}
