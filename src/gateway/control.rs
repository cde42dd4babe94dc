//! The gateway's client of the control group: proposes commands and watches the configuration.

use std::net;
use std::sync;
use std::sync::atomic;

use tokio::sync::watch;
use tokio::time;

use crate::clock;
use crate::config::settings;
use crate::controller::limiter;
use crate::controller::ownership;
use crate::error;
use crate::event;
use crate::gateway::shared;
use crate::id;
use crate::peer::link;
use crate::peer::message;
use crate::peer::server;
use crate::state::change;
use crate::state::command;

/// The longest time that the leader holds the answer to a watch while nothing changes.
const MAX_WATCH_WAIT: clock::Millis = clock::Millis::new(400);
/// The delay before a control member is asked again after a failure.
const RETRY_DELAY: clock::Millis = clock::Millis::new(40);
/// The longest time that the next owner of an account may take to accept its bucket.
const HAND_OVER_TIMEOUT: clock::Millis = clock::Millis::new(300);
/// The longest time of a command over all attempts.
const COMMAND_TIMEOUT: clock::Millis = clock::Millis::new(3_000);

/// The control members that this gateway knows, and the one that it takes for the leader.
#[derive(Debug)]
pub struct Control {
    peers: sync::RwLock<Vec<settings::ControlPeer>>,
    timeout: clock::Millis,
    leader_hint: atomic::AtomicUsize,
}

impl Control {
    /// Creates a client of the control members in the settings.
    pub fn new(settings: &settings::Gateway) -> Self {
        Self {
            peers: sync::RwLock::new(settings.control.clone()),
            timeout: settings.timing.peer_timeout_ms,
            leader_hint: atomic::AtomicUsize::new(0),
        }
    }

    /// Commits a command: asks members until the leader answers that it was applied.
    ///
    /// The command may be committed more than once; every command sent here is idempotent.
    ///
    /// # Errors
    ///
    /// Fails as unavailable when no leader answered in time; the command may still be committed.
    pub async fn propose(
        &self,
        links: &link::Links,
        command: command::Command,
    ) -> error::Result<command::Answer> {
        let request = message::Request::Propose(command);
        let work = async {
            loop {
                match self.ask_leader(links, &request, self.timeout).await {
                    Ok(message::Reply::Applied(answer)) => return answer,
                    Ok(_) | Err(_) => time::sleep(RETRY_DELAY.as_duration()).await,
                }
            }
        };
        time::timeout(COMMAND_TIMEOUT.as_duration(), work)
            .await
            .map_err(|_| error::Error::unavailable("no control member leads", RETRY_DELAY))
    }

    /// Sends a request to the member that probably leads, and updates the hint from the answer.
    async fn ask_leader(
        &self,
        links: &link::Links,
        request: &message::Request,
        timeout: clock::Millis,
    ) -> error::Result<message::Reply> {
        let index = self.leader_hint.load(atomic::Ordering::Relaxed);
        let reply = links.request(self.address(index), request, timeout).await;
        match &reply {
            Ok(message::Reply::NotLeader(leader)) => {
                self.update_leader_hint(index, leader.as_ref())
            }
            Err(_) => self.update_leader_hint(index, None),
            Ok(_) => {}
        }
        reply
    }

    fn address(&self, index: usize) -> net::SocketAddr {
        self.peers()[index].peer_address
    }

    fn peers(&self) -> sync::RwLockReadGuard<'_, Vec<settings::ControlPeer>> {
        self.peers
            .read()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Returns the index of a member; adds one that was admitted after the settings were written.
    fn find_or_add(&self, leader: &settings::ControlPeer) -> usize {
        let mut peers = self
            .peers
            .write()
            .unwrap_or_else(sync::PoisonError::into_inner);
        match peers.iter().position(|p| p == leader) {
            Some(index) => index,
            None => {
                peers.push(leader.clone());
                peers.len() - 1
            }
        }
    }

    fn update_leader_hint(&self, from: usize, leader: Option<&settings::ControlPeer>) {
        let next = match leader {
            Some(leader) => self.find_or_add(leader),
            None => (from + 1) % self.peers().len(),
        };
        // Only replaces the hint that failed; another task may have replaced it already.
        let _ = self.leader_hint.compare_exchange(
            from,
            next,
            atomic::Ordering::Relaxed,
            atomic::Ordering::Relaxed,
        );
    }
}

/// Keeps the configuration up to date and its freshness lease renewed until `stop` turns true.
pub async fn watch(cx: sync::Arc<shared::Shared>, mut stop: watch::Receiver<bool>) {
    let mut fresh = false;
    loop {
        tokio::select! {
            () = server::stopped(&mut stop) => return,
            result = watch_once(&cx) => {
                if result.is_err() {
                    time::sleep(RETRY_DELAY.as_duration()).await;
                }
            }
        }
        record_freshness(&cx, &mut fresh);
    }
}

/// Tells the control group that this incarnation has ended, so that its roles move at once.
pub async fn leave(cx: &shared::Shared) {
    let request = message::Request::Leave(cx.links.identity().incarnation);
    let attempts = cx.control.peers().len() * 2;
    for _ in 0..attempts {
        let reply = cx
            .control
            .ask_leader(&cx.links, &request, cx.control.timeout)
            .await;
        if matches!(reply, Ok(message::Reply::Accepted)) {
            return;
        }
    }
}

async fn watch_once(cx: &shared::Shared) -> error::Result<()> {
    let sent = cx.clock.now();
    let wait = if cx.is_fresh() {
        MAX_WATCH_WAIT
    } else {
        clock::Millis::ZERO
    };
    let request = message::Request::Watch(message::Watch {
        member: cx.member(),
        have: cx.config().revision,
        wait,
    });
    let timeout = wait + cx.control.timeout;
    match cx.control.ask_leader(&cx.links, &request, timeout).await? {
        message::Reply::Watched(watched) => apply_watched(cx, sent, watched).await,
        message::Reply::NotLeader(_) => Err(error::Error::unavailable("no leader", RETRY_DELAY)),
        other => Err(unexpected_reply(&other)),
    }
}

/// Applies the answer to a watch that was sent at `sent`: configuration, lease and roles.
///
/// Buckets are sent to their next owners before this returns, and so before the next watch
/// acknowledges the epoch. So the next owner has them when the epoch is settled.
async fn apply_watched(
    cx: &shared::Shared,
    sent: clock::Millis,
    watched: message::Watched,
) -> error::Result<()> {
    apply(cx, watched.update)?;
    let config = cx.config();
    let own = config.members.get(cx.instance());
    if own.is_some_and(|m| m.incarnation == cx.links.identity().incarnation) {
        cx.lease().renew(sent);
    }
    let hand_overs = take_buckets(cx);
    cx.ownership().extend_lease(cx.lease().until());
    if cx.update_role_inputs(config.revision, watched.settled) {
        update_roles(cx, &config, watched.settled);
    }
    let sent = hand_overs
        .iter()
        .map(|hand_over| send_hand_over(cx, hand_over));
    futures_util::future::join_all(sent).await;
    Ok(())
}

/// Takes out the buckets of the accounts that move to another gateway.
fn take_buckets(cx: &shared::Shared) -> Vec<limiter::HandOver> {
    let now = cx.clock.now();
    let hand_overs = cx.ownership().take_hand_overs();
    hand_overs
        .iter()
        .filter_map(|hand_over| match &hand_over.role {
            ownership::Role::Limiter(account) => cx.limits.hand_over(now, account, hand_over.epoch),
            ownership::Role::Scheduler(_) => None,
        })
        .collect()
}

/// Sends a bucket to its next owner, which starts with an empty one when it does not arrive.
async fn send_hand_over(cx: &shared::Shared, hand_over: &limiter::HandOver) {
    let role = ownership::Role::Limiter(hand_over.account.clone());
    let Some(owner) = cx.owner(&role) else {
        return;
    };
    let request = message::Request::HandOver(Box::new(hand_over.clone()));
    let sent = cx
        .links
        .request(owner.peer_address, &request, HAND_OVER_TIMEOUT);
    if let Err(e) = sent.await {
        log::warn!(
            "bucket of account {} not handed over, so its next owner starts with an empty one: {e}",
            hand_over.account
        );
    }
}

/// Applies an update to the configuration, commit by commit, so that the ownership sees each epoch.
fn apply(cx: &shared::Shared, update: message::Update) -> error::Result<()> {
    // Most answers contain no commit; the configuration is not copied for those.
    if matches!(&update, message::Update::Commits(commits) if commits.is_empty()) {
        return Ok(());
    }
    let mut config = change::Config::clone(&cx.config());
    let before = config.revision;
    match update {
        message::Update::Snapshot(snapshot) => {
            config = *snapshot;
            cx.ownership().configure(config.epoch, &config.members);
        }
        message::Update::Commits(commits) => {
            for commit in &commits {
                config.apply(commit);
                cx.ownership().configure(config.epoch, &config.members);
            }
        }
    }
    if config.revision < before {
        // A leader that has confirmed its lead holds every commit, so an older state is a fault.
        let remedy = "check that the control members kept their data folders";
        return Err(error::Error::damaged(
            "the control group sent an older configuration",
            remedy,
        ));
    }
    if config.revision > before {
        cx.put_config(config);
    }
    Ok(())
}

/// Starts the roles that this gateway gained and stops those that it lost.
///
/// The ownership stays locked until the buckets are in place, so that no charge is served for a
/// role without its bucket.
fn update_roles(cx: &shared::Shared, config: &change::Config, settled: id::Epoch) {
    let now = cx.clock.now();
    let limiters = config
        .accounts
        .keys()
        .cloned()
        .map(ownership::Role::Limiter);
    let schedulers = config
        .models
        .keys()
        .cloned()
        .map(ownership::Role::Scheduler);
    let roles: Vec<_> = limiters.chain(schedulers).collect();
    let mut ownership = cx.ownership();
    ownership.set_settled(settled);
    let changes = ownership.update(now, &roles);
    let changes: Vec<_> = changes
        .into_iter()
        .map(|change| (since(&ownership, &change), change))
        .collect();
    cx.limits.configure(cx, config);
    for (since, change) in &changes {
        apply_change(cx, change, *since);
    }
    drop(ownership);
    for (_, change) in changes {
        let detail = format!("{change:?}");
        cx.recorder.record(event::Kind::OwnerChanged, detail);
    }
}

fn since(ownership: &ownership::Ownership, change: &ownership::Change) -> id::Epoch {
    match change {
        ownership::Change::Started(role) => ownership.since(role).unwrap_or_default(),
        ownership::Change::Stopped(_) => id::Epoch::default(),
    }
}

fn apply_change(cx: &shared::Shared, change: &ownership::Change, since: id::Epoch) {
    match change {
        ownership::Change::Started(ownership::Role::Limiter(account)) => {
            cx.limits.start(cx.clock.now(), account, since);
        }
        ownership::Change::Stopped(ownership::Role::Limiter(account)) => cx.limits.stop(account),
        // Schedulers are started and ended by `placement::supervise`.
        _ => {}
    }
}

fn unexpected_reply(reply: &message::Reply) -> error::Error {
    let remedy = "run one version everywhere, and name control members under `control`";
    error::Error::bad_value("control", format!("{reply:?}"), remedy)
}

fn record_freshness(cx: &shared::Shared, before: &mut bool) {
    let fresh = cx.is_fresh();
    let kind = match (*before, fresh) {
        (false, true) => event::Kind::LeaseRegained,
        (true, false) => event::Kind::LeaseLost,
        _ => return,
    };
    *before = fresh;
    cx.recorder.record(kind, "");
}
