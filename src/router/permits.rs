//! The permits of one router for calls to servers that name a limit.

use crate::clock;
use crate::fleet::permit;
use crate::id;
use crate::sorted;

/// A router that needs no limited server asks for a permit this often for each router of the fleet,
/// since only calls tell that a limit has ended.
const REFRESH_INTERVAL_PER_ROUTER: clock::Millis = clock::Millis::new(250);

/// Counting calls of the last moments tells how many permits to ask for at once.
const BATCH_WINDOW: clock::Millis = clock::Millis::new(100);

/// Questions without an answer that the leader is told of.
const MAX_LOST: usize = 16;

/// How long no question is asked after the leader did not answer one.
const NO_LEADER_PAUSE: clock::Millis = clock::Millis::new(100);

/// The time after which callers should send again when no leader answers.
const NO_LEADER_RETRY_AFTER: clock::Millis = clock::Millis::new(1_000);

/// A permit for one call, valid in a span of time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Permit {
    pub from: clock::Millis,
    pub until: clock::Millis,
}

impl Permit {
    /// Returns whether the call may be sent at a time.
    pub fn is_valid(self, now: clock::Millis) -> bool {
        self.from <= now && now < self.until
    }
}

/// What the leader answered a question.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    Granted {
        server: id::BackendServerId,
        permit: Permit,
    },
    /// The server has ended its limit.
    Unlimited {
        server: id::BackendServerId,
    },
    Denied(Denial),
}

/// Why there is no permit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Denial {
    /// The earliest time of a call that is not yet taken.
    pub next_at: clock::Millis,
    /// The time after which a refused caller should send again.
    pub retry_after: clock::Millis,
}

/// The permits that a router has, and what it knows of those that it can't get.
#[derive(Debug)]
pub struct Permits {
    servers: sorted::Map<id::BackendServerId, Server>,
    next_number: permit::AskNumber,
    /// Questions without an answer that the leader was not told of.
    lost: Vec<permit::AskNumber>,
}

/// What a question has to say beside the servers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Begun {
    pub number: permit::AskNumber,
    pub lost: Vec<permit::AskNumber>,
    /// The number of calls to ask for.
    pub calls: u32,
    /// The callers that were refused since the last question.
    pub refused: u32,
}

#[derive(Debug, Default)]
struct Server {
    /// Permits that came with another one and are not used yet.
    spare: Vec<Permit>,
    /// The last denial.
    denied: Option<Denied>,
    /// When the leader was asked last.
    asked_at: Option<clock::Millis>,
    /// Times of the last calls, oldest first.
    calls: Vec<clock::Millis>,
}

/// A denial, and the callers that were refused on its account without another question.
#[derive(Clone, Copy, Debug)]
struct Denied {
    next_at: clock::Millis,
    /// When the last refused caller should return.
    return_at: clock::Millis,
    /// The time between two callers that return.
    interval: clock::Millis,
    /// The callers that the leader does not know of.
    refused: u32,
}

impl Permits {
    /// Makes the permits of a router that has none. Its questions are numbered from `random` on, so
    /// that they differ from those of an earlier run of the process.
    pub fn new(random: u32) -> Self {
        Self {
            servers: sorted::Map::new(),
            next_number: permit::AskNumber::new(u64::from(random) << u32::BITS),
            lost: Vec::new(),
        }
    }

    /// Takes an unused permit for the first of `servers` that has one that is valid by `latest`.
    pub fn take_spare(
        &mut self,
        now: clock::Millis,
        latest: clock::Millis,
        servers: &[id::BackendServerId],
    ) -> Option<(id::BackendServerId, Permit)> {
        servers.iter().find_map(|id| {
            let server = self.servers.get_mut(id)?;
            server.spare.retain(|p| now < p.until);
            let position = server.spare.iter().position(|p| p.from <= latest)?;
            Some((id.clone(), server.spare.remove(position)))
        })
    }

    /// Returns those of `servers` that may still have a call free by `latest`, as far as the last
    /// denials tell.
    pub fn askable(
        &self,
        latest: clock::Millis,
        servers: &[id::BackendServerId],
    ) -> Vec<id::BackendServerId> {
        let may_ask = |id: &&id::BackendServerId| {
            let denied = self.servers.get(id).and_then(|s| s.denied);
            denied.is_none_or(|d| d.next_at <= latest)
        };
        servers.iter().filter(may_ask).cloned().collect()
    }

    /// Returns whether a limited server that is not needed should be asked for a call.
    pub fn needs_refresh(
        &self,
        now: clock::Millis,
        server: &id::BackendServerId,
        routers: u32,
    ) -> bool {
        let asked_at = self.servers.get(server).and_then(|s| s.asked_at);
        let interval = REFRESH_INTERVAL_PER_ROUTER * u64::from(routers.max(1));
        asked_at.is_none_or(|at| now >= at + interval)
    }

    /// Begins a question for one of `servers`.
    pub fn begin_ask(&mut self, now: clock::Millis, servers: &[id::BackendServerId]) -> Begun {
        let (mut calls, mut refused) = (0, 0);
        for id in servers {
            let server = self.servers.get_or_insert_with(id.clone(), Server::default);
            server.asked_at = Some(now);
            server.calls.retain(|at| now < *at + BATCH_WINDOW);
            calls = calls.max(server.calls.len());
            if let Some(denied) = &mut server.denied {
                refused += std::mem::take(&mut denied.refused);
            }
        }
        if let Some(server) = servers.first().and_then(|id| self.servers.get_mut(id)) {
            server.calls.push(now);
        }
        let number = self.next_number;
        self.next_number = number.next();
        Begun {
            number,
            lost: std::mem::take(&mut self.lost),
            calls: 1 + calls as u32,
            refused,
        }
    }

    /// Applies the leader's answer to a question for one of `servers` that was sent at `sent_at`.
    pub fn apply(
        &mut self,
        now: clock::Millis,
        sent_at: clock::Millis,
        servers: &[id::BackendServerId],
        answer: permit::Answer,
    ) -> Verdict {
        match answer {
            permit::Answer::Granted {
                server,
                delay,
                calls,
            } => {
                let permit = Permit {
                    from: now + delay,
                    until: sent_at + delay + permit::LIFETIME,
                };
                let state = self
                    .servers
                    .get_or_insert_with(server.clone(), Server::default);
                state.denied = None;
                let spare = calls.saturating_sub(1) as usize;
                state.spare.extend(std::iter::repeat_n(permit, spare));
                Verdict::Granted { server, permit }
            }
            permit::Answer::Unlimited { server } => {
                self.servers.remove(&server);
                Verdict::Unlimited { server }
            }
            permit::Answer::Denied {
                wait,
                retry_after,
                interval,
            } => {
                let denied = Denied {
                    next_at: sent_at + wait,
                    return_at: now + retry_after,
                    interval,
                    refused: 0,
                };
                Verdict::Denied(self.deny(now, servers, denied))
            }
        }
    }

    /// Records that the leader did not answer a question in time.
    pub fn fail(
        &mut self,
        now: clock::Millis,
        number: permit::AskNumber,
        servers: &[id::BackendServerId],
    ) -> Denial {
        if self.lost.len() < MAX_LOST {
            self.lost.push(number);
        }
        let denied = Denied {
            next_at: now + NO_LEADER_PAUSE,
            return_at: now + NO_LEADER_RETRY_AFTER,
            interval: clock::Millis::ZERO,
            refused: 0,
        };
        self.deny(now, servers, denied)
    }

    fn deny(
        &mut self,
        now: clock::Millis,
        servers: &[id::BackendServerId],
        denied: Denied,
    ) -> Denial {
        for id in servers {
            let server = self.servers.get_or_insert_with(id.clone(), Server::default);
            server.denied = Some(denied);
        }
        denied.to_denial(now)
    }

    /// Returns the denial that holds for `servers` without another question; `None` when one of
    /// them has none.
    pub fn denial(&self, now: clock::Millis, servers: &[id::BackendServerId]) -> Option<Denial> {
        let id = self.first_to_return(servers)?;
        Some(self.servers.get(id)?.denied?.to_denial(now))
    }

    /// Returns which of `servers` a refused caller can return for first.
    fn first_to_return<'a>(
        &self,
        servers: &'a [id::BackendServerId],
    ) -> Option<&'a id::BackendServerId> {
        let mut first: Option<(&id::BackendServerId, clock::Millis)> = None;
        for id in servers {
            let denied = self.servers.get(id)?.denied?;
            if first.is_none_or(|(_, at)| denied.return_at < at) {
                first = Some((id, denied.return_at));
            }
        }
        first.map(|(id, _)| id)
    }

    /// As [`Self::denial`], for a caller that is refused on its account.
    pub fn refuse(
        &mut self,
        now: clock::Millis,
        servers: &[id::BackendServerId],
    ) -> Option<Denial> {
        let id = self.first_to_return(servers)?;
        let denied = self.servers.get_mut(id)?.denied.as_mut()?;
        denied.refused += 1;
        denied.return_at = denied.return_at + denied.interval;
        Some(denied.to_denial(now))
    }

    /// Forgets servers that `is_limited` does not name any more.
    pub fn retain(&mut self, is_limited: impl Fn(&id::BackendServerId) -> bool) {
        self.servers.retain(|id, _| is_limited(id));
    }
}

impl Denied {
    fn to_denial(self, now: clock::Millis) -> Denial {
        Denial {
            next_at: self.next_at,
            retry_after: self.return_at - now,
        }
    }
}
