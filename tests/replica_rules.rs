//! Single rules of the replicated log, each tested with three members.

use buckthorncleat::clock;
use buckthorncleat::id;
use buckthorncleat::replica::core;
use buckthorncleat::replica::core::members;
use buckthorncleat::replica::core::message;

use message::{Body, Input, Output};

const ELECTION: clock::Millis = clock::Millis::new(150);
const STEP: clock::Millis = clock::Millis::new(5);

/// The number of initial members, and the index of one more that can be admitted.
const MEMBERS: usize = 3;
const SPARE: usize = 3;

/// Three members with instant disks and a network that can isolate one of them.
struct Cluster {
    now: clock::Millis,
    replicas: Vec<Option<core::Replica>>,
    isolated: Option<usize>,
    messages: Vec<message::Message>,
    applied: usize,
    reads: usize,
    refused: usize,
}

impl Cluster {
    fn formed() -> Self {
        let mut cluster = Self {
            now: clock::Millis::ZERO,
            replicas: (0..MEMBERS)
                .map(|n| Some(replica(n, n as u64 + 1)))
                .collect(),
            isolated: None,
            messages: Vec::new(),
            applied: 0,
            reads: 0,
            refused: 0,
        };
        cluster.replicas.push(None);
        cluster.run_until(|c| c.leader().is_some());
        cluster
    }

    fn leader(&self) -> Option<usize> {
        let leads = |r: &Option<core::Replica>| r.as_ref().is_some_and(core::Replica::is_leader);
        self.replicas.iter().rposition(leads)
    }

    fn run_until(&mut self, done: impl Fn(&Self) -> bool) {
        for _ in 0..2_000 {
            if done(self) {
                return;
            }
            self.tick();
        }
        let members: Vec<_> = (0..=SPARE).map(|n| self.membership(n)).collect();
        panic!("condition not reached within 2,000 ticks: {members:#?}");
    }

    fn tick(&mut self) {
        self.now = self.now + STEP;
        for number in 0..=SPARE {
            self.step(number, Input::Tick);
        }
        for message in std::mem::take(&mut self.messages) {
            let index_of = |node: &message::NodeId| (0..=SPARE).find(|n| name(*n) == node.instance);
            let (from, to) = (
                index_of(&message.from).unwrap(),
                index_of(&message.to).unwrap(),
            );
            if self.isolated != Some(from) && self.isolated != Some(to) {
                self.step(to, Input::Message(message));
            }
        }
    }

    fn step(&mut self, number: usize, input: Input) {
        let Some(replica) = &mut self.replicas[number] else {
            return;
        };
        for output in replica.step(self.now, input) {
            match output {
                Output::Send(message) => self.messages.push(message),
                Output::Persist(batch) => self.step(number, Input::Persisted(batch.number)),
                Output::Apply(entry) => {
                    let is_command = matches!(entry.payload, message::Payload::Command(_));
                    self.applied += usize::from(is_command);
                }
                Output::ReadReady { .. } => self.reads += 1,
                Output::Refused { .. } => self.refused += 1,
                Output::Restore(_) | Output::Proposed { .. } => (),
            }
        }
    }

    fn propose(&mut self, number: usize) {
        let command = vec![1, 2, 3];
        self.step(
            number,
            Input::Propose {
                request: 1,
                command,
            },
        );
    }

    fn membership(&self, number: usize) -> Option<&members::Membership> {
        self.replicas[number].as_ref()?.members()
    }
}

fn name(number: usize) -> id::InstanceId {
    format!("control-{number}").parse().unwrap()
}

fn replica(number: usize, incarnation: u64) -> core::Replica {
    let peer = |n: usize| core::Peer {
        instance: name(n),
        address: ([127, 0, 0, 1], 1_000 + n as u16).into(),
    };
    let settings = core::Settings {
        node: message::NodeId {
            instance: name(number),
            incarnation: id::Incarnation::new(incarnation),
        },
        initial_members: (0..MEMBERS).map(peer).collect(),
        address: ([127, 0, 0, 1], 1_000 + number as u16).into(),
        admission: core::Admission::ByOperator,
        election_timeout: ELECTION,
        heartbeat_interval: clock::Millis::new(30),
        trailing_entries: 10,
        seed: incarnation,
    };
    core::Replica::new(settings, core::Stored::default(), clock::Millis::ZERO)
}

#[test]
fn isolated_leader_steps_down_and_completes_no_read() {
    let mut cluster = Cluster::formed();
    let leader = cluster.leader().unwrap();
    cluster.run_until(|c| {
        c.replicas
            .iter()
            .flatten()
            .all(|r| r.committed() > id::LogIndex::new(0))
    });
    cluster.isolated = Some(leader);
    cluster.step(leader, Input::Read { request: 9 });
    let isolated_at = cluster.now;
    while cluster.replicas[leader].as_ref().unwrap().is_leader() {
        cluster.tick();
        assert!(
            cluster.now <= isolated_at + ELECTION + STEP * 2,
            "the isolated leader did not step down within an election timeout"
        );
    }
    assert_eq!((cluster.reads, cluster.refused), (0, 1));
    cluster.run_until(|c| c.leader().is_some_and(|l| l != leader));
}

#[test]
fn member_returning_from_partition_keeps_leader_and_term() {
    let mut cluster = Cluster::formed();
    let leader = cluster.leader().unwrap();
    let follower = (leader + 1) % 3;
    cluster.isolated = Some(follower);
    for _ in 0..1_000 {
        cluster.tick();
    }
    cluster.isolated = None;
    let term = cluster.replicas[leader].as_ref().unwrap().term();
    for _ in 0..200 {
        cluster.tick();
    }
    assert_eq!(cluster.leader(), Some(leader));
    assert_eq!(cluster.replicas[leader].as_ref().unwrap().term(), term);
}

#[test]
fn follower_responds_only_after_sync() {
    let mut cluster = Cluster::formed();
    let leader = cluster.leader().unwrap();
    let follower = (leader + 1) % 3;
    cluster.run_until(|c| {
        c.replicas
            .iter()
            .flatten()
            .all(|r| r.committed() > id::LogIndex::new(0))
    });
    cluster.propose(leader);
    let now = cluster.now + STEP;
    let sent = std::mem::take(&mut cluster.messages);
    let to_follower = |m: &&message::Message| m.to.instance == name(follower);
    let append = sent.iter().rfind(to_follower).unwrap().clone();
    let replica = cluster.replicas[follower].as_mut().unwrap();
    let outputs = replica.step(now, Input::Message(append));
    let is_send = |o: &Output| matches!(o, Output::Send(_));
    assert!(
        !outputs.iter().any(is_send),
        "the follower responded before the sync"
    );
    let batch = outputs.iter().find_map(|o| match o {
        Output::Persist(batch) => Some(batch.number),
        _ => None,
    });
    let outputs = replica.step(now, Input::Persisted(batch.unwrap()));
    assert!(outputs.iter().any(is_send));
}

#[test]
fn messages_to_previous_incarnation_are_dropped() {
    let mut cluster = Cluster::formed();
    let leader = cluster.leader().unwrap();
    let follower = (leader + 1) % 3;
    let mut late_message = None;
    for _ in 0..100 {
        cluster.tick();
        let to_follower = |m: &&message::Message| m.to.instance == name(follower);
        late_message = cluster
            .messages
            .iter()
            .find(to_follower)
            .cloned()
            .or(late_message);
    }
    cluster.replicas[follower] = Some(replica(follower, 50));
    let mut restarted = replica(follower, 51);
    assert!(
        restarted
            .step(cluster.now, Input::Message(late_message.unwrap()))
            .is_empty()
    );
}

#[test]
fn commits_continue_when_second_member_is_lost_after_repair() {
    let mut cluster = Cluster::formed();
    let leader = cluster.leader().unwrap();
    let (lost, second) = ((leader + 1) % 3, (leader + 2) % 3);
    for _ in 0..50 {
        cluster.propose(leader);
        cluster.tick();
    }
    cluster.replicas[lost] = Some(replica(lost, 60));
    let new_node = message::NodeId {
        instance: name(lost),
        incarnation: id::Incarnation::new(60),
    };
    cluster.run_until(|c| c.membership(lost).is_some_and(|m| m.is_voter(&new_node)));
    cluster.replicas[second] = None;
    let before = cluster.applied;
    cluster.propose(leader);
    cluster.run_until(|c| c.applied > before);
    // The repaired member has the whole log, so the group survives the loss of the leader's
    // disk next, once another member was repaired.
    let log = |n: usize| cluster.replicas[n].as_ref().unwrap().log().unwrap();
    assert!(log(lost).last().index >= log(leader).last().index);
    assert_eq!(cluster.membership(leader).unwrap().voters.len(), 3);
}

#[test]
fn member_with_lost_disk_does_not_vote() {
    let mut cluster = Cluster::formed();
    let leader = cluster.leader().unwrap();
    let (lost, other) = ((leader + 1) % 3, (leader + 2) % 3);
    cluster.propose(leader);
    cluster.run_until(|c| c.applied > 0);
    cluster.replicas[leader] = None;
    cluster.replicas[lost] = Some(replica(lost, 70));
    for _ in 0..400 {
        cluster.tick();
        let granted = |m: &message::Message| matches!(m.body, Body::VoteResponse { granted: true });
        assert!(
            !cluster
                .messages
                .iter()
                .any(|m| granted(m) && m.from.instance == name(lost))
        );
    }
    assert!(!cluster.replicas[other].as_ref().unwrap().is_leader());
    assert!(cluster.replicas[lost].as_ref().unwrap().log().is_none());
}

#[test]
fn leader_is_dismissed_after_its_replacement_became_voter() {
    let mut cluster = Cluster::formed();
    let leader = cluster.leader().unwrap();
    cluster.propose(leader);
    cluster.run_until(|c| c.applied > 0);
    let change = |cluster: &mut Cluster, number: usize, change: members::MemberChange| {
        cluster.step(number, Input::ChangeMembers { request: 2, change });
    };
    let admit = members::MemberChange::Admit {
        instance: name(SPARE),
        address: ([127, 0, 0, 1], 1_000 + SPARE as u16).into(),
    };
    change(&mut cluster, leader, admit.clone());
    change(&mut cluster, leader, admit);
    assert_eq!(cluster.refused, 1, "one change at a time");
    cluster.replicas[SPARE] = Some(replica(SPARE, 80));
    cluster.run_until(|c| {
        c.membership(SPARE)
            .is_some_and(|m| m.voters.contains(&name(SPARE)))
    });
    // The dismissed member is the leader itself: it commits its own removal, then another member
    // takes over. A command after the promotion is applied once the promotion is committed.
    let before = cluster.applied;
    cluster.propose(leader);
    cluster.run_until(|c| c.applied > before);
    change(
        &mut cluster,
        leader,
        members::MemberChange::Dismiss(name(leader)),
    );
    cluster.run_until(|c| c.leader().is_some_and(|l| l != leader));
    let next = cluster.leader().unwrap();
    cluster.replicas[leader] = None;
    let before = cluster.applied;
    cluster.propose(next);
    cluster.run_until(|c| c.applied > before);
    let membership: Vec<_> = cluster
        .membership(next)
        .unwrap()
        .voters
        .keys()
        .cloned()
        .collect();
    assert!(membership.len() == 3 && !membership.contains(&name(leader)));
}

/// CONFIG: a member that was dismissed while it was unreachable went on asking for votes, and its
/// status still showed it among the voters.
#[test]
fn member_dismissed_while_isolated_learns_it_and_stays_out() {
    let mut cluster = Cluster::formed();
    let leader = cluster.leader().unwrap();
    let dismissed = (leader + 1) % 3;
    cluster.propose(leader);
    cluster.run_until(|c| c.applied == MEMBERS);
    let term = cluster.replicas[leader].as_ref().unwrap().term();
    cluster.isolated = Some(dismissed);
    let change = members::MemberChange::Dismiss(name(dismissed));
    cluster.step(leader, Input::ChangeMembers { request: 2, change });
    cluster.run_until(|c| c.now > ELECTION * 20);
    cluster.isolated = None;
    let votes = |c: &Cluster| {
        let members = c.membership(dismissed);
        members.is_some_and(|m| m.voters.contains(&name(dismissed)))
    };
    assert!(votes(&cluster));
    cluster.run_until(|c| !votes(c));
    for _ in 0..400 {
        cluster.tick();
        let asks = |m: &message::Message| matches!(m.body, Body::PreVoteRequest { .. });
        assert!(!cluster.messages.iter().any(asks));
    }
    assert_eq!(cluster.leader(), Some(leader));
    assert_eq!(cluster.replicas[leader].as_ref().unwrap().term(), term);
    let members = cluster.membership(leader).unwrap();
    assert_eq!((members.voters.len(), members.learners.len()), (2, 0));
}
