//! The stand-in of the platform's lagging list of instances.

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
    /// How late a change shows in the list, in milliseconds.
    #[arg(long, default_value = "2000")]
    pub lag_ms: clock::Millis,
}

/// One instance of the list.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Instance {
    /// The name.
    pub id: id::InstanceId,
    /// Where it can be reached.
    pub address: net::SocketAddr,
    /// Whether it stays.
    pub state: State,
}

/// Whether an instance stays.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// It runs.
    Live,
    /// It runs and is about to end.
    Leaving,
}

/// Serves the list until the flag is true.
///
/// # Errors
///
/// Says which address can't be bound.
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
            ("GET", "/v1/instances") => Ok(self.shown()),
            ("POST", "/_stand-in/instances") => server::read_json(req.into_body())
                .await
                .map(|list| self.set(list)),
            _ => Err(server::Failure::unknown_path()),
        };
        match answer {
            Ok(list) => server::json(hyper::StatusCode::OK, &list),
            Err(failure) => failure.to_response(),
        }
    }
}

impl App {
    fn shown(&self) -> Vec<Instance> {
        let now = self.clock.now();
        let mut lists = self.lists.lock().expect("list lock");
        while lists.len() > 1 && lists[1].0 <= now {
            lists.pop_front();
        }
        let shown = lists.front().filter(|(from, _)| *from <= now);
        shown.map(|(_, list)| list.clone()).unwrap_or_default()
    }

    fn set(&self, list: Vec<Instance>) -> Vec<Instance> {
        let from = self.clock.now() + self.settings.lag_ms;
        let mut lists = self.lists.lock().expect("list lock");
        lists.push_back((from, list.clone()));
        list
    }
}
