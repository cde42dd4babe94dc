//! The platform's live list, a lagging hint which backend servers are leaving.

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

/// The time between two readings of the list.
const POLL_INTERVAL: clock::Millis = clock::Millis::new(500);
/// The longest time of one reading.
const READ_TIMEOUT: clock::Millis = clock::Millis::new(700);
/// The largest list, in bytes.
const MAX_LIST_BYTES: usize = 4 << 20;

macros::data! {
    /// One entry of `GET /v1/instances`.
    pub struct Listed {
        /// The name of the backend server.
        pub id: id::BackendServerId,
        /// What the platform says of it.
        pub state: ListedState,
    }
}

macros::data! {copy
    /// What the platform says of an instance.
    #[serde(rename_all = "kebab-case")]
    pub enum ListedState {
        /// It is there.
        Live,
        /// It is about to go.
        Leaving,
    }
}

/// The servers that the platform calls leaving.
///
/// A server that the list does not name is not taken out: the list lags, and may be short.
#[derive(Debug, Default)]
pub struct Platform {
    leaving: sync::RwLock<Vec<id::BackendServerId>>,
}

impl Platform {
    /// Tells whether the platform says that a server is leaving.
    pub fn is_leaving(&self, id: &id::BackendServerId) -> bool {
        let leaving = self
            .leaving
            .read()
            .unwrap_or_else(sync::PoisonError::into_inner);
        leaving.binary_search(id).is_ok()
    }

    /// Returns the servers that the platform calls leaving.
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

/// Reads the list until `stop` turns true; the last one read stays in use while it can't be read.
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
            Err(e) => log::debug!("the platform's list: {e}"),
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
