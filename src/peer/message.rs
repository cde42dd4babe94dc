//! The messages between processes.

use crate::clock;
use crate::config::settings;
use crate::controller::limiter;
use crate::controller::scheduler;
use crate::error;
use crate::fleet::budget;
use crate::fleet::crashes;
use crate::fleet::forward;
use crate::fleet::message as fleet;
use crate::fleet::origin;
use crate::fleet::permit;
use crate::id;
use crate::macros;
use crate::peer::trailer;
use crate::state::change;
use crate::state::command;
use crate::state::model;

macros::data! {float
    /// A request of one process to another.
    pub enum Request {
        /// A message of the replicated log, encoded by [`crate::replica`]; answered `Accepted`.
        Replica(Vec<u8>),
        /// A gateway's heartbeat, which also asks for the commits after a revision.
        Watch(Watch),
        /// A gateway's last message, with its incarnation: it holds no role, request or stream any
        /// more.
        Leave(id::Incarnation),
        /// A command for the replicated log; only the leader accepts it.
        Propose(command::Command),
        /// A request to the limiter owner of an account.
        Limiter(ToOwner<limiter::Request>),
        /// Hands over the bucket of an account to its next owner; answered `Accepted`.
        HandOver(Box<limiter::HandOver>),
        /// A request to the scheduler owner of a model.
        Scheduler(ToOwner<Scheduling>),
        /// A router's report to the leader.
        Report(Box<fleet::Report>),
        /// A router's question to the leader for permits for calls.
        Permit(Box<permit::Ask>),
        /// A router's question to the leader for a share of the retry budget.
        Retry(budget::Ask),
        /// A router's question to the leader whether a request with these fingerprints may run.
        Run(Vec<model::Fingerprint>),
        /// Streams that began at a router, for the leader; answered `Begun`.
        Begun(Vec<origin::Record>),
        /// A router's question to the leader where a stream began.
        Origin(origin::Question),
        /// Asks whether the peer is alive; answered `Accepted`.
        Ping,
        /// A router passes a caller's request on through another one.
        Forward(Box<forward::Ask>),
    }
}

macros::data! {float
    /// The reply to a [`Request`].
    pub enum Reply {
        /// The message was accepted.
        Accepted,
        /// The answer to a watch.
        Watched(Watched),
        /// The answer to a command that was committed and applied.
        Applied(command::Answer),
        /// This member does not lead the control group; the named one may lead it.
        NotLeader(Option<settings::ControlPeer>),
        /// The command was not committed in time; it may be committed later.
        Uncertain,
        /// The leader's answer to a report.
        Summary(Box<fleet::Summary>),
        /// The leader's answer to a question for permits.
        Permit(permit::Answer),
        /// The leader's answer to a question for a share of the retry budget.
        Retry(budget::Answer),
        /// The leader's answer to the question whether a request may run.
        Run(crashes::Answer),
        /// The leader in this term knows the streams.
        Begun(id::Term),
        /// The leader's answer to the question where a stream began.
        Origin(origin::Answer),
        /// The answer of a limiter owner.
        Limiter(limiter::Reply),
        /// The answer of a scheduler owner.
        Scheduler(scheduler::Reply),
        /// This instance does not own the role in this epoch, or does not own it yet.
        NotOwner(id::Epoch),
        /// This kind of process does not handle the request, or refused it as invalid.
        Unsupported,
        /// The answer of a router through which a request is passed on.
        Forward(Box<forward::Answer>),
    }
}

impl Request {
    /// Returns whether the request may be sent again to a later incarnation of a peer, which can't know
    /// whether an earlier one has acted on it.
    pub const fn may_repeat(&self) -> bool {
        !matches!(self, Self::Forward(_))
    }

    /// Returns the protocol version from which on a peer can read this request.
    pub const fn min_version(&self) -> trailer::ProtocolVersion {
        trailer::FIRST
    }

    /// Encodes the request, with what is newer than the first release in the trailer.
    ///
    /// # Errors
    ///
    /// Fails when it can't be encoded, which is a bug.
    pub fn to_bytes(&self) -> error::Result<Vec<u8>> {
        let trailer = match self {
            Self::Report(report) => report.extension.to_trailer()?,
            _ => trailer::Trailer::new(),
        };
        trailer.append_to(self)
    }

    /// Decodes a request of this or the first release.
    ///
    /// # Errors
    ///
    /// Fails when the bytes can't be decoded.
    pub fn from_bytes(buf: &[u8]) -> error::Result<Self> {
        let (mut request, trailer) = trailer::Trailer::split(buf)?;
        if let Self::Report(report) = &mut request {
            report.extension = fleet::ReportExtension::from_trailer(&trailer)?;
        }
        Ok(request)
    }
}

impl Reply {
    /// Encodes what the reply has beyond the first release.
    pub(super) fn to_trailer(&self) -> error::Result<trailer::Trailer> {
        match self {
            Self::Summary(summary) => summary.extension.to_trailer(),
            _ => Ok(trailer::Trailer::new()),
        }
    }

    /// Takes over what a trailer has beyond the first release.
    pub(super) fn extend(&mut self, trailer: &trailer::Trailer) -> error::Result<()> {
        if let Self::Summary(summary) = self {
            summary.extension = fleet::SummaryExtension::from_trailer(trailer)?;
        }
        Ok(())
    }
}

macros::data! {float
    /// A message to the owner of a role, with the epoch in which the sender sees the receiver as the
    /// owner.
    pub struct ToOwner<T> {
        /// The epoch of the sender's configuration.
        pub epoch: id::Epoch,
        pub message: T,
    }
}

macros::data! {float
    /// A request to the scheduler owner of one model.
    pub struct Scheduling {
        pub model: id::ModelId,
        pub request: scheduler::Request,
    }
}

macros::data! {
    /// A gateway's heartbeat, which also asks for new commits.
    pub struct Watch {
        /// The record that the gateway asks to have in the membership.
        pub member: model::Member,
        /// The revision that the gateway has applied; zero when it has just started.
        pub have: id::Revision,
        /// How long the leader may hold the answer while there is no newer commit or settled epoch.
        pub wait: clock::Millis,
    }
}

macros::data! {
    /// The answer to a [`Watch`] by a leader that confirmed its leadership after the watch arrived.
    pub struct Watched {
        pub update: Update,
        /// The newest epoch that every member has applied; owners that are new in a later epoch must
        /// wait.
        pub settled: id::Epoch,
    }
}

macros::data! {
    /// Brings a gateway's configuration up to date.
    pub enum Update {
        /// The commits after the revision that the gateway has.
        Commits(Vec<change::Commit>),
        /// The whole configuration, for a gateway behind the commits that are kept.
        Snapshot(Box<change::Config>),
    }
}
