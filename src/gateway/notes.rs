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
const QUEUE: usize = 8_192;
/// The times that one note is sent.
const ATTEMPTS: u32 = 3;
/// The pause before a note is sent again.
const PAUSE: clock::Millis = clock::Millis::new(50);

/// A note for the scheduler owner of a model.
#[derive(Clone, Debug)]
struct Note {
    model: id::ModelId,
    request: scheduler::Request,
}

/// The notes of a gateway.
#[derive(Debug)]
pub struct Notes {
    tx: mpsc::Sender<Note>,
    rx: sync::Mutex<Option<mpsc::Receiver<Note>>>,
}

impl Default for Notes {
    fn default() -> Self {
        let (tx, rx) = mpsc::channel(QUEUE);
        Self {
            tx,
            rx: sync::Mutex::new(Some(rx)),
        }
    }
}

impl Notes {
    /// Queues a note.
    pub fn send(&self, model: &id::ModelId, request: scheduler::Request) {
        let model = model.clone();
        if self.tx.try_send(Note { model, request }).is_err() {
            metrics::counter!("buckthorncleat_notes_dropped_total").increment(1);
        }
    }

    fn take_receiver(&self) -> Option<mpsc::Receiver<Note>> {
        self.rx
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
            .take()
    }
}

/// Sends the notes until `stop` turns true, and then those that still wait.
pub async fn run(cx: sync::Arc<shared::Shared>, mut stop: watch::Receiver<bool>) {
    let Some(mut rx) = cx.notes.take_receiver() else {
        return;
    };
    loop {
        let note = tokio::select! {
            note = rx.recv() => note,
            () = server::stopped(&mut stop) => break,
        };
        match note {
            Some(note) => deliver(&cx, &note).await,
            None => return,
        }
    }
    while let Ok(note) = rx.try_recv() {
        deliver(&cx, &note).await;
    }
}

async fn deliver(cx: &shared::Shared, note: &Note) {
    for _ in 0..ATTEMPTS {
        let told = placement::ask_owner(cx, &note.model, note.request.clone());
        if told.await.is_some() {
            return;
        }
        time::sleep(PAUSE.as_duration()).await;
    }
}
