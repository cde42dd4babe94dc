//! The typed messages between processes.

use crate::clock;
use crate::config::settings;
use crate::controller::limiter;
use crate::controller::scheduler;
use crate::fleet::message as fleet;
use crate::id;
use crate::macros;
use crate::state::change;
use crate::state::command;
use crate::state::model;

macros::data! {float
    /// What one process asks of another.
    pub enum Request {
        /// A message of the replicated log, encoded by [`crate::replica`]; answered `Accepted`.
        Replica(Vec<u8>),
        /// A gateway's heartbeat, and its wish for commits after a revision.
        Watch(Watch),
        /// A gateway's last message: it holds no role, request or stream any more.
        Leave(id::Incarnation),
        /// A command for the replicated log, for the leader only.
        Propose(command::Command),
        /// A request to the limiter owner of an account.
        Limiter(Owned<limiter::Request>),
        /// The bucket of an account for its next owner; answered `Accepted`.
        HandOver(Box<limiter::HandOver>),
        /// A request to the scheduler owner of a model.
        Scheduler(Owned<Scheduling>),
        /// A router's report to the leader.
        Report(Box<fleet::Report>),
        /// A question whether the peer is alive; answered `Accepted`.
        Ping,
    }
}

macros::data! {float
    /// What a process answers.
    pub enum Reply {
        /// The message was taken in.
        Accepted,
        /// The answer to a watch.
        Watched(Watched),
        /// The answer to a command that was committed and applied.
        Applied(command::Answer),
        /// This member does not lead the control group; perhaps the named one does.
        NotLeader(Option<settings::ControlPeer>),
        /// The command was not committed in time; it may be committed later.
        Uncertain,
        /// The leader's answer to a report.
        Summary(Box<fleet::Summary>),
        /// The answer of a limiter owner.
        Limiter(limiter::Reply),
        /// The answer of a scheduler owner.
        Scheduler(scheduler::Reply),
        /// This instance does not own the role in this epoch, or not yet.
        NotOwner(id::Epoch),
        /// The request does not fit this process.
        Unsupported,
    }
}

macros::data! {float
    /// A message to the owner of a role, with the epoch in which the sender sees it as owner.
    pub struct Owned<T> {
        /// The sender's epoch.
        pub epoch: id::Epoch,
        /// The message.
        pub message: T,
    }
}

macros::data! {float
    /// A request to the scheduler owner of one model.
    pub struct Scheduling {
        /// The model.
        pub model: id::ModelId,
        /// The request.
        pub request: scheduler::Request,
    }
}

macros::data! {
    /// A gateway's heartbeat and its wish for commits.
    pub struct Watch {
        /// The gateway as it wants to be a member.
        pub member: model::Member,
        /// The revision that it has in force; zero when it just started.
        pub have: id::Revision,
        /// How long the leader may hold the answer while there is no newer commit.
        pub wait: clock::Millis,
    }
}

macros::data! {
    /// The answer to a [`Watch`], given by a leader that confirmed its lead since the watch came.
    pub struct Watched {
        /// What brings the gateway up to date.
        pub update: Update,
        /// The epoch that every member has in force; owners new in a later epoch must wait.
        pub settled: id::Epoch,
    }
}

macros::data! {
    /// What brings a gateway's configuration up to date.
    pub enum Update {
        /// The commits after the revision that the gateway has.
        Commits(Vec<change::Commit>),
        /// The whole configuration, for a gateway that is too far behind.
        Snapshot(Box<change::Config>),
    }
}
