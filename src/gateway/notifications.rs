//! Notifications to scheduler owners about running requests, sent in order by one task so that the
//! requests do not wait.

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

/// The most notifications that wait. Further ones are dropped; what they would have ended expires
/// with its lease.
const QUEUE_CAPACITY: usize = 8_192;
/// How many times a notification is sent before it is given up.
const MAX_ATTEMPTS: u32 = 3;
const RETRY_DELAY: clock::Millis = clock::Millis::new(50);

/// A request to the scheduler owner of a model whose answer is not needed.
#[derive(Clone, Debug)]
struct Notification {
    model: id::ModelId,
    request: scheduler::Request,
}

/// The queue of notifications of a gateway.
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
    /// Queues a notification, or drops and counts it when the queue is full.
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

/// Sends the queued notifications until `stop` turns true, and then those left in the queue.
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
