//! Claims of non-idempotent calls: a call has one holder, stored answers are bounded, claims expire,
//! and the outcome of a removed gateway's calls is unknown.

use buckthorncleat::clock;
use buckthorncleat::id;
use buckthorncleat::state::change;
use buckthorncleat::state::claim;
use buckthorncleat::state::command;

const GATEWAY: &str = "gw-a1";

fn key() -> command::ClaimKey {
    command::ClaimKey {
        owner: "chefs".to_owned(),
        key: "order-1".to_owned(),
    }
}

fn claim(request: u128) -> command::Command {
    command::Command::Claim(command::Claim {
        key: key(),
        digest: 7,
        request: id::RequestId::new(request),
        gateway: GATEWAY.parse().expect("a name"),
        incarnation: id::Incarnation::new(1),
    })
}

fn settle(request: u128, outcome: command::ClaimOutcome) -> command::Command {
    command::Command::Settle(command::Settlement {
        key: key(),
        request: id::RequestId::new(request),
        outcome,
    })
}

fn answer_of(size: usize) -> command::StoredAnswer {
    command::StoredAnswer {
        status: 201,
        content_type: "text/plain".to_owned(),
        body: vec![b'x'; size],
    }
}

fn ran(size: usize) -> command::ClaimOutcome {
    command::ClaimOutcome::Ran(answer_of(size))
}

fn lost_gateway() -> command::Command {
    let id = GATEWAY.parse().expect("a name");
    command::Command::System(vec![change::Change::RemoveMember(id)])
}

#[test]
fn a_resend_gets_the_state_of_the_claimed_call() {
    use command::Answer;
    let large = claim::MAX_STORED_ANSWER_BYTES + 1;
    let advance = command::Command::Advance(claim::MAX_ADVANCE);
    let steps = claim::CLAIM_TTL.as_u64() / claim::MAX_ADVANCE.as_u64();
    let steps_before_ttl = vec![advance.clone(); steps as usize - 1];
    let steps_to_ttl = vec![advance; steps as usize];
    let lost = lost_gateway;
    let table: Vec<(&str, Vec<command::Command>, Answer)> = vec![
        ("running", vec![], Answer::Running),
        ("ran", vec![settle(1, ran(9))], Answer::Ran(answer_of(9))),
        ("too large", vec![settle(1, ran(large))], Answer::RanNotKept),
        (
            "not run",
            vec![settle(1, command::ClaimOutcome::NotRun)],
            Answer::Claimed,
        ),
        (
            "unknown",
            vec![settle(1, command::ClaimOutcome::Unknown)],
            Answer::Unknown,
        ),
        ("not the holder", vec![settle(3, ran(9))], Answer::Running),
        (
            "settled twice",
            vec![settle(1, ran(9)), settle(1, ran(8))],
            Answer::Ran(answer_of(9)),
        ),
        ("gateway lost", vec![lost()], Answer::Unknown),
        (
            "settled after the loss",
            vec![lost(), settle(1, ran(9))],
            Answer::Ran(answer_of(9)),
        ),
        (
            "not run after the loss",
            vec![lost(), settle(1, command::ClaimOutcome::NotRun)],
            Answer::Claimed,
        ),
        (
            "just before its time to live",
            steps_before_ttl,
            Answer::Running,
        ),
        ("at its time to live", steps_to_ttl, Answer::Claimed),
        (
            "removed",
            vec![command::Command::ExpireClaims(vec![key()])],
            Answer::Claimed,
        ),
        (
            "one long advance is cut",
            vec![command::Command::Advance(clock::Millis::MAX)],
            Answer::Running,
        ),
    ];
    for (name, commands, expected) in table {
        let mut state = command::State::default();
        assert_eq!(state.apply(&claim(1)), Answer::Claimed);
        assert_eq!(
            state.apply(&claim(1)),
            Answer::Claimed,
            "the holder's own resend"
        );
        for command in &commands {
            state.apply(command);
        }
        assert_eq!(state.apply(&claim(2)), expected, "{name}");
        let bytes = state.to_bytes().expect("a snapshot");
        assert_eq!(
            command::State::from_bytes(&bytes).expect("a state"),
            state,
            "{name}"
        );
    }
}

#[test]
fn a_key_reused_for_another_call_is_refused() {
    let mut state = command::State::default();
    state.apply(&claim(1));
    let command::Command::Claim(mut other) = claim(2) else {
        unreachable!()
    };
    other.digest = 8;
    let answer = state.apply(&command::Command::Claim(other));
    assert_eq!(answer, command::Answer::KeyReused);
}

#[test]
fn the_total_size_of_stored_answers_is_bounded() {
    let mut state = command::State::default();
    let max_answers = claim::MAX_STORED_TOTAL_BYTES / claim::MAX_STORED_ANSWER_BYTES;
    for i in 0..max_answers + 1 {
        let numbered = command::ClaimKey {
            key: format!("order-{i}"),
            ..key()
        };
        let command::Command::Claim(mut first) = claim(1) else {
            unreachable!()
        };
        first.key = numbered.clone();
        let first = command::Command::Claim(first);
        assert_eq!(state.apply(&first), command::Answer::Claimed);
        state.apply(&command::Command::Settle(command::Settlement {
            key: numbered,
            request: id::RequestId::new(1),
            outcome: ran(claim::MAX_STORED_ANSWER_BYTES),
        }));
        let kept = matches!(state.apply(&first), command::Answer::Ran(_));
        assert_eq!(kept, i < max_answers);
    }
}

#[test]
fn a_full_table_evicts_settled_claims_after_an_hour_and_none_before() {
    let claim_of = |i: usize| {
        let command::Command::Claim(mut claim) = claim(1) else {
            unreachable!()
        };
        claim.key.key = format!("order-{i}");
        command::Command::Claim(claim)
    };
    let settle_of = |i: usize| {
        let command::Command::Settle(mut settlement) = settle(1, ran(1)) else {
            unreachable!()
        };
        settlement.key.key = format!("order-{i}");
        command::Command::Settle(settlement)
    };
    let mut state = command::State::default();
    for i in 0..claim::MAX_CLAIMS {
        assert_eq!(state.apply(&claim_of(i)), command::Answer::Claimed);
        if i > 0 {
            state.apply(&settle_of(i));
        }
    }
    assert_eq!(
        state.apply(&claim_of(claim::MAX_CLAIMS)),
        command::Answer::ClaimsFull
    );
    let steps = claim::MIN_EVICTION_AGE.as_u64() / claim::MAX_ADVANCE.as_u64();
    for _ in 0..steps {
        state.apply(&command::Command::Advance(claim::MAX_ADVANCE));
    }
    assert_eq!(
        state.apply(&claim_of(claim::MAX_CLAIMS)),
        command::Answer::Claimed
    );
    assert_eq!(
        state.claims().len(),
        2,
        "the running claim and the new one remain"
    );
}
