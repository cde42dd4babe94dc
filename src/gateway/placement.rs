//! The scheduler role: one task for each model whose scheduler this gateway owns, and requests to
//! the scheduler owner of any model.

use std::sync;

use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;
use tokio::task;
use tokio::time;

use crate::backend::engine;
use crate::clock;
use crate::controller::ownership;
use crate::controller::scheduler;
use crate::gateway::poller;
use crate::gateway::shared;
use crate::id;
use crate::peer::message;
use crate::peer::server;
use crate::sorted;
use crate::state::change;
use crate::state::model;

/// The most messages that wait for one scheduler; a gateway's request beyond gets no answer.
const QUEUE_CAPACITY: usize = 16_384;
/// The longest time that the answer to a request is held while there is no decision; the gateway
/// then asks again.
const LONG_POLL_TIMEOUT: clock::Millis = clock::Millis::new(400);
/// The longest time that one message to an owner may take beyond [`LONG_POLL_TIMEOUT`].
const OWNER_TIMEOUT: clock::Millis = clock::Millis::new(400);
const MAX_STEP_INTERVAL: clock::Millis = clock::Millis::new(100);
/// A placement that no gateway has asked for within this time is dropped if it is decided, and
/// abandoned if it still waits.
const PLACE_EXPIRY: clock::Millis = clock::Millis::new(2_000);
/// The time between two checks for gained and lost scheduler roles.
const SUPERVISE_INTERVAL: clock::Millis = clock::Millis::new(50);
/// The delay before the scheduler is told of a cancel that was not confirmed, to send it again.
const CANCEL_RETRY_DELAY: clock::Millis = clock::Millis::new(100);

/// The schedulers that run at this gateway, each behind the queue of its task.
#[derive(Debug, Default)]
pub struct Placement {
    schedulers: sync::RwLock<sorted::Map<id::ModelId, mpsc::Sender<Message>>>,
}

/// A message to the task of a scheduler.
#[derive(Debug)]
pub enum Message {
    /// A gateway's request, which is answered.
    Request(GatewayRequest),
    /// An input that needs no answer.
    Input(Box<scheduler::Input>),
}

/// A gateway's request to a scheduler, and the channel for its answer.
#[derive(Debug)]
pub struct GatewayRequest {
    gateway: id::InstanceId,
    request: scheduler::Request,
    reply: oneshot::Sender<scheduler::Reply>,
}

impl Placement {
    /// Answers a gateway as the scheduler owner of a model.
    ///
    /// Returns [`scheduler::Reply::Waiting`] when there is no decision within `LONG_POLL_TIMEOUT`,
    /// and `None` when the scheduler does not run here, its queue is full or it drops the request.
    pub async fn serve(
        &self,
        gateway: id::InstanceId,
        model: &id::ModelId,
        request: scheduler::Request,
    ) -> Option<scheduler::Reply> {
        let tx = self.read().get(model).cloned()?;
        let (reply, answer) = oneshot::channel();
        let req = GatewayRequest {
            gateway,
            request,
            reply,
        };
        tx.try_send(Message::Request(req)).ok()?;
        time::timeout(LONG_POLL_TIMEOUT.as_duration(), answer)
            .await
            .map_or(Some(scheduler::Reply::Waiting), Result::ok)
    }

    fn read(&self) -> sync::RwLockReadGuard<'_, sorted::Map<id::ModelId, mpsc::Sender<Message>>> {
        self.schedulers
            .read()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    fn put(&self, model: &id::ModelId, tx: Option<mpsc::Sender<Message>>) {
        let mut schedulers = self
            .schedulers
            .write()
            .unwrap_or_else(sync::PoisonError::into_inner);
        match tx {
            Some(tx) => schedulers.insert(model.clone(), tx),
            None => schedulers.remove(model),
        };
    }
}

/// Sends a request to the scheduler owner of a model once.
///
/// Returns `None` when there is no owner or it does not answer as the owner.
pub async fn ask_owner(
    cx: &shared::Shared,
    model: &id::ModelId,
    request: scheduler::Request,
) -> Option<scheduler::Reply> {
    let owner = cx.owner(&ownership::Role::Scheduler(model.clone()))?;
    if owner.id == *cx.instance() {
        return cx
            .placement
            .serve(cx.instance().clone(), model, request)
            .await;
    }
    let model = model.clone();
    let message = message::Request::Scheduler(message::ToOwner {
        epoch: cx.config().epoch,
        message: message::Scheduling { model, request },
    });
    let timeout = LONG_POLL_TIMEOUT + OWNER_TIMEOUT;
    let reply = cx
        .links
        .request(owner.peer_address, &message, timeout)
        .await;
    match reply {
        Ok(message::Reply::Scheduler(reply)) => Some(reply),
        _ => None,
    }
}

/// Runs a task for each scheduler role that this gateway serves, until `stop` turns true.
pub async fn supervise(cx: sync::Arc<shared::Shared>, mut stop: watch::Receiver<bool>) {
    let mut running: sorted::Map<id::ModelId, watch::Sender<bool>> = sorted::Map::new();
    let mut tasks = task::JoinSet::new();
    loop {
        let pause = time::sleep(SUPERVISE_INTERVAL.as_duration());
        tokio::select! {
            () = server::stopped(&mut stop) => break,
            () = pause => {}
        }
        stop_lost(&cx, &mut running);
        start_gained(&cx, &mut running, &mut tasks);
        while tasks.try_join_next().is_some() {}
    }
    running.values().for_each(|stop| {
        stop.send_replace(true);
    });
    while tasks.join_next().await.is_some() {}
}

fn stop_lost(cx: &shared::Shared, running: &mut sorted::Map<id::ModelId, watch::Sender<bool>>) {
    running.retain(|model, stop| {
        let serves = cx.serves(&ownership::Role::Scheduler(model.clone()));
        if !serves {
            stop.send_replace(true);
            cx.placement.put(model, None);
        }
        serves
    });
}

fn start_gained(
    cx: &sync::Arc<shared::Shared>,
    running: &mut sorted::Map<id::ModelId, watch::Sender<bool>>,
    tasks: &mut task::JoinSet<()>,
) {
    let config = cx.config();
    for model in config.models.keys() {
        let role = ownership::Role::Scheduler(model.clone());
        if running.contains(model) || !cx.serves(&role) {
            continue;
        }
        let (stop, stopped) = watch::channel(false);
        let (tx, rx) = mpsc::channel(QUEUE_CAPACITY);
        cx.placement.put(model, Some(tx.clone()));
        running.insert(model.clone(), stop);
        let task = SchedulerTask::new(sync::Arc::clone(cx), model.clone(), tx);
        tasks.spawn(task.run(rx, stopped));
    }
}

/// What is known of a placement that a gateway asked for.
#[derive(Debug)]
struct PlaceState {
    gateway: id::InstanceId,
    last_asked: clock::Millis,
    waiting: Option<oneshot::Sender<scheduler::Reply>>,
    decided: Option<scheduler::Reply>,
}

/// The task that runs the scheduler of one model.
struct SchedulerTask {
    cx: sync::Arc<shared::Shared>,
    model: id::ModelId,
    scheduler: scheduler::Scheduler,
    places: sorted::Map<id::RequestId, PlaceState>,
    tx: mpsc::Sender<Message>,
    cancels: task::JoinSet<()>,
    revision: id::Revision,
    leaving: Vec<id::BackendServerId>,
}

impl SchedulerTask {
    fn new(cx: sync::Arc<shared::Shared>, model: id::ModelId, tx: mpsc::Sender<Message>) -> Self {
        let settings = scheduler::Settings {
            placement: cx.settings.placement,
            objective: cx.settings.objective,
            ..scheduler::Settings::default()
        };
        // Successive owners must not use the same reservation ids, so each epoch has its own range.
        let first = cx.config().epoch.as_u64() << 32;
        let now = cx.clock.now();
        Self {
            scheduler: scheduler::Scheduler::new(now, model.clone(), settings, first),
            cx,
            model,
            places: sorted::Map::new(),
            tx,
            cancels: task::JoinSet::new(),
            revision: id::Revision::default(),
            leaving: Vec::new(),
        }
    }

    async fn run(mut self, mut rx: mpsc::Receiver<Message>, mut stop: watch::Receiver<bool>) {
        let mut pollers = poller::Pollers::default();
        loop {
            self.configure(&mut pollers);
            let now = self.cx.clock.now();
            let until = self.scheduler.next_wakeup().min(now + MAX_STEP_INTERVAL);
            let pause = time::sleep((until - now).as_duration());
            tokio::select! {
                () = server::stopped(&mut stop) => break,
                message = rx.recv() => match message {
                    Some(message) => self.handle(message),
                    None => break,
                },
                () = pause => self.step(scheduler::Input::Tick),
            }
            self.expire_places();
            while self.cancels.try_join_next().is_some() {}
        }
        pollers.stop().await;
        self.cancels.shutdown().await;
    }

    fn configure(&mut self, pollers: &mut poller::Pollers) {
        let config = self.cx.config();
        let leaving = self.cx.platform.leaving();
        if config.revision == self.revision && leaving == self.leaving {
            return;
        }
        self.leaving = leaving;
        let Some(model) = config.models.get(&self.model).cloned() else {
            return;
        };
        let servers = servers_of(&config, &self.model, &self.leaving);
        pollers.configure(&servers, &self.tx);
        self.end_gone_gateways(&config);
        self.revision = config.revision;
        self.step(scheduler::Input::Configure {
            servers,
            model,
            accounts: config.accounts.clone(),
        });
    }

    fn end_gone_gateways(&mut self, config: &change::Config) {
        let mut gone: Vec<_> = self
            .places
            .values()
            .filter(|state| !config.members.contains(&state.gateway))
            .map(|state| state.gateway.clone())
            .collect();
        gone.sort();
        gone.dedup();
        for gateway in gone {
            self.step(scheduler::Input::GatewayGone(gateway));
        }
    }

    fn handle(&mut self, message: Message) {
        match message {
            Message::Input(input) => self.step(*input),
            Message::Request(req) => self.handle_request(req),
        }
    }

    fn handle_request(&mut self, req: GatewayRequest) {
        let scheduler::Request::Place(place) = &req.request else {
            let input = scheduler::Input::Request {
                gateway: req.gateway,
                request: req.request,
            };
            return self.step_with_reply(input, req.reply);
        };
        let key = place.request;
        let now = self.cx.clock.now();
        if let Some(state) = self.places.get_mut(&key) {
            state.last_asked = now;
            match state.decided.clone() {
                Some(reply) => drop(req.reply.send(reply)),
                None => state.waiting = Some(req.reply),
            }
            return;
        }
        let state = PlaceState {
            gateway: req.gateway.clone(),
            last_asked: now,
            waiting: Some(req.reply),
            decided: None,
        };
        self.places.insert(key, state);
        self.step(scheduler::Input::Request {
            gateway: req.gateway,
            request: req.request,
        });
    }

    fn step(&mut self, input: scheduler::Input) {
        let outputs = self.scheduler.step(self.cx.clock.now(), input);
        for output in outputs {
            self.apply_output(output, &mut None);
        }
    }

    fn step_with_reply(
        &mut self,
        input: scheduler::Input,
        reply: oneshot::Sender<scheduler::Reply>,
    ) {
        let mut reply = Some(reply);
        let outputs = self.scheduler.step(self.cx.clock.now(), input);
        for output in outputs {
            self.apply_output(output, &mut reply);
        }
    }

    fn apply_output(
        &mut self,
        output: scheduler::Output,
        reply_tx: &mut Option<oneshot::Sender<scheduler::Reply>>,
    ) {
        match output {
            scheduler::Output::Reply { request, reply, .. } => self.decide(request, reply),
            scheduler::Output::ImmediateReply { reply } => {
                if let Some(tx) = reply_tx.take() {
                    // The gateway may no longer wait; it asks again or lets its lease expire.
                    let _ = tx.send(reply);
                }
            }
            scheduler::Output::Cancel { server, request } => self.cancel(server, request),
        }
    }

    fn decide(&mut self, request: id::RequestId, reply: scheduler::Reply) {
        let Some(state) = self.places.get_mut(&request) else {
            return;
        };
        if let Some(tx) = state.waiting.take() {
            let _ = tx.send(reply.clone());
        }
        state.decided = Some(reply);
    }

    /// Drops placements that no gateway has asked for since [`PLACE_EXPIRY`], and abandons those
    /// that still wait.
    fn expire_places(&mut self) {
        let now = self.cx.clock.now();
        let mut abandoned = Vec::new();
        self.places.retain(|key, state| {
            let keep = now - state.last_asked < PLACE_EXPIRY;
            if !keep && state.decided.is_none() {
                abandoned.push(*key);
            }
            keep
        });
        for request in abandoned {
            self.step(scheduler::Input::Abandoned(request));
        }
    }

    fn cancel(&mut self, server: id::BackendServerId, request: id::RequestId) {
        let config = self.cx.config();
        let address = config.servers.get(&server).map(|s| s.address);
        let tx = self.tx.clone();
        self.cancels.spawn(async move {
            let confirmed = match address {
                Some(address) => engine::Engine::new(address).cancel(request).await.is_ok(),
                None => true,
            };
            if !confirmed {
                time::sleep(CANCEL_RETRY_DELAY.as_duration()).await;
            }
            let input = scheduler::Input::Cancelled {
                server,
                request,
                confirmed,
            };
            // Sending fails only when the scheduler task has ended.
            let _ = tx.send(Message::Input(Box::new(input))).await;
        });
    }
}

fn servers_of(
    config: &change::Config,
    model: &id::ModelId,
    leaving: &[id::BackendServerId],
) -> Vec<model::BackendServer> {
    config
        .servers
        .values()
        .filter(|server| server.models.contains(model))
        .map(|server| with_platform_state(server, leaving))
        .collect()
}

/// Marks a server as leaving when the platform lists it so, even if the operators have not yet.
fn with_platform_state(
    server: &model::BackendServer,
    leaving: &[id::BackendServerId],
) -> model::BackendServer {
    let mut server = server.clone();
    if server.state == model::ServerState::InService && leaving.contains(&server.id) {
        server.state = model::ServerState::Leaving;
    }
    server
}
