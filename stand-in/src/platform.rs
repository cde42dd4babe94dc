//! A stand-in for the platform's list of instances, which shows changes late.

use std::collections;
use std::net;
use std::sync;

use buckthorncleat::clock;
use buckthorncleat::id;
use tokio::sync::watch;

use crate::connection;
use crate::server;

/// The settings of `buckthorncleat-stand-in platform`.
#[derive(Clone, Debug, clap::Args)]
pub struct Settings {
    /// Delay before a change shows in the list, in milliseconds.
    #[arg(long, default_value = "2000")]
    pub lag_ms: clock::Millis,
}

/// One entry of the list.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Instance {
    pub id: id::InstanceId,
    pub address: net::SocketAddr,
    pub state: State,
}

/// Whether an instance keeps running.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// It runs and is expected to go on.
    Live,
    /// It runs but is about to be ended.
    Leaving,
}

/// Serves the list until `stop` is true or its sender is dropped.
///
/// # Errors
///
/// Returns an error that names the address if it can't be bound.
pub async fn run(
    address: net::SocketAddr,
    settings: Settings,
    stop: watch::Receiver<bool>,
) -> buckthorncleat::Result<()> {
    let listener = server::listen(address).await?;
    let app = App {
        settings,
        clock: clock::Clock::start(),
        lists: sync::Mutex::default(),
    };
    let connections = sync::Arc::<connection::Registry>::default();
    server::serve(listener, connections, sync::Arc::new(app), stop).await;
    Ok(())
}

struct App {
    settings: Settings,
    clock: clock::Clock,
    lists: sync::Mutex<collections::VecDeque<(clock::Millis, Vec<Instance>)>>,
}

impl server::App for App {
    async fn call(&self, _: u64, req: server::Request) -> server::Response {
        let answer = match (req.method().as_str(), req.uri().path()) {
            ("GET", "/v1/instances") => Ok(self.visible()),
            ("POST", "/_stand-in/instances") => server::read_json(req.into_body())
                .await
                .map(|list| self.set_list(list)),
            _ => Err(server::Failure::unknown_path()),
        };
        match answer {
            Ok(list) => server::json(hyper::StatusCode::OK, &list),
            Err(failure) => failure.to_response(),
        }
    }
}

impl App {
    fn visible(&self) -> Vec<Instance> {
        let now = self.clock.now();
        let mut lists = self.lists.lock().expect("list lock");
        while lists.len() > 1 && lists[1].0 <= now {
            lists.pop_front();
        }
        let visible = lists.front().filter(|(from, _)| *from <= now);
        visible.map(|(_, list)| list.clone()).unwrap_or_default()
    }

    fn set_list(&self, list: Vec<Instance>) -> Vec<Instance> {
        let from = self.clock.now() + self.settings.lag_ms;
        let mut lists = self.lists.lock().expect("list lock");
        lists.push_back((from, list.clone()));
        list
    }
}
