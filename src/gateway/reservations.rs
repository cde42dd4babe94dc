//! The reservations of requests that run at this gateway, renewed at their scheduler owners.

use std::sync;

use tokio::sync::watch;
use tokio::time;

use crate::clock;
use crate::controller::scheduler;
use crate::gateway::placement;
use crate::gateway::shared;
use crate::id;
use crate::peer::server;
use crate::sorted;

const RENEW_INTERVAL: clock::Millis = clock::Millis::new(250);

/// The live reservations of a gateway.
#[derive(Debug, Default)]
pub struct Reservations {
    live: sync::Mutex<sorted::Map<id::RequestId, scheduler::LiveReservation>>,
}

impl Reservations {
    /// Adds the reservation of a request, replacing an older one of the same request.
    pub fn add(&self, live: scheduler::LiveReservation) {
        self.lock().insert(live.place.request, live);
    }

    /// Marks that the decode server holds the KV cache of a request.
    pub fn mark_transferred(&self, request: id::RequestId) {
        if let Some(live) = self.lock().get_mut(&request) {
            live.transferred = true;
        }
    }

    pub fn remove(&self, request: id::RequestId) {
        self.lock().remove(&request);
    }

    pub fn len(&self) -> usize {
        self.lock().len()
    }

    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn of_model(&self, model: &id::ModelId) -> Vec<scheduler::LiveReservation> {
        self.lock()
            .values()
            .filter(|live| live.place.model == *model)
            .cloned()
            .collect()
    }

    fn models(&self) -> Vec<id::ModelId> {
        let live = self.lock();
        let mut models: Vec<_> = live.values().map(|l| l.place.model.clone()).collect();
        models.sort();
        models.dedup();
        models
    }

    fn lock(&self) -> sync::MutexGuard<'_, sorted::Map<id::RequestId, scheduler::LiveReservation>> {
        self.live
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}

/// Renews all live reservations every `RENEW_INTERVAL` until `stop` turns true.
///
/// Reservations that an owner does not know, because it is new, are reported to it.
pub async fn renew(cx: sync::Arc<shared::Shared>, mut stop: watch::Receiver<bool>) {
    let mut timer = time::interval(RENEW_INTERVAL.as_duration());
    timer.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            () = server::stopped(&mut stop) => return,
            _ = timer.tick() => {}
        }
        let renewals = cx
            .reservations
            .models()
            .into_iter()
            .map(|model| renew_model(&cx, model));
        futures_util::future::join_all(renewals).await;
    }
}

async fn renew_model(cx: &shared::Shared, model: id::ModelId) {
    let live = cx.reservations.of_model(&model);
    let ids = live.iter().map(|l| l.placement.reservation).collect();
    let renewal = scheduler::Request::Renew(ids);
    let reply = placement::ask_owner(cx, &model, renewal).await;
    let Some(scheduler::Reply::Unknown(lost)) = reply else {
        return;
    };
    let report: Vec<_> = live
        .into_iter()
        .filter(|l| lost.contains(&l.placement.reservation))
        .collect();
    if !report.is_empty() {
        placement::ask_owner(cx, &model, scheduler::Request::Report(report)).await;
    }
}
