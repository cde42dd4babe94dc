//! What gateways tell scheduler owners about running requests, in order and without making the
//! requests wait.

use std::sync;

use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::time;

use crate::clock;
use crate::controller::scheduler;
use crate::gateway::placement;
use crate::gateway::shared;
use crate::id;
use crate::peer::server;

/// The notes that may wait; further ones are dropped, and leases end what they would have ended.
const QUEUE_CAPACITY: usize = 8_192;
/// The times that one note is sent.
const MAX_ATTEMPTS: u32 = 3;
/// The pause before a note is sent again.
const RETRY_DELAY: clock::Millis = clock::Millis::new(50);

/// A note for the scheduler owner of a model.
#[derive(Clone, Debug)]
struct Notification {
    model: id::ModelId,
    request: scheduler::Request,
}

/// The notes of a gateway.
#[derive(Debug)]
pub struct Notifications {
    tx: mpsc::Sender<Notification>,
    rx: sync::Mutex<Option<mpsc::Receiver<Notification>>>,
}

impl Default for Notifications {
    fn default() -> Self {
        let (tx, rx) = mpsc::channel(QUEUE_CAPACITY);
        Self {
            tx,
            rx: sync::Mutex::new(Some(rx)),
        }
    }
}

impl Notifications {
    /// Queues a note.
    pub fn send(&self, model: &id::ModelId, request: scheduler::Request) {
        let model = model.clone();
        if self.tx.try_send(Notification { model, request }).is_err() {
            metrics::counter!("buckthorncleat_notes_dropped_total").increment(1);
        }
    }

    fn take_receiver(&self) -> Option<mpsc::Receiver<Notification>> {
        self.rx
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
            .take()
    }
}

/// Sends the notes until `stop` turns true, and then those that still wait.
pub async fn run(cx: sync::Arc<shared::Shared>, mut stop: watch::Receiver<bool>) {
    let Some(mut rx) = cx.notifications.take_receiver() else {
        return;
    };
    loop {
        let notification = tokio::select! {
            notification = rx.recv() => notification,
            () = server::stopped(&mut stop) => break,
        };
        match notification {
            Some(notification) => deliver(&cx, &notification).await,
            None => return,
        }
    }
    while let Ok(notification) = rx.try_recv() {
        deliver(&cx, &notification).await;
    }
}

async fn deliver(cx: &shared::Shared, notification: &Notification) {
    for _ in 0..MAX_ATTEMPTS {
        let reply = placement::ask_owner(cx, &notification.model, notification.request.clone());
        if reply.await.is_some() {
            return;
        }
        time::sleep(RETRY_DELAY.as_duration()).await;
    }
}
