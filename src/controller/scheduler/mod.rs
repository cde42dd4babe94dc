//! Placement of model requests on prefill and decode servers, decided by one owner for a model.
//!
//! [`Scheduler`] is a state machine without I/O: the owner gateway feeds it [`Input`] and the time
//! and does what each [`Output`] says. docs/PLACEMENT.md describes the policy.

pub mod message;
pub mod settings;

mod account;
mod admission;
mod baseline;
mod cancel;
mod fleet;
mod health;
mod lifecycle;
mod link;
mod maintenance;
mod occupancy;
mod placing;
mod plan;
mod prefix;
mod queue;
mod rate;
mod report;
mod reservation;
mod server;
mod summary;
mod wait_time;

pub use message::{
    Finish, LiveReservation, Place, PlaceKind, Placement, Prefilled, Refusal, Reply, Request,
};
pub use settings::Settings;
pub use summary::Summary;

use crate::backend::wire;
use crate::clock;
use crate::id;
use crate::sorted;
use crate::state::model;

/// The most backend servers of a shard; servers beyond, in the order of their names, get no work.
pub const MAX_SERVERS: usize = prefix::MAX_SERVERS;

/// How soon a scheduler looks again while requests wait.
const WAITING_RECHECK_INTERVAL: clock::Millis = clock::Millis::new(10);

/// How often past ends are forgotten.
const PRUNE_INTERVAL: clock::Millis = clock::Millis::new(1_000);

/// What a scheduler takes in.
#[derive(Clone, Debug)]
pub enum Input {
    /// The configuration, as a full replacement.
    Configure {
        /// The servers of the shard.
        servers: Vec<model::BackendServer>,
        /// The model.
        model: model::Model,
        /// The client accounts.
        accounts: sorted::Map<id::ClientAccountId, model::ClientAccount>,
    },
    /// A server's late report of its load.
    Load {
        /// The server.
        server: id::BackendServerId,
        /// Its report.
        load: wire::Load,
    },
    /// Late changes of a server's prefix cache, with gaps.
    CacheEvents {
        /// The server.
        server: id::BackendServerId,
        /// The changes.
        events: Vec<wire::CacheEvent>,
    },
    /// A server's own listing of what it holds.
    HeldRequests {
        /// The server.
        server: id::BackendServerId,
        /// The listing.
        held: wire::Held,
    },
    /// A message of a gateway.
    Request {
        /// The gateway.
        gateway: id::InstanceId,
        /// The message.
        request: message::Request,
    },
    /// No gateway asks for the place of this request any more.
    Abandoned(id::RequestId),
    /// A gateway is gone: nobody renews or ends what it started.
    GatewayGone(id::InstanceId),
    /// What came of an [`Output::Cancel`].
    Cancelled {
        /// The server.
        server: id::BackendServerId,
        /// The request.
        request: id::RequestId,
        /// Whether the server confirmed that it holds nothing for the request.
        confirmed: bool,
    },
    /// Time has passed.
    Tick,
}

/// What a scheduler wants done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// The answer to a [`Request::Place`]; exactly one for each unless its gateway is gone.
    Reply {
        /// The gateway that asked.
        gateway: id::InstanceId,
        /// The request.
        request: id::RequestId,
        /// The answer.
        reply: message::Reply,
    },
    /// The answer to the message that was just taken in, unless that was a [`Request::Place`].
    ImmediateReply {
        /// The answer.
        reply: message::Reply,
    },
    /// An order to free all that a server holds for a request.
    Cancel {
        /// The server.
        server: id::BackendServerId,
        /// The request.
        request: id::RequestId,
    },
}

/// The owner of one model's shard.
#[derive(Clone, Debug)]
pub struct Scheduler {
    now: clock::Millis,
    started: clock::Millis,
    model_id: id::ModelId,
    settings: Settings,
    model: Option<model::Model>,
    fleet: fleet::Fleet,
    prefixes: prefix::Map,
    reservations: reservation::Table,
    accounts: account::Accounts,
    queue: queue::Queue,
    cancellations: cancel::Table,
    baseline: baseline::Baseline,
    wait_times: wait_time::Estimator,
    summary: Summary,
    placements: u64,
    prune_at: clock::Millis,
    out: Vec<Output>,
}

impl Scheduler {
    /// Makes the owner of a model's shard; its reservations are numbered from `first_reservation`.
    pub fn new(
        now: clock::Millis,
        model: id::ModelId,
        settings: Settings,
        first_reservation: u64,
    ) -> Self {
        Self {
            now,
            started: now,
            model_id: model,
            settings,
            model: None,
            fleet: fleet::Fleet::default(),
            prefixes: prefix::Map::default(),
            reservations: reservation::Table::new(first_reservation),
            accounts: account::Accounts::default(),
            queue: queue::Queue::default(),
            cancellations: cancel::Table::default(),
            baseline: baseline::Baseline::default(),
            wait_times: wait_time::Estimator::default(),
            summary: Summary::default(),
            placements: 0,
            prune_at: now,
            out: Vec::new(),
        }
    }

    /// Takes in one input and returns what is to be done. A time before an earlier one counts as
    /// that one.
    pub fn step(&mut self, now: clock::Millis, input: Input) -> Vec<Output> {
        self.now = self.now.max(now);
        match input {
            Input::Configure {
                servers,
                model,
                accounts,
            } => self.configure(servers, model, &accounts),
            Input::Load { server, load } => self.apply_load(&server, &load),
            Input::CacheEvents { server, events } => self.apply_cache_events(&server, &events),
            Input::HeldRequests { server, held } => self.cancel_orphans(&server, &held),
            Input::Request { gateway, request } => self.on_request(gateway, request),
            Input::Abandoned(request) => self.on_abandoned(request),
            Input::GatewayGone(gateway) => self.on_gateway_gone(&gateway),
            Input::Cancelled {
                server,
                request,
                confirmed,
            } => self.on_cancelled(&server, request, confirmed),
            Input::Tick => {}
        }
        self.run_due_tasks();
        self.place_waiting();
        std::mem::take(&mut self.out)
    }

    /// Returns when [`Input::Tick`] is needed at the latest.
    pub fn next_wakeup(&self) -> clock::Millis {
        let waiting = match self.queue.is_empty() {
            true => clock::Millis::MAX,
            false => self.now + WAITING_RECHECK_INTERVAL,
        };
        waiting
            .min(self.reservations.check_at())
            .min(self.cancellations.next_due())
    }

    /// Returns the counts of what the scheduler holds and has done.
    pub fn summary(&self) -> Summary {
        let mut summary = self.summary.clone();
        summary.waiting = self.queue.len();
        summary.cancelling = self.cancellations.len();
        summary.count(self.reservations.iter().map(|(_, r)| r));
        summary
    }

    fn on_request(&mut self, gateway: id::InstanceId, request: message::Request) {
        let reply = match request {
            message::Request::Place(place) => return self.admit(gateway, place),
            message::Request::Prefilled(prefilled) => self.on_prefilled(gateway, &prefilled),
            message::Request::Transferred(number) => self.on_transferred(gateway, number),
            message::Request::SuspectCleared(number) => self.on_suspect_cleared(gateway, number),
            message::Request::Renew(numbers) => self.renew(&gateway, &numbers),
            message::Request::Finish(finish) => self.finish(gateway, &finish),
            message::Request::ServerFailed(server) => self.on_server_failed(&server),
            message::Request::Report(live) => self.restore(&gateway, live),
        };
        self.out.push(Output::ImmediateReply { reply });
    }

    fn configure(
        &mut self,
        mut servers: Vec<model::BackendServer>,
        model: model::Model,
        accounts: &sorted::Map<id::ClientAccountId, model::ClientAccount>,
    ) {
        assert!(
            model.id == self.model_id,
            "a configuration of another model"
        );
        servers.sort_by(|a, b| a.id.cmp(&b.id));
        servers.truncate(MAX_SERVERS);
        self.model = Some(model);
        self.accounts.configure(accounts);
        for index in self.fleet.configure(servers, &self.settings) {
            self.on_server_gone(index);
        }
        self.refuse_unservable();
    }

    /// Tells whether requests may be placed: reports of an earlier owner's time have come in.
    fn is_ready(&self) -> bool {
        self.model.is_some() && self.now >= self.started + self.settings.report_grace
    }
}
