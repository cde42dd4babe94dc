//! Concurrent, repeated and batched changes by operators, applied to the replicated state machine.

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

/// The state that operators change, a follower that applies the same commands, and the operations
/// answered so far.
struct Simulation {
    rng: rand_chacha::ChaCha8Rng,
    state: command::State,
    follower: command::State,
    answered: Vec<(command::Operation, command::Answer)>,
    names: u64,
}

impl Simulation {
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
        assert!(self.revision() >= before, "the revision decreased");
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

    /// Puts an account that no earlier change put, so that the change has an effect.
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

    fn change_one(&mut self) {
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

    /// Adds a gateway to the membership, which must not conflict with an operator's change.
    fn add_member(&mut self) {
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
            self.add_member();
        }
        let current_revision = self.revision();
        let racers = self.rng.random_range(2..5);
        let mut winners = 0;
        for _ in 0..racers {
            let change = self.fresh_account();
            let operation = self.operation(Some(expected), vec![change]);
            match self.send(operation) {
                command::Answer::Done(revision) => {
                    assert_eq!(revision, current_revision.next());
                    winners += 1;
                }
                command::Answer::Conflict {
                    current, changed, ..
                } => {
                    assert_eq!(current, current_revision.next());
                    assert_eq!(changed.len(), 1, "the conflict names the winner's change");
                }
                other => panic!("unexpected {other:?}"),
            }
        }
        assert_eq!(winners, 1, "exactly one operator wins");
    }

    fn resend(&mut self) {
        let Some((operation, first_answer)) = self.answered.choose(&mut self.rng).cloned() else {
            return;
        };
        let before = self.state.clone();
        let mut resent = operation.clone();
        resent.wall += 1;
        let answer = self.apply(&command::Command::Operate(resent));
        assert_eq!(answer, first_answer, "a resend gets the first answer");
        let mut other = operation;
        other.digest ^= 1;
        let answer = self.apply(&command::Command::Operate(other));
        assert_eq!(answer, command::Answer::OperationReused);
        assert_eq!(self.state, before, "a resend changes nothing");
    }

    fn change_several(&mut self) {
        let changes: Vec<_> = (0..8).map(|_| self.fresh_account()).collect();
        let read_at = self.revision();
        let raced = self.rng.random_bool(0.3);
        if raced {
            let change = self.fresh_account();
            let operation = self.operation(None, vec![change]);
            self.send(operation);
        }
        let operation = self.operation(Some(read_at), changes.clone());
        let answer = self.send(operation);
        if raced {
            assert!(matches!(answer, command::Answer::Conflict { .. }));
            return;
        }
        assert_eq!(answer, command::Answer::Done(read_at.next()));
        let now = self.revision();
        let repeated = self.operation(Some(now), changes);
        assert_eq!(
            self.send(repeated),
            command::Answer::Done(now),
            "the same changes again have no effect"
        );
    }

    fn restore_follower(&mut self) {
        let bytes = self.state.to_bytes().expect("a snapshot");
        self.follower = command::State::from_bytes(&bytes).expect("a state");
        assert_eq!(self.follower, self.state);
    }

    fn step(&mut self) {
        match self.rng.random_range(0..10) {
            0..4 => self.change_one(),
            4..6 => self.race(),
            6..8 => self.resend(),
            8 => self.change_several(),
            _ => self.restore_follower(),
        }
    }

    fn check_final_state(&self) {
        assert_eq!(self.state, self.follower);
        let start = id::Revision::new(0);
        let entries: Vec<_> = self.state.audit().entries_after(start).collect();
        let names: collections::BTreeSet<_> = entries.iter().map(|e| &e.operation).collect();
        assert_eq!(
            names.len(),
            entries.len(),
            "the audit log has each operation once"
        );
        let mut replayed = change::Config::default();
        for commit in self.state.commits_after(start).expect("all commits") {
            assert!(replayed.apply(commit));
        }
        assert_eq!(
            &replayed,
            self.state.config(),
            "replaying all commits gives the configuration"
        );
    }
}

#[test]
fn one_of_racing_operators_wins_and_resends_change_nothing() {
    for seed in 0..SEEDS {
        let mut simulation = Simulation::new(seed);
        for _ in 0..STEPS {
            simulation.step();
        }
        simulation.check_final_state();
    }
}

#[test]
fn a_conflict_lists_what_changed_since_the_expected_revision() {
    let mut simulation = Simulation::new(1);
    let accounts: Vec<_> = (0..3).map(|_| simulation.fresh_account()).collect();
    for account in &accounts {
        let operation = simulation.operation(None, vec![account.clone()]);
        simulation.send(operation);
    }
    let stale = simulation.fresh_account();
    let operation = simulation.operation(Some(id::Revision::new(1)), vec![stale.clone()]);
    let command::Answer::Conflict { changed, .. } = simulation.send(operation) else {
        panic!("a conflict");
    };
    let expected: Vec<_> = accounts[1..]
        .iter()
        .map(subject::Subject::from_change)
        .collect();
    assert_eq!(changed, expected);
    let ahead = simulation.operation(Some(id::Revision::new(9)), vec![stale]);
    let command::Answer::Conflict { reason, .. } = simulation.send(ahead) else {
        panic!("a conflict");
    };
    assert!(reason.contains("does not exist yet"));
}

#[test]
fn the_number_of_recorded_operations_is_bounded() {
    let mut simulation = Simulation::new(2);
    let kept = buckthorncleat::state::operation::MAX_OPERATIONS;
    for _ in 0..kept + 10 {
        let operation = simulation.operation(Some(id::Revision::new(7)), Vec::new());
        simulation.send(operation);
    }
    let size = simulation.state.to_bytes().expect("a snapshot").len();
    assert!(size < 200 * kept, "{size} bytes");
    let (newest, answer) = simulation.answered[kept + 9].clone();
    assert_eq!(simulation.apply(&command::Command::Operate(newest)), answer);
}
