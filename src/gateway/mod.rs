//! The gateway daemon: serves callers and the roles that it owns, and follows the control group.

pub mod callers;
pub mod control;
pub mod limits;
pub mod notifications;
pub mod owner;
pub mod placement;
pub mod platform;
pub mod poller;
pub mod reservations;
pub mod services;
pub mod shared;
pub mod status;
pub mod suspects;

use std::sync;

use metrics_exporter_prometheus as prometheus;
use tokio::sync::watch;
use tokio::task;
use tokio::time;

use crate::clock;
use crate::config::settings;
use crate::controller::entries;
use crate::daemon;
use crate::error;
use crate::event;
use crate::peer::frame;
use crate::peer::link;
use crate::peer::server;
use crate::tasks;

/// The longest time that a change of the membership takes to reach every gateway.
const MAX_PROPAGATION_DELAY: clock::Millis = clock::Millis::from_secs(3);

/// Runs a gateway until `stop` turns true or an operator drains it, then shuts it down without
/// cutting a request.
///
/// # Errors
///
/// Fails when the secret can't be read or an address can't be listened on.
pub async fn run(
    settings: settings::Gateway,
    metrics: prometheus::PrometheusHandle,
    stop: watch::Receiver<bool>,
) -> error::Result<()> {
    let secret = frame::Secret::from_file(&settings.secret_file)?;
    let recorder = sync::Arc::new(event::Recorder::new(settings.instance.clone()));
    let identity = link::Identity::new(settings.instance.clone(), secret, recorder);
    let identity = sync::Arc::new(identity);
    let clock = clock::Clock::start();
    let cx = shared::Shared::new(settings, clock, sync::Arc::clone(&identity));
    let cx = sync::Arc::new(cx);
    cx.recorder.record(event::Kind::Started, "gateway");
    Daemon::start(cx, identity, metrics).run(stop).await
}

struct Daemon {
    cx: sync::Arc<shared::Shared>,
    tasks: tasks::Tasks,
    stop_callers: watch::Sender<bool>,
    stop_rest: watch::Sender<bool>,
    callers: task::JoinHandle<error::Result<()>>,
}

impl Daemon {
    fn start(
        cx: sync::Arc<shared::Shared>,
        identity: sync::Arc<link::Identity>,
        metrics: prometheus::PrometheusHandle,
    ) -> Self {
        let stop_callers = watch::Sender::new(false);
        let stop_rest = watch::Sender::new(false);
        let mut tasks = tasks::Tasks::default();
        let handler = sync::Arc::new(owner::Handler::new(sync::Arc::clone(&cx)));
        let address = cx.settings.peer_address;
        tasks.spawn(
            "peers",
            server::serve(address, identity, handler, stop_rest.subscribe()),
        );
        tasks.spawn(
            "status",
            status::serve(sync::Arc::clone(&cx), metrics, stop_rest.subscribe()),
        );
        let watch = control::watch(sync::Arc::clone(&cx), stop_rest.subscribe());
        tasks.spawn("control", infallible(watch));
        let renew = reservations::renew(sync::Arc::clone(&cx), stop_rest.subscribe());
        tasks.spawn("reservations", infallible(renew));
        let read_list = platform::watch(sync::Arc::clone(&cx), stop_rest.subscribe());
        tasks.spawn("server list", infallible(read_list));
        let notify = notifications::run(sync::Arc::clone(&cx), stop_rest.subscribe());
        tasks.spawn("notifications", infallible(notify));
        let supervise = placement::supervise(sync::Arc::clone(&cx), stop_rest.subscribe());
        tasks.spawn("placement", infallible(supervise));
        let callers = callers::serve(sync::Arc::clone(&cx), stop_callers.subscribe());
        Self {
            callers: tokio::spawn(callers),
            cx,
            tasks,
            stop_callers,
            stop_rest,
        }
    }

    async fn run(mut self, mut stop: watch::Receiver<bool>) -> error::Result<()> {
        let mut drained = self.cx.drain_signal();
        let ended = tokio::select! {
            () = server::stopped(&mut stop) => None,
            () = server::stopped(&mut drained) => None,
            Some(ended) = self.tasks.join_next() => Some(ended),
            ended = &mut self.callers => Some(daemon::task_result(ended)),
        };
        if let Some(ended) = ended {
            self.stop_callers.send_replace(true);
            self.stop_rest.send_replace(true);
            return ended;
        }
        self.shut_down().await;
        Ok(())
    }

    /// Waits until callers no longer use this entry, stops accepting, waits for running requests,
    /// and hands over the roles.
    async fn shut_down(mut self) {
        self.cx.drain();
        self.wait_for_entry_list_expiry().await;
        self.stop_callers.send_replace(true);
        let timeout = self.cx.settings.timing.drain_ms;
        if time::timeout(timeout.as_duration(), &mut self.callers)
            .await
            .is_err()
        {
            log::error!(
                "requests still run {timeout} after the gateway stopped accepting; ending them"
            );
            self.callers.abort();
            let _ = self.callers.await;
        }
        control::leave(&self.cx).await;
        self.stop_rest.send_replace(true);
        if let Err(e) = self.tasks.join_all(tasks::STOP_TIMEOUT).await {
            log::error!("a task failed while the gateway stopped: {e}");
        }
        self.cx.recorder.record(event::Kind::Stopped, "gateway");
    }

    /// Waits until no caller holds a list of entries that names this one.
    ///
    /// The wait for the control group to record that this gateway is leaving is bounded, so that
    /// the shutdown goes on without a control group.
    async fn wait_for_entry_list_expiry(&self) {
        let own = self.cx.instance().clone();
        let mut rx = self.cx.subscribe();
        let leaving = rx.wait_for(|config| config.members.get(&own).is_none_or(|m| m.leaving));
        let _ = time::timeout(MAX_PROPAGATION_DELAY.as_duration(), leaving).await;
        let wait = MAX_PROPAGATION_DELAY + entries::MAX_AGE;
        time::sleep(wait.as_duration()).await;
    }
}

async fn infallible(work: impl Future<Output = ()>) -> error::Result<()> {
    work.await;
    Ok(())
}
