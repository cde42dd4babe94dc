//! Operators who race, resend and apply sheets, against the replicated state machine.

use std::collections;

use buckthorncleat::id;
use buckthorncleat::state::change;
use buckthorncleat::state::command;
use buckthorncleat::state::model;
use buckthorncleat::state::subject;
use rand::Rng as _;
use rand::SeedableRng as _;
use rand::seq::IndexedRandom as _;

const SEEDS: u64 = 20;
const STEPS: usize = 400;

/// Operators, the state that they change, a follower, and what was answered before.
struct Bench {
    rng: rand_chacha::ChaCha8Rng,
    state: command::State,
    follower: command::State,
    answered: Vec<(command::Operation, command::Answer)>,
    names: u64,
}

impl Bench {
    fn new(seed: u64) -> Self {
        Self {
            rng: rand_chacha::ChaCha8Rng::seed_from_u64(seed),
            state: command::State::default(),
            follower: command::State::default(),
            answered: Vec::new(),
            names: 0,
        }
    }

    fn revision(&self) -> id::Revision {
        self.state.config().revision
    }

    fn apply(&mut self, command: &command::Command) -> command::Answer {
        let before = self.revision();
        let answer = self.state.apply(command);
        assert_eq!(self.follower.apply(command), answer);
        assert!(self.revision() >= before, "a revision went back");
        answer
    }

    fn operation(
        &mut self,
        expected: Option<id::Revision>,
        changes: Vec<change::Change>,
    ) -> command::Operation {
        self.names += 1;
        command::Operation {
            id: format!("op-{}", self.names).parse().expect("a name"),
            operator: format!("operator-{}", self.names % 3),
            expected,
            changes,
            digest: self.rng.random(),
            wall: self.names,
        }
    }

    fn send(&mut self, operation: command::Operation) -> command::Answer {
        let answer = self.apply(&command::Command::Operate(operation.clone()));
        self.answered.push((operation, answer.clone()));
        answer
    }

    fn account(&mut self) -> change::Change {
        let name = format!("account-{}", self.rng.random_range(0..6));
        let id: id::ClientAccountId = name.parse().expect("a name");
        if self.rng.random_bool(0.2) {
            return change::Change::RemoveAccount(id);
        }
        change::Change::PutAccount(model::ClientAccount {
            id,
            rate: buckthorncleat::unit::TokensPerSecond::new(self.rng.random_range(0..20)),
            burst: buckthorncleat::unit::Tokens::new(self.rng.random_range(15..1000)),
            priority: model::Priority::Normal,
            weight: self.rng.random_range(1..4),
        })
    }

    /// An account that no other change ever made, so that putting it makes a difference.
    fn fresh_account(&mut self) -> change::Change {
        self.names += 1;
        change::Change::PutAccount(model::ClientAccount {
            id: format!("fresh-{}", self.names).parse().expect("a name"),
            rate: buckthorncleat::unit::TokensPerSecond::new(1),
            burst: buckthorncleat::unit::Tokens::new(10),
            priority: model::Priority::Low,
            weight: 1,
        })
    }

    fn single(&mut self) {
        let change = self.account();
        let expected = self.rng.random_bool(0.5).then(|| self.revision());
        let operation = self.operation(expected, vec![change]);
        let before = self.revision();
        match self.send(operation) {
            command::Answer::Done(revision) => {
                assert!(revision == before || revision == before.next());
                assert_eq!(revision, self.revision());
            }
            command::Answer::Refused(faults) => {
                assert!(!faults.is_empty());
                assert_eq!(before, self.revision());
            }
            other => panic!("unexpected {other:?}"),
        }
    }

    /// Lets an entry instance join, which operators don't lose against.
    fn join(&mut self) {
        self.names += 1;
        let member = model::Member {
            id: format!("gw-{}", self.rng.random_range(0..4))
                .parse()
                .expect("a name"),
            incarnation: id::Incarnation::new(self.names),
            data_centre: "test".parse().expect("a name"),
            caller_address: ([127, 0, 0, 1], 1).into(),
            peer_address: ([127, 0, 0, 1], 2).into(),
            leaving: false,
        };
        let changes = vec![change::Change::PutMember(member)];
        self.apply(&command::Command::System(changes));
    }

    fn race(&mut self) {
        let expected = self.revision();
        let joins = self.rng.random_bool(0.3);
        if joins {
            self.join();
        }
        let present = self.revision();
        let racers = self.rng.random_range(2..5);
        let mut won = 0;
        for _ in 0..racers {
            let change = self.fresh_account();
            let operation = self.operation(Some(expected), vec![change]);
            match self.send(operation) {
                command::Answer::Done(revision) => {
                    assert_eq!(revision, present.next());
                    won += 1;
                }
                command::Answer::Conflict {
                    current, changed, ..
                } => {
                    assert_eq!(current, present.next());
                    assert_eq!(changed.len(), 1, "the loser is told what changed");
                }
                other => panic!("unexpected {other:?}"),
            }
        }
        assert_eq!(won, 1, "exactly one operator wins");
    }

    fn resend(&mut self) {
        let Some((operation, first)) = self.answered.choose(&mut self.rng).cloned() else {
            return;
        };
        let before = self.state.clone();
        let mut again = operation.clone();
        again.wall += 1;
        let answer = self.apply(&command::Command::Operate(again));
        assert_eq!(answer, first, "a resend gets the first answer");
        let mut other = operation;
        other.digest ^= 1;
        let answer = self.apply(&command::Command::Operate(other));
        assert_eq!(answer, command::Answer::OperationReused);
        assert_eq!(self.state, before, "a resend changes nothing");
    }

    fn sheet(&mut self) {
        let changes: Vec<_> = (0..8).map(|_| self.fresh_account()).collect();
        let read = self.revision();
        let raced = self.rng.random_bool(0.3);
        if raced {
            let change = self.fresh_account();
            let operation = self.operation(None, vec![change]);
            self.send(operation);
        }
        let sheet = self.operation(Some(read), changes.clone());
        let answer = self.send(sheet);
        if raced {
            assert!(matches!(answer, command::Answer::Conflict { .. }));
            return;
        }
        assert_eq!(answer, command::Answer::Done(read.next()));
        let now = self.revision();
        let again = self.operation(Some(now), changes);
        assert_eq!(
            self.send(again),
            command::Answer::Done(now),
            "no second change"
        );
    }

    fn snapshot(&mut self) {
        let bytes = self.state.to_bytes().expect("a snapshot");
        self.follower = command::State::from_bytes(&bytes).expect("a state");
        assert_eq!(self.follower, self.state);
    }

    fn step(&mut self) {
        match self.rng.random_range(0..10) {
            0..4 => self.single(),
            4..6 => self.race(),
            6..8 => self.resend(),
            8 => self.sheet(),
            _ => self.snapshot(),
        }
    }

    fn check_end(&self) {
        assert_eq!(self.state, self.follower);
        let first = id::Revision::new(0);
        let entries: Vec<_> = self.state.audit().entries_after(first).collect();
        let names: collections::BTreeSet<_> = entries.iter().map(|e| &e.operation).collect();
        assert_eq!(
            names.len(),
            entries.len(),
            "an operation is in the trail once"
        );
        let mut replayed = change::Config::default();
        for commit in self.state.commits_after(first).expect("all commits") {
            assert!(replayed.apply(commit));
        }
        assert_eq!(
            &replayed,
            self.state.config(),
            "the feed gives the configuration"
        );
    }
}

#[test]
fn racing_and_resending_operators_are_decided_once() {
    for seed in 0..SEEDS {
        let mut bench = Bench::new(seed);
        for _ in 0..STEPS {
            bench.step();
        }
        bench.check_end();
    }
}

#[test]
fn a_conflict_lists_what_changed_since_the_expected_revision() {
    let mut bench = Bench::new(1);
    let accounts: Vec<_> = (0..3).map(|_| bench.fresh_account()).collect();
    for account in &accounts {
        let operation = bench.operation(None, vec![account.clone()]);
        bench.send(operation);
    }
    let late = bench.fresh_account();
    let operation = bench.operation(Some(id::Revision::new(1)), vec![late.clone()]);
    let command::Answer::Conflict { changed, .. } = bench.send(operation) else {
        panic!("a conflict");
    };
    let expected: Vec<_> = accounts[1..]
        .iter()
        .map(subject::Subject::from_change)
        .collect();
    assert_eq!(changed, expected);
    let ahead = bench.operation(Some(id::Revision::new(9)), vec![late]);
    let command::Answer::Conflict { reason, .. } = bench.send(ahead) else {
        panic!("a conflict");
    };
    assert!(reason.contains("does not exist yet"));
}

#[test]
fn the_records_of_operations_are_bounded() {
    let mut bench = Bench::new(2);
    let kept = buckthorncleat::state::operation::MAX_OPERATIONS;
    for _ in 0..kept + 10 {
        let operation = bench.operation(Some(id::Revision::new(7)), Vec::new());
        bench.send(operation);
    }
    let size = bench.state.to_bytes().expect("a snapshot").len();
    assert!(size < 200 * kept, "{size} bytes");
    let (newest, answer) = bench.answered[kept + 9].clone();
    assert_eq!(bench.apply(&command::Command::Operate(newest)), answer);
}
