//! Places model requests on prefill and decode servers. Each model has one owner that decides.
//!
//! [`Scheduler`] is a state machine without I/O: the owner gateway passes it each [`Input`] and the
//! time, and carries out each [`Output`]. docs/PLACEMENT.md describes the policy.

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

/// The most backend servers that one scheduler uses; further ones, by id, get no requests.
pub const MAX_SERVERS: usize = prefix::MAX_SERVERS;

/// The longest time between two attempts to place waiting requests.
const WAITING_RECHECK_INTERVAL: clock::Millis = clock::Millis::new(10);

/// How often old records of ended requests and confirmed cancellations are removed.
const PRUNE_INTERVAL: clock::Millis = clock::Millis::new(1_000);

/// An input of [`Scheduler::step`].
#[derive(Clone, Debug)]
pub enum Input {
    /// A configuration, which replaces the previous one as a whole.
    Configure {
        servers: Vec<model::BackendServer>,
        model: model::Model,
        accounts: sorted::Map<id::ClientAccountId, model::ClientAccount>,
    },
    /// A server's report of its load, which describes a time in the past.
    Load {
        server: id::BackendServerId,
        load: wire::Load,
    },
    /// Changes of a server's prefix cache. They arrive late, and some may be missing.
    CacheEvents {
        server: id::BackendServerId,
        events: Vec<wire::CacheEvent>,
    },
    /// The requests that a server itself says it holds.
    HeldRequests {
        server: id::BackendServerId,
        held: wire::Held,
    },
    /// A message from a gateway.
    Request {
        gateway: id::InstanceId,
        request: message::Request,
    },
    /// No gateway asks for a placement of this request any more.
    Abandoned(id::RequestId),
    /// A gateway has left: nobody renews its reservations or ends its requests.
    GatewayGone(id::InstanceId),
    /// The result of an [`Output::Cancel`].
    Cancelled {
        server: id::BackendServerId,
        request: id::RequestId,
        /// Whether the server confirmed that it holds nothing for the request.
        confirmed: bool,
    },
    /// Only time has passed.
    Tick,
}

/// An action for the caller of [`Scheduler::step`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// The answer to a [`Request::Place`]. Each gets exactly one, unless it is abandoned or its
    /// gateway has left.
    Reply {
        /// The gateway that asked.
        gateway: id::InstanceId,
        request: id::RequestId,
        reply: message::Reply,
    },
    /// The answer to the message of this step, unless that was a [`Request::Place`].
    ImmediateReply { reply: message::Reply },
    /// An order to free everything that a server holds for a request.
    Cancel {
        server: id::BackendServerId,
        request: id::RequestId,
    },
}

/// Decides the placements of one model's requests.
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
    /// Creates a scheduler that numbers its reservations from `first_reservation`.
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

    /// Processes one input and returns the actions to carry out. Time does not go back: a `now`
    /// before an earlier one counts as the earlier one.
    ///
    /// # Panics
    ///
    /// Panics on a configuration of another model, and when an internal invariant is broken.
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

    /// Returns the time by which the scheduler needs an [`Input::Tick`].
    pub fn next_wakeup(&self) -> clock::Millis {
        let waiting = match self.queue.is_empty() {
            true => clock::Millis::MAX,
            false => self.now + WAITING_RECHECK_INTERVAL,
        };
        waiting
            .min(self.reservations.check_at())
            .min(self.cancellations.next_due())
    }

    /// Returns counts of the current work and of the decisions so far.
    pub fn summary(&self) -> Summary {
        let mut summary = self.summary.clone();
        summary.waiting = self.queue.len();
        summary.cancelling = self.cancellations.len();
        summary.count_phases(self.reservations.iter().map(|(_, r)| r));
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

    /// Returns whether requests may be placed: gateways have had the time to report the
    /// reservations that a previous owner made.
    fn is_ready(&self) -> bool {
        self.model.is_some() && self.now >= self.started + self.settings.report_grace
    }
}
