//! The types with fixed bytes, and how a data folder is filled, for the writer of the golden files
//! and for the test that reads them.

use std::path::Path;
use std::sync::Arc;

use buckthorncleat::controller::{limiter, scheduler};
use buckthorncleat::fleet::message::{Report, Summary};
use buckthorncleat::fleet::origin::{self, Origins};
use buckthorncleat::fleet::{budget, crashes, permit};
use buckthorncleat::id::{Incarnation, LogIndex, Term};
use buckthorncleat::peer::frame::Header;
use buckthorncleat::peer::link::Envelope;
use buckthorncleat::peer::message::{Reply, Request};
use buckthorncleat::replica::core::message as replica;
use buckthorncleat::replica::storage::Folder;
use buckthorncleat::state::change::Change;
use buckthorncleat::state::command::{Answer, ClaimOutcome, Command, State};
use buckthorncleat::state::model::{BackendServer, Route};

use super::values::Maker;

/// Calls `visit` with each type and the name of its file.
pub trait Visit {
    fn visit<T>(&mut self, name: &str)
    where
        T: serde::Serialize + serde::de::DeserializeOwned + PartialEq + std::fmt::Debug + 'static;
}

pub fn visit_all(visitor: &mut impl Visit) {
    visitor.visit::<Request>("request");
    visitor.visit::<Reply>("reply");
    visitor.visit::<Envelope>("envelope");
    visitor.visit::<Header>("frame-header");
    visitor.visit::<limiter::Request>("limiter-request");
    visitor.visit::<limiter::Reply>("limiter-reply");
    visitor.visit::<scheduler::Request>("scheduler-request");
    visitor.visit::<scheduler::Refusal>("scheduler-refusal");
    visitor.visit::<scheduler::Reply>("scheduler-reply");
    visitor.visit::<Report>("report");
    visitor.visit::<Summary>("summary");
    visitor.visit::<permit::Answer>("permit-answer");
    visitor.visit::<budget::Answer>("retry-answer");
    visitor.visit::<crashes::Answer>("run-answer");
    visitor.visit::<origin::Answer>("origin-answer");
    visitor.visit::<Command>("command");
    visitor.visit::<ClaimOutcome>("claim-outcome");
    visitor.visit::<Change>("change");
    visitor.visit::<BackendServer>("backend-server");
    visitor.visit::<Route>("route");
    visitor.visit::<Answer>("answer");
    visitor.visit::<(State, Origins)>("state");
    visitor.visit::<replica::Message>("replica-message");
    visitor.visit::<replica::Body>("replica-body");
    visitor.visit::<replica::AppendOutcome>("append-outcome");
    visitor.visit::<replica::Entry>("log-entry");
    visitor.visit::<replica::HardState>("hard-state");
    visitor.visit::<replica::Snapshot>("snapshot");
}

/// The instance that the golden data folder belongs to.
pub const INSTANCE: &str = "control-0";

/// Returns batches with every kind of record and a snapshot.
pub fn batches(maker: &mut Maker) -> Vec<replica::Batch> {
    let at = |index| replica::Position {
        index: LogIndex::new(index),
        term: Term::new(3),
    };
    let payloads: Vec<replica::Payload> = maker.samples();
    let entry = |(index, payload): (usize, &replica::Payload)| replica::Entry {
        at: at(index as u64 + 1),
        payload: payload.clone(),
    };
    let entries: Vec<replica::Entry> = payloads.iter().enumerate().map(entry).collect();
    let state: (State, Origins) = maker.samples().pop().unwrap();
    let snapshot = replica::Snapshot {
        metadata: replica::SnapshotMetadata {
            group: Incarnation::new(7),
            at: at(2),
            members: maker.samples().pop().unwrap(),
        },
        data: postcard::to_stdvec(&state).unwrap(),
    };
    let (before, after) = entries.split_at(2);
    let batch =
        |snapshot: Option<replica::Snapshot>, reset, hard_state, entries: &[_]| replica::Batch {
            snapshot: snapshot.map(Arc::new),
            reset,
            hard_state,
            entries: entries.to_vec(),
            ..Default::default()
        };
    let hard_states: Vec<replica::HardState> = maker.samples();
    let first = replica::Snapshot {
        metadata: replica::SnapshotMetadata {
            at: replica::Position::default(),
            ..snapshot.metadata.clone()
        },
        data: Vec::new(),
    };
    vec![
        batch(Some(first), true, hard_states.first().cloned(), &[]),
        batch(None, false, hard_states.get(1).cloned(), before),
        batch(Some(snapshot), false, None, after),
    ]
}

/// Writes the batches into a data folder, each on its own.
pub fn fill(path: &Path, batches: &[replica::Batch]) {
    let (mut folder, _) = Folder::open(path, &INSTANCE.parse().unwrap()).unwrap();
    for batch in batches {
        folder.write(std::slice::from_ref(batch)).unwrap();
    }
}
