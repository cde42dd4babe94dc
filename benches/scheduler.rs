//! Measures the time of one scheduler decision by the number of servers and waiting requests.

#[path = "../tests/support/shard.rs"]
mod shard;

use std::hint;

use criterion::BatchSize;
use criterion::BenchmarkId;
use criterion::Criterion;

use buckthorncleat::clock;
use buckthorncleat::controller::scheduler;
use buckthorncleat::controller::scheduler::message;
use buckthorncleat::id;
use buckthorncleat::sorted;
use buckthorncleat::state::model;
use buckthorncleat::unit;

const SLOTS: u32 = 20;
const ACCOUNTS: u128 = 20;
const READY: clock::Millis = clock::Millis::new(1_000);
const NOW: clock::Millis = clock::Millis::new(1_100);

fn server(number: usize) -> model::BackendServer {
    let (kind, role) = match number.is_multiple_of(2) {
        true => ("p", model::Role::Prefill),
        false => ("d", model::Role::Decode),
    };
    model::BackendServer {
        slots: SLOTS,
        memory: unit::Pieces::new(1_000),
        link: unit::BytesPerSecond::new(10_000_000_000),
        ..shard::server(&format!("{kind}{number}"), role)
    }
}

fn configuration(servers: usize) -> scheduler::Input {
    scheduler::Input::Configure {
        servers: (0..servers).map(server).collect(),
        model: model::Model {
            first_token: clock::Millis::from_secs(60),
            ..shard::model()
        },
        accounts: sorted::Map::new(),
    }
}

fn ask(request: message::Request) -> scheduler::Input {
    shard::ask("g", request)
}

fn place(number: u128) -> scheduler::Input {
    let pieces = (number % 5) as u64;
    let place = message::Place {
        account: shard::name(&format!("a{}", number % ACCOUNTS)),
        prompt: unit::Tokens::new(500 + pieces * unit::PIECE_TOKENS),
        max_output: unit::Tokens::new(500),
        prefix: (0..pieces)
            .map(|n| n * 1_000 + (number % 50) as u64)
            .collect(),
        first_token: clock::Millis::from_secs(60),
        ..shard::place(number)
    };
    shard::ask_place("g", place)
}

/// Returns a scheduler with `free` decode slots left and `waiting` requests in its queue.
fn busy_scheduler(servers: usize, free: usize, waiting: usize) -> scheduler::Scheduler {
    let settings = scheduler::Settings {
        max_waiting: 4_096,
        lease: clock::Millis::from_secs(600),
        ..scheduler::Settings::default()
    };
    let mut shard = scheduler::Scheduler::new(clock::Millis::ZERO, shard::name("m"), settings, 1);
    shard.step(clock::Millis::ZERO, configuration(servers));
    let held = servers / 2 * SLOTS as usize - free;
    let mut number = 0;
    while (shard.summary().decoding) < held {
        number += 1;
        let outputs = shard.step(READY, place(number));
        let Some(scheduler::Output::Reply { reply, .. }) = outputs.first() else {
            panic!("expected a placement of request {number}, got {outputs:?}");
        };
        let message::Reply::Placed(placement) = reply else {
            panic!("expected a placement of request {number}, got {reply:?}");
        };
        let reservation = placement.reservation;
        let prefilled = message::Prefilled {
            reservation,
            cached: unit::Tokens::new(0),
            kv: unit::Bytes::new(1_000_000),
        };
        shard.step(READY, ask(message::Request::Prefilled(prefilled)));
        shard.step(READY, ask(message::Request::Transferred(reservation)));
    }
    for extra in 0..waiting as u128 {
        shard.step(READY, place(number + 1 + extra));
    }
    assert_eq!(shard.summary().waiting, waiting);
    shard
}

fn finish() -> scheduler::Input {
    ask(message::Request::Finish(message::Finish {
        reservation: id::ReservationId::new(3),
        output: unit::Tokens::new(100),
        confirmed: true,
    }))
}

fn bench_decision(
    c: &mut Criterion,
    group: &str,
    cases: &[(usize, usize)],
    free: usize,
    input: fn() -> scheduler::Input,
    expected_replies: usize,
) {
    let mut group = c.benchmark_group(group);
    for (servers, waiting) in cases {
        let base = busy_scheduler(*servers, free, *waiting);
        let replies = |outputs: &[scheduler::Output]| {
            let is_reply = |o: &&_| matches!(o, scheduler::Output::Reply { .. });
            outputs.iter().filter(is_reply).count()
        };
        assert_eq!(replies(&base.clone().step(NOW, input())), expected_replies);
        let id = BenchmarkId::from_parameter(format!("{servers} servers, {waiting} waiting"));
        group.bench_function(id, |b| {
            b.iter_batched(
                || (base.clone(), input()),
                |(mut shard, input)| {
                    let outputs = shard.step(NOW, hint::black_box(input));
                    (shard, outputs)
                },
                BatchSize::LargeInput,
            );
        });
    }
    group.finish();
}

fn main() {
    let mut c = Criterion::default().configure_from_args();
    let servers = [(8, 0), (16, 0), (32, 0), (64, 0)];
    bench_decision(
        &mut c,
        "arrival that is placed",
        &servers,
        8,
        || place(1_000_000),
        1,
    );
    let queues = [
        (8, 500),
        (16, 500),
        (32, 500),
        (64, 0),
        (64, 100),
        (64, 500),
        (64, 1_000),
    ];
    bench_decision(
        &mut c,
        "arrival that waits",
        &queues,
        0,
        || place(1_000_000),
        0,
    );
    let queues = [
        (8, 500),
        (16, 500),
        (32, 500),
        (64, 100),
        (64, 500),
        (64, 1_000),
    ];
    bench_decision(&mut c, "end that lets one start", &queues, 0, finish, 1);
    c.final_summary();
}
