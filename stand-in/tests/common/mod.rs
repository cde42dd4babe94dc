//! Engines and requests shared by several test files.
#![allow(dead_code)]

use std::net;

use buckthorncleat::backend::wire;
use buckthorncleat::id;
use buckthorncleat::state::model;
use buckthorncleat::unit;
use http_body_util::BodyExt as _;
use stand_in::client;
use stand_in::process;

pub const MODEL: &str = "sosej";

/// A prefill and a decode engine, which are killed when this is dropped.
pub struct Engines {
    pub prefill: net::SocketAddr,
    pub decode: net::SocketAddr,
    pub children: Vec<process::Child>,
    pub logs: tempfile::TempDir,
}

impl Engines {
    pub fn start(extra_args: &[&str]) -> Self {
        let logs = tempfile::tempdir().unwrap();
        let start = |role| {
            let args = ["engine", "--id", role, "--role", role, "--model", MODEL];
            let args: Vec<&str> = args.iter().chain(extra_args).copied().collect();
            process::Child::start_stand_in(role, &args, logs.path()).unwrap()
        };
        let (prefill, decode) = (start("prefill"), start("decode"));
        Self {
            prefill: prefill.1,
            decode: decode.1,
            children: vec![prefill.0, decode.0],
            logs,
        }
    }
}

pub fn request(number: u128) -> id::RequestId {
    id::RequestId::new(number)
}

pub fn prefill_call(number: u128, prompt: &str) -> wire::Prefill {
    wire::Prefill {
        request: request(number),
        model: MODEL.parse().unwrap(),
        prompt: prompt.to_owned(),
        delivered: Vec::new(),
        priority: model::Priority::Normal,
    }
}

pub fn decode_call(number: u128, max_tokens: u64) -> wire::Decode {
    wire::Decode {
        request: request(number),
        max_tokens: unit::Tokens::new(max_tokens),
        priority: model::Priority::Normal,
    }
}

pub async fn post<T: serde::Serialize>(
    to: net::SocketAddr,
    path: &str,
    body: &T,
) -> client::Answer {
    client::ask(to, client::post(path, body)).await.unwrap()
}

pub async fn get<T: serde::de::DeserializeOwned>(to: net::SocketAddr, path: &str) -> T {
    let req = client::request(hyper::Method::GET, path);
    client::ask(to, req).await.unwrap().json().unwrap()
}

pub async fn cancel(to: net::SocketAddr, number: u128) -> wire::Cancelled {
    let path = format!("/v1/requests/{}", request(number));
    let req = client::request(hyper::Method::DELETE, &path);
    client::ask(to, req).await.unwrap().json().unwrap()
}

/// Prefills a prompt and imports its KV memory into the decode engine; returns the answer to
/// the import.
pub async fn import(engines: &Engines, call: &wire::Prefill) -> client::Answer {
    let answer = post(engines.prefill, "/v1/prefill", call).await;
    assert_eq!(answer.status, 200, "{answer:?}");
    let prefilled: wire::Prefilled = answer.json().unwrap();
    let import = wire::Import {
        request: call.request,
        model: call.model.clone(),
        from: engines.prefill,
        export: prefilled.export,
    };
    post(engines.decode, "/v1/import", &import).await
}

/// An open event stream and the text read from it so far.
pub struct Stream {
    body: hyper::body::Incoming,
    text: String,
    connection: client::Connection,
}

impl Stream {
    pub async fn open(to: net::SocketAddr, req: hyper::Request<client::Body>) -> Self {
        let mut connection = client::Connection::open(to).await.unwrap();
        let answer = connection.send(req).await.unwrap();
        assert_eq!(answer.status(), 200);
        Self {
            body: answer.into_body(),
            text: String::new(),
            connection,
        }
    }

    /// Reads until `events` events have arrived in all, or the stream ends.
    ///
    /// Returns `false` if the stream broke off.
    pub async fn read(&mut self, events: usize) -> bool {
        while self.text.matches("\n\n").count() < events {
            match self.body.frame().await {
                Some(Ok(frame)) => {
                    let data = frame.into_data().unwrap();
                    self.text.push_str(std::str::from_utf8(&data).unwrap());
                }
                Some(Err(_)) => return false,
                None => return true,
            }
        }
        true
    }

    pub fn tokens(&self) -> Vec<wire::Token> {
        let events = self
            .text
            .split("\n\n")
            .filter_map(|e| e.strip_prefix("data: "));
        events.map(|e| serde_json::from_str(e).unwrap()).collect()
    }

    pub fn done(&self) -> Option<wire::Done> {
        let done = self.text.split("event: done\ndata: ").nth(1)?;
        Some(serde_json::from_str(done.trim()).unwrap())
    }

    pub async fn close(self) {
        self.connection.close().await;
    }
}
