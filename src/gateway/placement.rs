//! The scheduler role: one task for each model that this gateway owns, and the way to the owner
//! of any model.

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

/// The inputs that may wait for a scheduler.
const QUEUE: usize = 16_384;
/// The longest time that the answer to one `Place` is held; the gateway then asks again.
const HOLD: clock::Millis = clock::Millis::new(400);
/// The longest time that one message to an owner may take beside the hold.
const OWNER_TIMEOUT: clock::Millis = clock::Millis::new(400);
/// The longest time between two steps of a scheduler.
const TICK: clock::Millis = clock::Millis::new(100);
/// The time after which a decided place is forgotten, and a waiting one that no gateway asks for
/// any more is withdrawn.
const ASKED_AGE: clock::Millis = clock::Millis::new(2_000);
/// The time between the starts of roles that were gained.
const SUPERVISION: clock::Millis = clock::Millis::new(50);
/// The pause before a cancel that was not confirmed is tried again.
const CANCEL_PAUSE: clock::Millis = clock::Millis::new(100);

/// The schedulers that run at this gateway.
#[derive(Debug, Default)]
pub struct Placement {
    services: sync::RwLock<sorted::Map<id::ModelId, mpsc::Sender<Message>>>,
}

/// What a scheduler's task is told.
#[derive(Debug)]
pub enum Message {
    /// A gateway's request, and where its answer goes.
    Ask(Ask),
    /// Something that needs no answer.
    Note(Box<scheduler::Input>),
}

/// A gateway's request to a scheduler.
#[derive(Debug)]
pub struct Ask {
    gateway: id::InstanceId,
    request: scheduler::Request,
    reply: oneshot::Sender<scheduler::Reply>,
}

impl Placement {
    /// Answers a gateway as the owner of a model, or returns `None` when it is not.
    pub async fn serve(
        &self,
        gateway: id::InstanceId,
        model: &id::ModelId,
        request: scheduler::Request,
    ) -> Option<scheduler::Reply> {
        let tx = self.read().get(model).cloned()?;
        let (reply, answer) = oneshot::channel();
        let ask = Ask {
            gateway,
            request,
            reply,
        };
        tx.try_send(Message::Ask(ask)).ok()?;
        time::timeout(HOLD.as_duration(), answer)
            .await
            .map_or(Some(scheduler::Reply::Waiting), Result::ok)
    }

    fn read(&self) -> sync::RwLockReadGuard<'_, sorted::Map<id::ModelId, mpsc::Sender<Message>>> {
        self.services
            .read()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    fn put(&self, model: &id::ModelId, tx: Option<mpsc::Sender<Message>>) {
        let mut services = self
            .services
            .write()
            .unwrap_or_else(sync::PoisonError::into_inner);
        match tx {
            Some(tx) => services.insert(model.clone(), tx),
            None => services.remove(model),
        };
    }
}

/// Asks the owner of a model once; `None` when there is none or it does not answer.
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
    let message = message::Request::Scheduler(message::Owned {
        epoch: cx.config().epoch,
        message: message::Scheduling { model, request },
    });
    let timeout = HOLD + OWNER_TIMEOUT;
    let reply = cx
        .links
        .request(owner.peer_address, &message, timeout)
        .await;
    match reply {
        Ok(message::Reply::Scheduler(reply)) => Some(reply),
        _ => None,
    }
}

/// Starts and ends the tasks of schedulers as roles come and go, until `stop` turns true.
pub async fn supervise(cx: sync::Arc<shared::Shared>, mut stop: watch::Receiver<bool>) {
    let mut running: sorted::Map<id::ModelId, watch::Sender<bool>> = sorted::Map::new();
    let mut tasks = task::JoinSet::new();
    loop {
        let pause = time::sleep(SUPERVISION.as_duration());
        tokio::select! {
            () = server::stopped(&mut stop) => break,
            () = pause => {}
        }
        end_lost(&cx, &mut running);
        start_gained(&cx, &mut running, &mut tasks);
        while tasks.try_join_next().is_some() {}
    }
    running.values().for_each(|stop| {
        stop.send_replace(true);
    });
    while tasks.join_next().await.is_some() {}
}

fn end_lost(cx: &shared::Shared, running: &mut sorted::Map<id::ModelId, watch::Sender<bool>>) {
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
        let (tx, rx) = mpsc::channel(QUEUE);
        cx.placement.put(model, Some(tx.clone()));
        running.insert(model.clone(), stop);
        let service = Service::new(sync::Arc::clone(cx), model.clone(), tx);
        tasks.spawn(service.run(rx, stopped));
    }
}

/// The state of a place asked for.
#[derive(Debug)]
struct Asked {
    gateway: id::InstanceId,
    last_asked: clock::Millis,
    waiting: Option<oneshot::Sender<scheduler::Reply>>,
    decided: Option<scheduler::Reply>,
}

struct Service {
    cx: sync::Arc<shared::Shared>,
    model: id::ModelId,
    scheduler: scheduler::Scheduler,
    asked: sorted::Map<id::RequestId, Asked>,
    tx: mpsc::Sender<Message>,
    cancels: task::JoinSet<()>,
    revision: id::Revision,
    leaving: Vec<id::BackendServerId>,
}

impl Service {
    fn new(cx: sync::Arc<shared::Shared>, model: id::ModelId, tx: mpsc::Sender<Message>) -> Self {
        let settings = scheduler::Settings {
            placement: cx.settings.placement,
            objective: cx.settings.objective,
            ..scheduler::Settings::default()
        };
        // Reservations of different owners must not share numbers: each epoch has its own range.
        let first = cx.config().epoch.as_u64() << 32;
        let now = cx.clock.now();
        Self {
            scheduler: scheduler::Scheduler::new(now, model.clone(), settings, first),
            cx,
            model,
            asked: sorted::Map::new(),
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
            let until = self.scheduler.next_wakeup().min(now + TICK);
            let pause = time::sleep((until - now).as_duration());
            tokio::select! {
                () = server::stopped(&mut stop) => break,
                message = rx.recv() => match message {
                    Some(message) => self.take(message),
                    None => break,
                },
                () = pause => self.step(scheduler::Input::Tick),
            }
            self.forget();
            while self.cancels.try_join_next().is_some() {}
        }
        pollers.end().await;
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
            .asked
            .values()
            .filter(|asked| !config.members.contains(&asked.gateway))
            .map(|asked| asked.gateway.clone())
            .collect();
        gone.sort();
        gone.dedup();
        for gateway in gone {
            self.step(scheduler::Input::GatewayGone(gateway));
        }
    }

    fn take(&mut self, message: Message) {
        match message {
            Message::Note(input) => self.step(*input),
            Message::Ask(ask) => self.ask(ask),
        }
    }

    fn ask(&mut self, ask: Ask) {
        let scheduler::Request::Place(place) = &ask.request else {
            let input = scheduler::Input::Request {
                gateway: ask.gateway,
                request: ask.request,
            };
            return self.step_for(input, ask.reply);
        };
        let key = place.request;
        let now = self.cx.clock.now();
        if let Some(asked) = self.asked.get_mut(&key) {
            asked.last_asked = now;
            match asked.decided.clone() {
                Some(reply) => drop(ask.reply.send(reply)),
                None => asked.waiting = Some(ask.reply),
            }
            return;
        }
        let asked = Asked {
            gateway: ask.gateway.clone(),
            last_asked: now,
            waiting: Some(ask.reply),
            decided: None,
        };
        self.asked.insert(key, asked);
        self.step(scheduler::Input::Request {
            gateway: ask.gateway,
            request: ask.request,
        });
    }

    fn step(&mut self, input: scheduler::Input) {
        let outputs = self.scheduler.step(self.cx.clock.now(), input);
        for output in outputs {
            self.act(output, &mut None);
        }
    }

    fn step_for(&mut self, input: scheduler::Input, reply: oneshot::Sender<scheduler::Reply>) {
        let mut reply = Some(reply);
        let outputs = self.scheduler.step(self.cx.clock.now(), input);
        for output in outputs {
            self.act(output, &mut reply);
        }
    }

    fn act(
        &mut self,
        output: scheduler::Output,
        noted: &mut Option<oneshot::Sender<scheduler::Reply>>,
    ) {
        match output {
            scheduler::Output::Reply { request, reply, .. } => self.decide(request, reply),
            scheduler::Output::ImmediateReply { reply } => {
                if let Some(tx) = noted.take() {
                    // The gateway may have given up; it asks again or lets the lease end.
                    let _ = tx.send(reply);
                }
            }
            scheduler::Output::Cancel { server, request } => self.cancel(server, request),
        }
    }

    fn decide(&mut self, request: id::RequestId, reply: scheduler::Reply) {
        let Some(asked) = self.asked.get_mut(&request) else {
            return;
        };
        if let Some(tx) = asked.waiting.take() {
            let _ = tx.send(reply.clone());
        }
        asked.decided = Some(reply);
    }

    /// Forgets places decided long ago, and withdraws waiting ones that nobody asks for.
    fn forget(&mut self) {
        let now = self.cx.clock.now();
        let mut abandoned = Vec::new();
        self.asked.retain(|key, asked| {
            let keep = now - asked.last_asked < ASKED_AGE;
            if !keep && asked.decided.is_none() {
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
                time::sleep(CANCEL_PAUSE.as_duration()).await;
            }
            let input = scheduler::Input::Cancelled {
                server,
                request,
                confirmed,
            };
            // The service is gone when this fails, and its owner's tasks with it.
            let _ = tx.send(Message::Note(Box::new(input))).await;
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
        .map(|server| with_platform(server, leaving))
        .collect()
}

/// Takes a server out of service as soon as either the operators or the platform say so.
fn with_platform(
    server: &model::BackendServer,
    leaving: &[id::BackendServerId],
) -> model::BackendServer {
    let mut server = server.clone();
    if server.state == model::ServerState::InService && leaving.contains(&server.id) {
        server.state = model::ServerState::Leaving;
    }
    server
}
