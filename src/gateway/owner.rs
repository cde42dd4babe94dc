//! Answers other gateways as the owner of limiter and scheduler roles.

use std::sync;

use crate::gateway::shared;
use crate::id;
use crate::peer::message;
use crate::peer::server;

/// Handles the messages of other processes.
#[derive(Debug)]
pub struct Handler {
    cx: sync::Arc<shared::Shared>,
}

impl Handler {
    pub const fn new(cx: sync::Arc<shared::Shared>) -> Self {
        Self { cx }
    }

    async fn place(
        &self,
        from: id::InstanceId,
        owned: message::ToOwner<message::Scheduling>,
    ) -> message::Reply {
        let message::Scheduling { model, request } = owned.message;
        match self.cx.placement.serve(from, &model, request).await {
            Some(reply) => message::Reply::Scheduler(reply),
            None => message::Reply::NotOwner(self.cx.config().epoch),
        }
    }
}

impl server::Handler for Handler {
    async fn handle(&self, from: id::InstanceId, request: message::Request) -> message::Reply {
        match request {
            message::Request::Limiter(owned) => self.cx.limits.serve(&self.cx, &owned.message),
            message::Request::HandOver(hand_over) => {
                self.cx.limits.receive(self.cx.clock.now(), &hand_over);
                message::Reply::Accepted
            }
            message::Request::Scheduler(owned) => self.place(from, owned).await,
            message::Request::Ping => message::Reply::Accepted,
            _ => message::Reply::Unsupported,
        }
    }
}
