//! Reads the platform's list of servers, a late hint which backend servers are leaving.

use std::net;
use std::sync;

use tokio::sync::watch;
use tokio::time;

use crate::backend::client;
use crate::clock;
use crate::gateway::shared;
use crate::id;
use crate::macros;
use crate::peer::server;

const POLL_INTERVAL: clock::Millis = clock::Millis::new(500);
const READ_TIMEOUT: clock::Millis = clock::Millis::new(700);
const MAX_LIST_BYTES: usize = 4 << 20;

macros::data! {
    /// One entry of `GET /v1/instances`.
    pub struct Listed {
        pub id: id::BackendServerId,
        pub state: ListedState,
    }
}

macros::data! {copy
    /// The state of a server in the platform's list.
    #[serde(rename_all = "kebab-case")]
    pub enum ListedState {
        /// The server runs.
        Live,
        /// The server will be stopped soon.
        Leaving,
    }
}

/// The servers that the platform lists as leaving.
///
/// A server that is missing from the list stays in use: the list is late and may be incomplete.
#[derive(Debug, Default)]
pub struct Platform {
    leaving: sync::RwLock<Vec<id::BackendServerId>>,
}

impl Platform {
    pub fn is_leaving(&self, id: &id::BackendServerId) -> bool {
        let leaving = self
            .leaving
            .read()
            .unwrap_or_else(sync::PoisonError::into_inner);
        leaving.binary_search(id).is_ok()
    }

    /// Returns the servers listed as leaving, in the order of their ids.
    pub fn leaving(&self) -> Vec<id::BackendServerId> {
        self.leaving
            .read()
            .unwrap_or_else(sync::PoisonError::into_inner)
            .clone()
    }

    fn set_leaving(&self, list: Vec<Listed>) {
        let mut leaving: Vec<_> = list
            .into_iter()
            .filter(|listed| listed.state == ListedState::Leaving)
            .map(|listed| listed.id)
            .collect();
        leaving.sort();
        *self
            .leaving
            .write()
            .unwrap_or_else(sync::PoisonError::into_inner) = leaving;
    }
}

/// Reads the list every `POLL_INTERVAL` until `stop` turns true.
///
/// While it can't be read, the last one stays in use.
pub async fn watch(cx: sync::Arc<shared::Shared>, mut stop: watch::Receiver<bool>) {
    let Some(address) = cx.settings.platform_address else {
        return server::stopped(&mut stop).await;
    };
    let mut timer = time::interval(POLL_INTERVAL.as_duration());
    timer.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            () = server::stopped(&mut stop) => return,
            _ = timer.tick() => {}
        }
        match read(address).await {
            Ok(list) => cx.platform.set_leaving(list),
            Err(e) => log::debug!("reading the platform's list failed; using the last one: {e}"),
        }
    }
}

async fn read(address: net::SocketAddr) -> Result<Vec<Listed>, client::Failure> {
    let request = hyper::Request::get("/v1/instances")
        .header(hyper::header::HOST, "platform")
        .body(client::Body::default())
        .map_err(|e| client::Failure::Malformed(e.to_string()))?;
    let answer = client::call(address, request, READ_TIMEOUT, MAX_LIST_BYTES).await?;
    serde_json::from_slice(&answer.body).map_err(|e| client::Failure::Malformed(e.to_string()))
}
