//! Streamed response bodies on an HTTP connection.

use std::cell::Cell;
use std::convert::Infallible;

use buckthorncleat::http::body::{Body, Truncated};
use bytes::Bytes;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};

/// Serves one request with these chunks, all of them ready at once, and returns the response.
async fn respond(chunks: Vec<Result<Bytes, Truncated>>) -> String {
    let (mut caller, server) = tokio::io::duplex(1 << 16);
    let (tx, body) = Body::channel(16);
    for chunk in chunks {
        tx.send(chunk).await.unwrap();
    }
    drop(tx);
    let body = Cell::new(Some(body));
    let service = service_fn(|_| {
        let response = hyper::Response::new(body.take().unwrap());
        async { Ok::<_, Infallible>(response) }
    });
    let connection = http1::Builder::new().serve_connection(TokioIo::new(server), service);
    let caller = async {
        let request = b"GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        caller.write_all(request).await.unwrap();
        let mut response = String::new();
        caller.read_to_string(&mut response).await.unwrap();
        response
    };
    let (_, response) = tokio::join!(connection, caller);
    response
}

#[tokio::test]
async fn a_complete_body_ends_with_the_last_chunk() {
    let response = respond(vec![Ok("one".into()), Ok("two".into())]).await;
    assert!(response.contains("one"), "{response}");
    assert!(response.ends_with("two\r\n0\r\n\r\n"), "{response}");
}

/// Guards against chunks being dropped that were ready when the body was truncated.
#[tokio::test]
async fn chunks_before_a_truncation_are_sent() {
    let chunks = vec![Ok("one".into()), Ok("two".into()), Err(Truncated("test"))];
    let response = respond(chunks).await;
    assert!(response.ends_with("two\r\n"), "{response}");
}
