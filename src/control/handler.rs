//! Handles requests of other processes at a member of the control group.

use std::sync;

use tokio::time;

use crate::control::proposer;
use crate::control::sessions;
use crate::controller::membership;
use crate::id;
use crate::peer::message;
use crate::peer::server;
use crate::replica::group;
use crate::state::command;

/// Answers gateways and other members of the control group.
#[derive(Debug)]
pub struct Handler {
    group: group::Group,
    sessions: sync::Arc<sessions::Sessions>,
}

impl server::Handler for Handler {
    async fn handle(&self, from: id::InstanceId, request: message::Request) -> message::Reply {
        match request {
            message::Request::Replica(bytes) => self.handle_replica_message(&from, &bytes),
            message::Request::Watch(watch) if watch.member.id == from => self.watch(watch).await,
            message::Request::Propose(command) => self.propose(&command).await,
            message::Request::Leave(incarnation) => self.leave(from, incarnation).await,
            message::Request::Ping => message::Reply::Accepted,
            message::Request::Watch(_)
            | message::Request::Report(_)
            | message::Request::Permit(_)
            | message::Request::Retry(_)
            | message::Request::Run(_)
            | message::Request::Begun(_)
            | message::Request::Origin(_)
            | message::Request::Forward(_)
            | message::Request::Limiter(_)
            | message::Request::HandOver(_)
            | message::Request::Scheduler(_) => message::Reply::Unsupported,
        }
    }
}

impl Handler {
    pub fn new(group: group::Group, sessions: sync::Arc<sessions::Sessions>) -> Self {
        Self { group, sessions }
    }

    fn handle_replica_message(&self, from: &id::InstanceId, bytes: &[u8]) -> message::Reply {
        match self.group.handle_message(from, bytes) {
            Ok(()) => message::Reply::Accepted,
            Err(e) => {
                log::warn!("refused a message of the replicated log from {from}: {e}");
                message::Reply::Unsupported
            }
        }
    }

    async fn propose(&self, command: &command::Command) -> message::Reply {
        match self.group.submit(command).await {
            Ok(outcome) => self.reply_to(outcome),
            Err(e) => {
                log::warn!("refused a proposed command: {e}");
                message::Reply::Unsupported
            }
        }
    }

    /// Removes a gateway that says it is leaving, so that the next incarnation and the next owners
    /// of its roles need not wait for its session to end.
    async fn leave(&self, from: id::InstanceId, incarnation: id::Incarnation) -> message::Reply {
        if self.group.watch().borrow().leads.is_none() {
            return self.not_leader();
        }
        let changes = self.sessions.step(membership::Input::Leave {
            instance: from,
            incarnation,
        });
        if changes.is_empty() {
            return message::Reply::Accepted;
        }
        match proposer::propose(&self.sessions, changes).await {
            group::Outcome::Applied(_) => message::Reply::Accepted,
            other => self.reply_to(other),
        }
    }

    /// Holds a watch until there is a new revision or settled epoch or its time is up, then confirms
    /// leadership and answers.
    async fn watch(&self, watch: message::Watch) -> message::Reply {
        let mut view = self.group.watch();
        if view.borrow().leads.is_none() {
            return self.not_leader();
        }
        let instance = watch.member.id.clone();
        let incarnation = watch.member.incarnation;
        let max_watch_wait = watch.wait.min(self.sessions.max_watch_wait());
        let have = watch.have;
        self.sessions.step_and_queue(membership::Input::Watch {
            member: watch.member,
            have,
        });
        let mut settled = self.sessions.watch_settled();
        let new_epoch = async {
            while !self.sessions.has_unsent_epoch(incarnation) {
                if settled.changed().await.is_err() {
                    return;
                }
            }
        };
        let new_revision = view.wait_for(|v| v.revision > have || v.leads.is_none());
        let woken = async {
            tokio::select! {
                () = new_epoch => (),
                _ = new_revision => (),
            }
        };
        // A watch without news is answered too, since the answer renews the gateway's lease.
        let _ = time::timeout(max_watch_wait.as_duration(), woken).await;
        if self.group.ensure_linearizable().await.is_err() {
            return self.not_leader();
        }
        if !self.sessions.may_answer(&instance, incarnation) {
            return message::Reply::NotLeader(None);
        }
        let settled = self.sessions.mark_settled_sent(incarnation);
        message::Reply::Watched(self.watched(have, settled))
    }

    fn watched(&self, have: id::Revision, settled: id::Epoch) -> message::Watched {
        let update = self
            .group
            .with_state(|state| match state.commits_after(have) {
                Some(commits) => message::Update::Commits(commits.to_vec()),
                None => message::Update::Snapshot(Box::new(state.config().clone())),
            });
        message::Watched { update, settled }
    }

    fn not_leader(&self) -> message::Reply {
        message::Reply::NotLeader(self.group.status().leader_peer())
    }

    fn reply_to(&self, outcome: group::Outcome) -> message::Reply {
        match outcome {
            group::Outcome::Applied(answer) => message::Reply::Applied(answer),
            group::Outcome::NotLeader(_) => self.not_leader(),
            group::Outcome::Uncertain => message::Reply::Uncertain,
            group::Outcome::Busy => message::Reply::NotLeader(None),
            group::Outcome::Done | group::Outcome::Invalid => message::Reply::Unsupported,
        }
    }
}
