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
struct Trio {
    now: clock::Millis,
    replicas: Vec<Option<core::Replica>>,
    cut: Option<usize>,
    messages: Vec<message::Message>,
    applied: usize,
    reads: usize,
    refused: usize,
}

impl Trio {
    fn formed() -> Self {
        let mut trio = Self {
            now: clock::Millis::ZERO,
            replicas: (0..MEMBERS)
                .map(|n| Some(replica(n, n as u64 + 1)))
                .collect(),
            cut: None,
            messages: Vec::new(),
            applied: 0,
            reads: 0,
            refused: 0,
        };
        trio.replicas.push(None);
        trio.run_until(|t| t.leader().is_some());
        trio
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
        let members: Vec<_> = (0..=SPARE).map(|n| self.voters(n)).collect();
        panic!("condition not reached within 2,000 ticks: {members:#?}");
    }

    fn tick(&mut self) {
        self.now = self.now + STEP;
        for number in 0..=SPARE {
            self.step(number, Input::Tick);
        }
        for message in std::mem::take(&mut self.messages) {
            let place = |node: &message::NodeId| (0..=SPARE).find(|n| name(*n) == node.instance);
            let (from, to) = (place(&message.from).unwrap(), place(&message.to).unwrap());
            if self.cut != Some(from) && self.cut != Some(to) {
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
                    let counts = matches!(entry.payload, message::Payload::Command(_));
                    self.applied += usize::from(counts);
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

    fn voters(&self, number: usize) -> Option<&members::Membership> {
        self.replicas[number].as_ref()?.members()
    }
}

fn name(number: usize) -> id::InstanceId {
    format!("control-{number}").parse().unwrap()
}

fn replica(number: usize, life: u64) -> core::Replica {
    let peer = |n: usize| core::Peer {
        instance: name(n),
        address: ([127, 0, 0, 1], 1_000 + n as u16).into(),
    };
    let settings = core::Settings {
        node: message::NodeId {
            instance: name(number),
            incarnation: id::Incarnation::new(life),
        },
        initial_members: (0..MEMBERS).map(peer).collect(),
        address: ([127, 0, 0, 1], 1_000 + number as u16).into(),
        admission: core::Admission::ByOperator,
        election_timeout: ELECTION,
        heartbeat_interval: clock::Millis::new(30),
        trailing_entries: 10,
        seed: life,
    };
    core::Replica::new(settings, core::Stored::default(), clock::Millis::ZERO)
}

#[test]
fn a_leader_that_is_cut_off_steps_down_and_answers_no_read() {
    let mut trio = Trio::formed();
    let leader = trio.leader().unwrap();
    trio.run_until(|t| {
        t.replicas
            .iter()
            .flatten()
            .all(|r| r.committed() > id::LogIndex::new(0))
    });
    trio.cut = Some(leader);
    trio.step(leader, Input::Read { request: 9 });
    let cut_at = trio.now;
    while trio.replicas[leader].as_ref().unwrap().is_leader() {
        trio.tick();
        assert!(
            trio.now <= cut_at + ELECTION + STEP * 2,
            "the isolated leader did not step down within an election timeout"
        );
    }
    assert_eq!((trio.reads, trio.refused), (0, 1));
    trio.run_until(|t| t.leader().is_some_and(|l| l != leader));
}

#[test]
fn a_member_that_comes_back_from_a_long_cut_disturbs_nobody() {
    let mut trio = Trio::formed();
    let leader = trio.leader().unwrap();
    let follower = (leader + 1) % 3;
    trio.cut = Some(follower);
    for _ in 0..1_000 {
        trio.tick();
    }
    trio.cut = None;
    let term = trio.replicas[leader].as_ref().unwrap().term();
    for _ in 0..200 {
        trio.tick();
    }
    assert_eq!(trio.leader(), Some(leader));
    assert_eq!(trio.replicas[leader].as_ref().unwrap().term(), term);
}

#[test]
fn nothing_is_promised_before_it_is_on_disk() {
    let mut trio = Trio::formed();
    let leader = trio.leader().unwrap();
    let follower = (leader + 1) % 3;
    trio.run_until(|t| {
        t.replicas
            .iter()
            .flatten()
            .all(|r| r.committed() > id::LogIndex::new(0))
    });
    trio.propose(leader);
    let now = trio.now + STEP;
    let sent = std::mem::take(&mut trio.messages);
    let to_follower = |m: &&message::Message| m.to.instance == name(follower);
    let append = sent.iter().rfind(to_follower).unwrap().clone();
    let replica = trio.replicas[follower].as_mut().unwrap();
    let outputs = replica.step(now, Input::Message(append));
    let answers = |o: &Output| matches!(o, Output::Send(_));
    assert!(
        !outputs.iter().any(answers),
        "the follower responded before the sync"
    );
    let batch = outputs.iter().find_map(|o| match o {
        Output::Persist(batch) => Some(batch.number),
        _ => None,
    });
    let outputs = replica.step(now, Input::Persisted(batch.unwrap()));
    assert!(outputs.iter().any(answers));
}

#[test]
fn messages_for_an_older_life_are_dropped() {
    let mut trio = Trio::formed();
    let leader = trio.leader().unwrap();
    let follower = (leader + 1) % 3;
    let mut late = None;
    for _ in 0..100 {
        trio.tick();
        let to_follower = |m: &&message::Message| m.to.instance == name(follower);
        late = trio.messages.iter().find(to_follower).cloned().or(late);
    }
    trio.replicas[follower] = Some(replica(follower, 50));
    let mut blank = replica(follower, 51);
    assert!(
        blank
            .step(trio.now, Input::Message(late.unwrap()))
            .is_empty()
    );
}

#[test]
fn second_member_lost_right_after_a_repair() {
    let mut trio = Trio::formed();
    let leader = trio.leader().unwrap();
    let (lost, second) = ((leader + 1) % 3, (leader + 2) % 3);
    for _ in 0..50 {
        trio.propose(leader);
        trio.tick();
    }
    trio.replicas[lost] = Some(replica(lost, 60));
    let votes_again = message::NodeId {
        instance: name(lost),
        incarnation: id::Incarnation::new(60),
    };
    trio.run_until(|t| t.voters(lost).is_some_and(|m| m.is_voter(&votes_again)));
    trio.replicas[second] = None;
    let before = trio.applied;
    trio.propose(leader);
    trio.run_until(|t| t.applied > before);
    // The repaired member has the whole log, so the group survives the loss of the leader's
    // disk next, once another member was repaired.
    let log = |n: usize| trio.replicas[n].as_ref().unwrap().log().unwrap();
    assert!(log(lost).last().index >= log(leader).last().index);
    assert_eq!(trio.voters(leader).unwrap().voters.len(), 3);
}

#[test]
fn a_lost_member_does_not_vote_under_its_old_name() {
    let mut trio = Trio::formed();
    let leader = trio.leader().unwrap();
    let (lost, other) = ((leader + 1) % 3, (leader + 2) % 3);
    trio.propose(leader);
    trio.run_until(|t| t.applied > 0);
    trio.replicas[leader] = None;
    trio.replicas[lost] = Some(replica(lost, 70));
    for _ in 0..400 {
        trio.tick();
        let asked = |m: &message::Message| matches!(m.body, Body::VoteResponse { granted: true });
        assert!(
            !trio
                .messages
                .iter()
                .any(|m| asked(m) && m.from.instance == name(lost))
        );
    }
    assert!(!trio.replicas[other].as_ref().unwrap().is_leader());
    assert!(trio.replicas[lost].as_ref().unwrap().log().is_none());
}

#[test]
fn a_planned_replacement_is_admitted_before_the_old_member_is_dismissed() {
    let mut trio = Trio::formed();
    let leader = trio.leader().unwrap();
    trio.propose(leader);
    trio.run_until(|t| t.applied > 0);
    let change = |trio: &mut Trio, number: usize, change: members::MemberChange| {
        trio.step(number, Input::ChangeMembers { request: 2, change });
    };
    let admit = members::MemberChange::Admit {
        instance: name(SPARE),
        address: ([127, 0, 0, 1], 1_000 + SPARE as u16).into(),
    };
    change(&mut trio, leader, admit.clone());
    change(&mut trio, leader, admit);
    assert_eq!(trio.refused, 1, "one change at a time");
    trio.replicas[SPARE] = Some(replica(SPARE, 80));
    trio.run_until(|t| {
        t.voters(SPARE)
            .is_some_and(|m| m.voters.contains(&name(SPARE)))
    });
    // The dismissed member is the leader itself: it commits its own removal, then another member
    // takes over. A command after the promotion is applied once the promotion is committed.
    let before = trio.applied;
    trio.propose(leader);
    trio.run_until(|t| t.applied > before);
    change(
        &mut trio,
        leader,
        members::MemberChange::Dismiss(name(leader)),
    );
    trio.run_until(|t| t.leader().is_some_and(|l| l != leader));
    let next = trio.leader().unwrap();
    trio.replicas[leader] = None;
    let before = trio.applied;
    trio.propose(next);
    trio.run_until(|t| t.applied > before);
    let voters: Vec<_> = trio.voters(next).unwrap().voters.keys().cloned().collect();
    assert!(voters.len() == 3 && !voters.contains(&name(leader)));
}
