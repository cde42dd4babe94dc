//! The gateway's link to the control group: commands, and the watch of the configuration.

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

/// How long the leader holds the answer to a watch while nothing changes.
const WATCH_WAIT: clock::Millis = clock::Millis::new(400);
/// The pause before another member is asked.
const PAUSE: clock::Millis = clock::Millis::new(40);
/// How long the next owner of an account may take to accept its bucket.
const HAND_OVER_TIMEOUT: clock::Millis = clock::Millis::new(300);
/// How long a command may take from the first attempt to the last.
const COMMAND_PATIENCE: clock::Millis = clock::Millis::new(3_000);

/// The control group as a gateway reaches it.
#[derive(Debug)]
pub struct Control {
    peers: sync::RwLock<Vec<settings::ControlPeer>>,
    timeout: clock::Millis,
    hint: atomic::AtomicUsize,
}

impl Control {
    /// Makes the client of the group that the settings name.
    pub fn new(settings: &settings::Gateway) -> Self {
        Self {
            peers: sync::RwLock::new(settings.control.clone()),
            timeout: settings.timing.peer_timeout_ms,
            hint: atomic::AtomicUsize::new(0),
        }
    }

    /// Commits a command, asking members until one that leads has answered.
    ///
    /// The command may reach the log more than once; every command sent here is idempotent.
    ///
    /// # Errors
    ///
    /// Fails as unavailable when no answer came; the command may be committed all the same.
    pub async fn propose(
        &self,
        links: &link::Links,
        command: command::Command,
    ) -> error::Result<command::Answer> {
        let request = message::Request::Propose(command);
        let work = async {
            loop {
                match self.ask(links, &request, self.timeout).await {
                    Ok(message::Reply::Applied(answer)) => return answer,
                    Ok(_) | Err(_) => time::sleep(PAUSE.as_duration()).await,
                }
            }
        };
        time::timeout(COMMAND_PATIENCE.as_duration(), work)
            .await
            .map_err(|_| error::Error::unavailable("no control member leads", PAUSE))
    }

    /// Asks the member that probably leads, and follows its hint for the next time.
    async fn ask(
        &self,
        links: &link::Links,
        request: &message::Request,
        timeout: clock::Millis,
    ) -> error::Result<message::Reply> {
        let at = self.hint.load(atomic::Ordering::Relaxed);
        let reply = links.request(self.address(at), request, timeout).await;
        match &reply {
            Ok(message::Reply::NotLeader(leader)) => self.follow(at, leader.as_ref()),
            Err(_) => self.follow(at, None),
            Ok(_) => {}
        }
        reply
    }

    fn address(&self, at: usize) -> net::SocketAddr {
        self.peers()[at].peer_address
    }

    fn peers(&self) -> sync::RwLockReadGuard<'_, Vec<settings::ControlPeer>> {
        self.peers
            .read()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Finds a member, and remembers one that was admitted after the settings were written.
    fn position_of(&self, leader: &settings::ControlPeer) -> usize {
        let mut peers = self
            .peers
            .write()
            .unwrap_or_else(sync::PoisonError::into_inner);
        match peers.iter().position(|p| p == leader) {
            Some(at) => at,
            None => {
                peers.push(leader.clone());
                peers.len() - 1
            }
        }
    }

    fn follow(&self, from: usize, leader: Option<&settings::ControlPeer>) {
        let next = match leader {
            Some(leader) => self.position_of(leader),
            None => (from + 1) % self.peers().len(),
        };
        // Another task may have moved on already; only the member that failed is left.
        let _ = self.hint.compare_exchange(
            from,
            next,
            atomic::Ordering::Relaxed,
            atomic::Ordering::Relaxed,
        );
    }
}

/// Keeps the configuration and its freshness until `stop` turns true.
pub async fn watch(cx: sync::Arc<shared::Shared>, mut stop: watch::Receiver<bool>) {
    let mut fresh = false;
    loop {
        tokio::select! {
            () = server::stopped(&mut stop) => return,
            result = watch_once(&cx) => {
                if result.is_err() {
                    time::sleep(PAUSE.as_duration()).await;
                }
            }
        }
        note_freshness(&cx, &mut fresh);
    }
}

/// Tells the control group that this life has ended, so that its roles pass on at once.
pub async fn leave(cx: &shared::Shared) {
    let request = message::Request::Leave(cx.links.identity().incarnation);
    let attempts = cx.control.peers().len() * 2;
    for _ in 0..attempts {
        let reply = cx
            .control
            .ask(&cx.links, &request, cx.control.timeout)
            .await;
        if matches!(reply, Ok(message::Reply::Accepted)) {
            return;
        }
    }
}

async fn watch_once(cx: &shared::Shared) -> error::Result<()> {
    let sent = cx.clock.now();
    let wait = if cx.is_fresh() {
        WATCH_WAIT
    } else {
        clock::Millis::ZERO
    };
    let request = message::Request::Watch(message::Watch {
        member: cx.member(),
        have: cx.config().revision,
        wait,
    });
    let timeout = wait + cx.control.timeout;
    match cx.control.ask(&cx.links, &request, timeout).await? {
        message::Reply::Watched(watched) => take_in(cx, sent, watched).await,
        message::Reply::NotLeader(_) => Err(error::Error::unavailable("no leader", PAUSE)),
        other => Err(unexpected(&other)),
    }
}

/// Puts an answer in force.
///
/// Buckets are passed on before this returns, and so before the next watch acknowledges the epoch:
/// the next owner has them when the epoch is settled.
async fn take_in(
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
    let passed = pass_on(cx);
    cx.ownership().extend_lease(cx.lease().until());
    if cx.has_news(config.revision, watched.settled) {
        update_roles(cx, &config, watched.settled);
    }
    let sent = passed.iter().map(|passed| send_bucket(cx, passed));
    futures_util::future::join_all(sent).await;
    Ok(())
}

/// Takes the buckets of the accounts that another instance gains.
fn pass_on(cx: &shared::Shared) -> Vec<limiter::HandOver> {
    let now = cx.clock.now();
    let passed = cx.ownership().take_hand_overs();
    passed
        .iter()
        .filter_map(|passed| match &passed.role {
            ownership::Role::Limiter(account) => cx.limits.hand_over(now, account, passed.epoch),
            ownership::Role::Scheduler(_) => None,
        })
        .collect()
}

/// Sends a bucket to its next owner, who starts from an empty one when it does not arrive.
async fn send_bucket(cx: &shared::Shared, passed: &limiter::HandOver) {
    let role = ownership::Role::Limiter(passed.account.clone());
    let Some(owner) = cx.owner(&role) else {
        return;
    };
    let request = message::Request::HandOver(Box::new(passed.clone()));
    let sent = cx
        .links
        .request(owner.peer_address, &request, HAND_OVER_TIMEOUT);
    if let Err(e) = sent.await {
        log::warn!("the bucket of {} was not passed on: {e}", passed.account);
    }
}

/// Puts the update in force, commit by commit, so that no epoch is passed over.
fn apply(cx: &shared::Shared, update: message::Update) -> error::Result<()> {
    // Most answers bring nothing new; the configuration is not copied for those.
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
        // A leader that confirmed its lead has everything committed; an older state is a fault.
        let remedy = "check that the control members kept their data folders";
        return Err(error::Error::damaged("an older configuration", remedy));
    }
    if config.revision > before {
        cx.put_config(config);
    }
    Ok(())
}

/// Takes up and gives up roles.
///
/// The ownership stays locked until the buckets follow, so that no charge meets a role without its
/// bucket.
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
        change_owner(cx, change, *since);
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

fn change_owner(cx: &shared::Shared, change: &ownership::Change, since: id::Epoch) {
    match change {
        ownership::Change::Started(ownership::Role::Limiter(account)) => {
            cx.limits.start(cx.clock.now(), account, since);
        }
        ownership::Change::Stopped(ownership::Role::Limiter(account)) => cx.limits.stop(account),
        // Schedulers are started and ended by `placement::supervise`.
        _ => {}
    }
}

fn unexpected(reply: &message::Reply) -> error::Error {
    let remedy = "run one version everywhere, and name control members under `control`";
    error::Error::bad_value("control", format!("{reply:?}"), remedy)
}

fn note_freshness(cx: &shared::Shared, before: &mut bool) {
    let fresh = cx.is_fresh();
    let kind = match (*before, fresh) {
        (false, true) => event::Kind::LeaseRegained,
        (true, false) => event::Kind::LeaseLost,
        _ => return,
    };
    *before = fresh;
    cx.recorder.record(kind, "");
}
