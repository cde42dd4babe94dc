//! Members of the control group whose disks are full one after another while changes are sent.

#[path = "../stand-in/src/ports.rs"]
mod ports;

use std::io;
use std::path;
use std::sync;
use std::sync::atomic;
use std::time;

use buckthorncleat::clock;
use buckthorncleat::config::settings;
use buckthorncleat::event;
use buckthorncleat::id;
use buckthorncleat::peer::frame;
use buckthorncleat::peer::link;
use buckthorncleat::peer::message;
use buckthorncleat::peer::server;
use buckthorncleat::replica::core;
use buckthorncleat::replica::group;
use buckthorncleat::replica::storage::file_system;
use buckthorncleat::state::change;
use buckthorncleat::state::command;
use buckthorncleat::state::model;
use buckthorncleat::unit;
use tokio::sync::watch;
use tokio::task;

const MEMBERS: usize = 3;

/// Changes that must be acknowledged while a disk is full.
const CHANGES: usize = 40;

/// The longest time from the request to the acknowledgement of a change, with elections.
const MAX_TIME: time::Duration = time::Duration::from_secs(4);

const HEARTBEAT: clock::Millis = clock::Millis::new(120);

/// A disk that can be full: of a write only the first half is kept then.
#[derive(Clone, Debug, Default)]
struct Disk {
    is_full: sync::Arc<atomic::AtomicBool>,
}

#[derive(Debug)]
struct File {
    disk: Disk,
    file: Box<dyn file_system::File>,
}

impl Disk {
    fn set_full(&self, is_full: bool) {
        self.is_full.store(is_full, atomic::Ordering::SeqCst);
    }

    fn check(&self) -> io::Result<()> {
        if self.is_full.load(atomic::Ordering::SeqCst) {
            return Err(io::ErrorKind::StorageFull.into());
        }
        Ok(())
    }

    fn wrap(&self, file: Box<dyn file_system::File>) -> Box<dyn file_system::File> {
        let disk = self.clone();
        Box::new(File { disk, file })
    }
}

impl file_system::FileSystem for Disk {
    fn create_folder(&self, path: &path::Path) -> io::Result<()> {
        self.check()?;
        file_system::Os.create_folder(path)
    }

    fn names(&self, folder: &path::Path) -> io::Result<Vec<String>> {
        file_system::Os.names(folder)
    }

    fn read(&self, path: &path::Path) -> io::Result<Vec<u8>> {
        file_system::Os.read(path)
    }

    fn create(&self, path: &path::Path) -> io::Result<Box<dyn file_system::File>> {
        self.check()?;
        Ok(self.wrap(file_system::Os.create(path)?))
    }

    fn append(&self, path: &path::Path) -> io::Result<Box<dyn file_system::File>> {
        Ok(self.wrap(file_system::Os.append(path)?))
    }

    fn rename(&self, from: &path::Path, to: &path::Path) -> io::Result<()> {
        file_system::Os.rename(from, to)
    }

    fn remove(&self, path: &path::Path) -> io::Result<()> {
        file_system::Os.remove(path)
    }

    fn sync_folder(&self, path: &path::Path) -> io::Result<()> {
        file_system::Os.sync_folder(path)
    }

    fn lock(&self, path: &path::Path) -> io::Result<Box<dyn file_system::Lock>> {
        file_system::Os.lock(path)
    }
}

impl file_system::File for File {
    fn write_all(&mut self, bytes: &[u8]) -> io::Result<()> {
        let full = self.disk.check();
        let kept = if full.is_err() {
            &bytes[..bytes.len() / 2]
        } else {
            bytes
        };
        self.file.write_all(kept).and(full)
    }

    fn truncate(&mut self, length: u64) -> io::Result<()> {
        self.file.truncate(length)
    }

    fn sync(&mut self) -> io::Result<()> {
        self.file.sync()
    }
}

struct Handler(group::Group);

impl server::Handler for Handler {
    async fn handle(&self, from: id::InstanceId, request: message::Request) -> message::Reply {
        let message::Request::Replica(bytes) = request else {
            return message::Reply::Unsupported;
        };
        self.0.handle_message(&from, &bytes).unwrap();
        message::Reply::Accepted
    }
}

struct Cluster {
    disks: Vec<Disk>,
    groups: Vec<group::Group>,
    tasks: task::JoinSet<()>,
    stop: watch::Sender<bool>,
    _folder: tempfile::TempDir,
}

impl Cluster {
    fn start() -> Self {
        let folder = tempfile::tempdir().unwrap();
        let stop = watch::Sender::new(false);
        let peer = |number: usize| settings::ControlPeer {
            instance: format!("control-{number}").parse().unwrap(),
            peer_address: ports::claim().unwrap(),
        };
        let peers: Vec<_> = (0..MEMBERS).map(peer).collect();
        let disks: Vec<Disk> = peers.iter().map(|_| Disk::default()).collect();
        let mut tasks = task::JoinSet::new();
        let start =
            |(peer, disk)| start_member(peer, disk, &peers, folder.path(), &stop, &mut tasks);
        let groups = peers.iter().zip(&disks).map(start).collect();
        Self {
            disks,
            groups,
            tasks,
            stop,
            _folder: folder,
        }
    }

    fn leader(&self) -> Option<usize> {
        self.groups
            .iter()
            .position(|g| g.watch().borrow().leads.is_some())
    }

    /// Sends a change again and again until it is acknowledged.
    async fn change(&self, number: u64) {
        let begun = time::Instant::now();
        loop {
            if let Some(leader) = self.leader() {
                let submitted = self.groups[leader].submit(&put_account(number)).await;
                if let group::Outcome::Applied(_) = submitted.unwrap() {
                    return;
                }
            }
            let waited = begun.elapsed();
            assert!(waited < MAX_TIME, "change {number} was not acknowledged");
            tokio::time::sleep(time::Duration::from_millis(20)).await;
        }
    }

    /// Sends changes by two operators until each has so many acknowledgements.
    async fn change_many(&self, next: &mut u64) {
        for _ in 0..CHANGES / 2 {
            tokio::join!(self.change(*next), self.change(*next + 1));
            *next += 2;
        }
    }

    async fn stop(mut self) {
        assert!(self.tasks.try_join_next().is_none(), "a member ended");
        self.stop.send_replace(true);
        while let Some(ended) = self.tasks.join_next().await {
            ended.unwrap();
        }
    }
}

fn start_member(
    peer: &settings::ControlPeer,
    disk: &Disk,
    peers: &[settings::ControlPeer],
    folder: &path::Path,
    stop: &watch::Sender<bool>,
    tasks: &mut task::JoinSet<()>,
) -> group::Group {
    let settings = group::Settings {
        instance: peer.instance.clone(),
        members: peers.to_vec(),
        address: peer.peer_address,
        admission: core::Admission::Open {
            may_form_group: true,
            target_voters: MEMBERS,
            replace_after: clock::Millis::new(2_500),
        },
        data_folder: folder.join(peer.instance.as_str()),
        timing: settings::ControlTiming {
            election_ms: clock::Millis::new(500),
            heartbeat_ms: HEARTBEAT,
            snapshot_entries: 16,
            ..Default::default()
        },
    };
    let secret = frame::Secret::from_bytes(&[7; 16]).unwrap();
    let recorder = sync::Arc::new(event::Recorder::new(peer.instance.clone()));
    let identity = link::Identity::new(peer.instance.clone(), secret, recorder.clone());
    let identity = sync::Arc::new(identity);
    let links = sync::Arc::new(link::Links::new(sync::Arc::clone(&identity)));
    let files = sync::Arc::new(disk.clone());
    let clock = clock::Clock::start();
    let started = group::Group::start_in(files, settings, links, clock, recorder, stop.subscribe());
    let (group, running) = started.unwrap();
    let handler = sync::Arc::new(Handler(group.clone()));
    let serving = server::serve(peer.peer_address, identity, handler, stop.subscribe());
    tasks.spawn(async move { serving.await.unwrap() });
    tasks.spawn(async move { running.join().await.unwrap() });
    group
}

fn put_account(number: u64) -> command::Command {
    let account = change::Change::PutAccount(model::ClientAccount {
        id: format!("account-{number}").parse().unwrap(),
        rate: unit::TokensPerSecond::new(1),
        burst: unit::Tokens::new(1),
        priority: model::Priority::Normal,
        weight: 1,
    });
    command::Command::Operate(command::Operation {
        id: format!("operation-{number}").parse().unwrap(),
        operator: format!("operator-{}", number % 2),
        expected: None,
        changes: vec![account],
        wall: 0,
        digest: number,
    })
}

/// Guards against changes that are refused, or stay unanswered, while or after the disks of members
/// are full one after another, and against members that end for it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn changes_are_acknowledged_while_disks_are_full_one_after_another() {
    let cluster = Cluster::start();
    let mut next = 0;
    cluster.change_many(&mut next).await;
    for round in 0..MEMBERS + 2 {
        // The leader's disk is full in every other round, each disk at least once.
        let leader = cluster.leader().filter(|_| round % 2 == 0);
        let full = leader.unwrap_or(round % MEMBERS);
        cluster.disks[full].set_full(true);
        cluster.change_many(&mut next).await;
        cluster.disks[full].set_full(false);
        cluster.change_many(&mut next).await;
    }
    // A majority that includes each member acknowledges again.
    for member in 0..MEMBERS {
        cluster.disks[member].set_full(true);
        cluster.change_many(&mut next).await;
        cluster.disks[member].set_full(false);
        let newest = cluster.groups.iter().map(|g| g.status().applied).max();
        let begun = time::Instant::now();
        while cluster.groups[member].status().applied < newest.unwrap() {
            assert!(begun.elapsed() < MAX_TIME, "member {member} stays behind");
            tokio::time::sleep(time::Duration::from_millis(20)).await;
        }
    }
    cluster.stop().await;
}

/// Guards against a group that stays unavailable after the disks of all members were full at once.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn changes_are_acknowledged_after_all_disks_were_full() {
    let cluster = Cluster::start();
    let mut next = 0;
    cluster.change_many(&mut next).await;
    for disk in &cluster.disks {
        disk.set_full(true);
    }
    let sent = tokio::time::timeout(time::Duration::from_millis(900), cluster.change(next));
    assert!(
        sent.await.is_err(),
        "acknowledged without a majority of disks"
    );
    for disk in &cluster.disks {
        disk.set_full(false);
    }
    cluster.change_many(&mut next).await;
    cluster.stop().await;
}
