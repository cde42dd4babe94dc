//! Sessions of gateways: no incarnation takes over a name while the previous one may still serve.

use std::collections;

use buckthorncleat::clock;
use buckthorncleat::controller::membership;
use buckthorncleat::id;
use buckthorncleat::state::change;
use buckthorncleat::state::model;
use rand::Rng as _;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;

const SESSION: clock::Millis = clock::Millis::new(2_500);
const LEASE: clock::Millis = clock::Millis::new(2_000);

fn ms(ms: u64) -> clock::Millis {
    clock::Millis::new(ms)
}

fn member(name: &str, incarnation: u64) -> model::Member {
    model::Member {
        id: name.parse().unwrap(),
        incarnation: id::Incarnation::new(incarnation),
        data_centre: "klang-1".parse().unwrap(),
        caller_address: ([127, 0, 0, 1], 80).into(),
        peer_address: ([127, 0, 0, 1], 81).into(),
        leaving: false,
    }
}

/// The sessions at a leader, with the configuration that results from its proposals.
struct Leader {
    membership: membership::Membership,
    config: change::Config,
}

impl Leader {
    fn new() -> Self {
        let mut leader = Self {
            membership: membership::Membership::new(SESSION),
            config: change::Config::default(),
        };
        leader.step(ms(0), membership::Input::Elected);
        leader
    }

    /// Passes an input to the sessions, commits the proposed changes and returns them.
    fn step(&mut self, now: clock::Millis, input: membership::Input) -> Vec<change::Change> {
        let changes = self.propose(now, input);
        for change in &changes {
            self.commit(vec![change.clone()]);
            let instance = match change {
                change::Change::PutMember(member) => member.id.clone(),
                change::Change::RemoveMember(instance) => instance.clone(),
                other => panic!("unexpected change {other:?}"),
            };
            let more = self.propose(now, membership::Input::Decided(instance));
            assert!(more.is_empty());
        }
        changes
    }

    fn propose(&mut self, now: clock::Millis, input: membership::Input) -> Vec<change::Change> {
        self.membership.step(now, &self.config, input)
    }

    fn commit(&mut self, changes: Vec<change::Change>) {
        if !changes.is_empty() {
            let revision = self.config.revision.next();
            assert!(self.config.apply(&change::Commit { revision, changes }));
        }
    }

    fn may_answer(&self, member: &model::Member) -> bool {
        self.membership.may_answer(&member.id, member.incarnation)
    }

    fn watch(&mut self, now: clock::Millis, member: &model::Member) -> Vec<change::Change> {
        let (member, have) = (member.clone(), self.config.revision);
        self.step(now, membership::Input::Watch { member, have })
    }

    fn leave(&mut self, now: clock::Millis, member: &model::Member) -> Vec<change::Change> {
        let (instance, incarnation) = (member.id.clone(), member.incarnation);
        self.step(
            now,
            membership::Input::Leave {
                instance,
                incarnation,
            },
        )
    }

    fn tick(&mut self, now: clock::Millis) -> Vec<change::Change> {
        self.step(now, membership::Input::Tick)
    }
}

#[test]
fn an_instance_that_sends_no_watches_is_removed_after_its_session() {
    let mut leader = Leader::new();
    let a = member("a", 1);
    assert_eq!(
        leader.watch(ms(0), &a),
        [change::Change::PutMember(a.clone())]
    );
    assert!(leader.watch(ms(100), &a).is_empty());
    assert!(leader.tick(ms(100) + SESSION - ms(1)).is_empty());
    let removed = [change::Change::RemoveMember(a.id.clone())];
    assert_eq!(leader.tick(ms(100) + SESSION), removed);
    assert!(leader.tick(ms(200) + SESSION).is_empty());
}

#[test]
fn a_new_incarnation_waits_for_the_previous_one_unless_that_left() {
    for left in [false, true] {
        let mut leader = Leader::new();
        let (old, new) = (member("a", 1), member("a", 2));
        leader.watch(ms(0), &old);
        if left {
            assert_eq!(leader.leave(ms(10), &old).len(), 1);
            assert!(
                leader.watch(ms(15), &old).is_empty(),
                "a watch that arrives after the leave has no effect"
            );
        }
        let put = [change::Change::PutMember(new.clone())];
        let early = leader.watch(ms(20), &new);
        assert_eq!(early.as_slice(), if left { &put[..] } else { &[] });
        leader.watch(SESSION, &new);
        assert_eq!(leader.config.members.get(&new.id), Some(&new));
    }
}

#[test]
fn a_leave_of_another_incarnation_changes_nothing() {
    let mut leader = Leader::new();
    let (old, new) = (member("a", 1), member("a", 2));
    leader.watch(ms(0), &new);
    assert!(leader.leave(ms(10), &old).is_empty());
    assert!(leader.leave(ms(10), &member("b", 1)).is_empty());
}

#[test]
fn a_changed_record_is_proposed_and_a_new_leader_gives_a_full_session() {
    let mut leader = Leader::new();
    let mut a = member("a", 1);
    leader.watch(ms(0), &a);
    a.leaving = true;
    leader.watch(ms(600), &a);
    assert!(leader.config.members.get(&a.id).unwrap().leaving);
    leader.step(ms(9_000), membership::Input::Elected);
    assert!(leader.tick(ms(9_000) + SESSION - ms(1)).is_empty());
    assert_eq!(leader.tick(ms(9_000) + SESSION).len(), 1);
}

#[test]
fn an_epoch_is_settled_once_every_member_has_it() {
    let mut leader = Leader::new();
    let (a, b) = (member("a", 1), member("b", 1));
    leader.watch(ms(0), &a);
    leader.watch(ms(1), &b);
    let epoch = leader.config.epoch;
    leader.watch(ms(2), &a);
    assert!(leader.membership.settled() < epoch);
    leader.watch(ms(3), &b);
    assert_eq!(leader.membership.settled(), epoch);
    // A member that sends no watches delays the settled epoch by at most its session.
    leader.watch(ms(2_000), &a);
    leader.tick(SESSION + ms(10));
    assert!(leader.membership.settled() < leader.config.epoch);
    leader.watch(SESSION + ms(20), &a);
    assert_eq!(leader.membership.settled(), leader.config.epoch);
}

/// One incarnation of instance `a`, with the end of the lease by which it serves.
struct Process {
    member: model::Member,
    lease_until: clock::Millis,
    frozen_until: clock::Millis,
}

/// A leader whose proposals are committed late, refused, or lost with its leadership.
struct SlowLog {
    leader: Leader,
    proposed: collections::VecDeque<change::Change>,
}

impl SlowLog {
    fn propose(&mut self, now: clock::Millis, input: membership::Input) {
        let changes = self.leader.propose(now, input);
        self.proposed.extend(changes);
    }

    /// Commits the oldest change, or refuses it; returns what was committed.
    fn decide(&mut self, now: clock::Millis, refuse: bool) -> Option<change::Change> {
        let change = self.proposed.pop_front()?;
        if !refuse {
            self.leader.commit(vec![change.clone()]);
        }
        let instance = "a".parse().unwrap();
        self.propose(now, membership::Input::Decided(instance));
        (!refuse).then_some(change)
    }
}

fn assert_no_other_incarnation_serves(
    processes: &[Process],
    change: &change::Change,
    now: clock::Millis,
) {
    let next = match change {
        change::Change::PutMember(member) => Some(member.incarnation),
        _ => None,
    };
    let others = processes
        .iter()
        .filter(|p| Some(p.member.incarnation) != next);
    let serving = others.filter(|p| p.lease_until > now).count();
    assert_eq!(
        serving, 0,
        "another incarnation still serves at {now} after {change:?}"
    );
}

/// Runs random watches, delays, freezes, new incarnations and new leaders; returns the number of
/// committed changes.
fn run_random_history(seed: u64) -> usize {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let leader = Leader::new();
    let mut log = SlowLog {
        leader,
        proposed: collections::VecDeque::new(),
    };
    let mut processes: Vec<Process> = Vec::new();
    let mut committed = 0;
    let mut now = ms(0);
    for incarnation in 1..2_000 {
        now = now + ms(rng.random_range(0..200));
        if processes.iter().all(|p| p.frozen_until > now) || rng.random_range(0..100) == 0 {
            processes.push(Process {
                member: member("a", incarnation),
                lease_until: ms(0),
                frozen_until: ms(0),
            });
        }
        let at = rng.random_range(0..processes.len());
        let process = &mut processes[at];
        let mut changes = Vec::new();
        match rng.random_range(0..20) {
            0 => process.frozen_until = now + ms(rng.random_range(0..6_000)),
            1 => {
                // The old leader's proposals are committed before the new leader answers, or lost.
                log.proposed.truncate(rng.random_range(0..3));
                while !log.proposed.is_empty() {
                    changes.extend(log.decide(now, false));
                }
                log.propose(now, membership::Input::Elected);
            }
            2 => log.propose(now, membership::Input::Tick),
            3..9 => changes.extend(log.decide(now, false)),
            9 => {
                log.decide(now, true);
            }
            _ if now < process.frozen_until => (),
            _ => {
                let sent_at = now;
                now = now + ms(rng.random_range(0..300));
                let (member, have) = (process.member.clone(), log.leader.config.revision);
                log.propose(now, membership::Input::Watch { member, have });
                let is_member = log.leader.config.members.get(&process.member.id);
                let may_answer = log.leader.may_answer(&process.member);
                if is_member == Some(&process.member) && may_answer {
                    process.lease_until = sent_at + LEASE;
                }
            }
        }
        for change in changes {
            committed += 1;
            assert_no_other_incarnation_serves(&processes, &change, now);
        }
    }
    committed
}

#[test]
fn two_incarnations_of_an_instance_never_serve_at_once() {
    let committed: usize = (0..300).map(run_random_history).sum();
    println!("{committed} changes");
    assert!(committed > 1_000);
}
