//! Polls the engines of one scheduler for their load, cache events and held requests.

use std::net;

use tokio::sync::mpsc;
use tokio::task;
use tokio::time;

use crate::backend::engine;
use crate::clock;
use crate::controller::scheduler;
use crate::gateway::placement;
use crate::id;
use crate::sorted;
use crate::state::model;

/// The time between two polls of an engine's load and cache events.
const LOAD_POLL_INTERVAL: clock::Millis = clock::Millis::new(100);
/// An engine's held requests are read with every so many polls of its load.
const LOAD_POLLS_PER_HELD: u32 = 5;

/// The tasks that poll the engines, one for each.
#[derive(Debug, Default)]
pub struct Pollers {
    tasks: sorted::Map<id::BackendServerId, Poller>,
}

#[derive(Debug)]
struct Poller {
    address: net::SocketAddr,
    task: task::JoinHandle<()>,
}

impl Pollers {
    /// Starts and stops tasks so that there is one for each server that may hold requests.
    pub fn configure(
        &mut self,
        servers: &[model::BackendServer],
        tx: &mpsc::Sender<placement::Message>,
    ) {
        self.tasks.retain(|id, poller| {
            let keep = servers
                .iter()
                .any(|s| s.id == *id && s.address == poller.address && is_polled(s));
            if !keep {
                poller.task.abort();
            }
            keep
        });
        for server in servers.iter().filter(|s| is_polled(s)) {
            if !self.tasks.contains(&server.id) {
                let task = task::spawn(poll(server.id.clone(), server.address, tx.clone()));
                let address = server.address;
                self.tasks
                    .insert(server.id.clone(), Poller { address, task });
            }
        }
    }

    /// Stops all tasks and waits for them.
    pub async fn stop(mut self) {
        for poller in self.tasks.values_mut() {
            poller.task.abort();
            let _ = (&mut poller.task).await;
        }
    }
}

fn is_polled(server: &model::BackendServer) -> bool {
    server.state != model::ServerState::Out
}

async fn poll(
    server: id::BackendServerId,
    address: net::SocketAddr,
    tx: mpsc::Sender<placement::Message>,
) {
    let engine = engine::Engine::new(address);
    let mut after = 0;
    let mut timer = time::interval(LOAD_POLL_INTERVAL.as_duration());
    timer.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    for round in 0_u32.. {
        timer.tick().await;
        let mut inputs = read(&engine, &server, &mut after).await;
        if round.is_multiple_of(LOAD_POLLS_PER_HELD) {
            inputs.extend(read_held(&engine, &server).await);
        }
        for input in inputs {
            let message = placement::Message::Input(Box::new(input));
            if tx.send(message).await.is_err() {
                return;
            }
        }
    }
}

async fn read(
    engine: &engine::Engine,
    server: &id::BackendServerId,
    after: &mut u64,
) -> Vec<scheduler::Input> {
    let mut inputs = Vec::new();
    if let Ok(load) = engine.load().await {
        let server = server.clone();
        inputs.push(scheduler::Input::Load { server, load });
    }
    if let Ok(cache) = engine.cache_events(*after).await
        && let Some(last) = cache.events.last()
    {
        *after = last.number;
        inputs.push(scheduler::Input::CacheEvents {
            server: server.clone(),
            events: cache.events,
        });
    }
    inputs
}

async fn read_held(
    engine: &engine::Engine,
    server: &id::BackendServerId,
) -> Option<scheduler::Input> {
    let held = engine.held().await.ok()?;
    let server = server.clone();
    Some(scheduler::Input::HeldRequests { server, held })
}
