//! The scheduler: time to place a request, to queue one, and to renew reservations.

use buckthorncleat::clock;
use buckthorncleat::controller::scheduler;
use buckthorncleat::controller::scheduler::message;
use buckthorncleat::id;
use buckthorncleat::sorted;
use buckthorncleat::state::model;
use buckthorncleat::unit;

use crate::fit;
use crate::fleet;

/// Calls in a timed batch: no more than the smallest shard, of eight workers, can prefill at once,
/// so that each arrival of the batch is placed.
const CALLS: usize = 8;
const NOW: clock::Millis = clock::Millis::new(1_000);

pub fn run() {
    let title = "scheduler: one arrival that is placed, none waiting";
    let points = [8, 16, 32, 64, 128, 256].map(|n| point(n, arrival(n, 0)));
    fit::print_series(title, "workers", "microseconds", &points);
    let title = "scheduler: one arrival that waits, 64 workers all full";
    let points = [50, 100, 250, 500].map(|n| point(n, arrival(64, n)));
    fit::print_series(title, "waiting", "microseconds", &points);
    let title = "scheduler: one renewal, 64 workers";
    let points = [10, 50, 100, 250, 500].map(|n| point(n, renewal(n)));
    fit::print_series(title, "reservations", "microseconds", &points);
}

fn point(n: usize, y: f64) -> fit::Point {
    fit::Point { x: n as f64, y }
}

/// Returns the microseconds to handle an arrival when `waiting` requests wait already; with 0 it is
/// placed at once, otherwise it joins the queue.
fn arrival(workers: usize, waiting: usize) -> f64 {
    let mut shard = shard(workers);
    let mut number = 0;
    if waiting > 0 {
        while shard.summary().waiting < waiting {
            place(&mut shard, number);
            number += 1;
        }
    }
    fit::median_micros(
        CALLS,
        || shard.clone(),
        |s, call| {
            let outputs = place(s, number + call);
            assert_eq!(placed(&outputs).is_some(), waiting == 0);
            outputs
        },
    )
}

/// Returns the microseconds to renew `count` reservations in one message.
fn renewal(count: usize) -> f64 {
    let mut shard = shard(64);
    let reservations: Vec<id::ReservationId> =
        (0..count).filter_map(|n| decoding(&mut shard, n)).collect();
    assert_eq!(reservations.len(), count, "all are placed");
    let renew = message::Request::Renew(reservations);
    fit::median_micros(
        50,
        || shard.clone(),
        |s, _| s.step(NOW, input(renew.clone())),
    )
}

/// Places a request and brings it to decoding. Returns its reservation, or `None` if it was not
/// placed.
fn decoding(shard: &mut scheduler::Scheduler, number: usize) -> Option<id::ReservationId> {
    let reservation = placed(&place(shard, number))?;
    let prefilled = message::Prefilled {
        reservation,
        cached: unit::Tokens::new(0),
        kv: unit::Bytes::new(1_000_000),
    };
    shard.step(NOW, input(message::Request::Prefilled(prefilled)));
    shard.step(NOW, input(message::Request::Transferred(reservation)));
    Some(reservation)
}

/// Returns the reservation of the first placement among the outputs.
fn placed(outputs: &[scheduler::Output]) -> Option<id::ReservationId> {
    outputs.iter().find_map(|output| match output {
        scheduler::Output::Reply {
            reply: message::Reply::Placed(placement),
            ..
        } => Some(placement.reservation),
        _ => None,
    })
}

/// Returns a configured scheduler with `workers` servers, half prefill and half decode. The lease
/// is long enough that no reservation expires.
fn shard(workers: usize) -> scheduler::Scheduler {
    let settings = scheduler::Settings {
        max_waiting: 4_096,
        lease: clock::Millis::from_secs(600),
        ..scheduler::Settings::default()
    };
    let mut shard =
        scheduler::Scheduler::new(clock::Millis::ZERO, fleet::name("model"), settings, 1);
    let servers = (0..workers).map(server).collect();
    shard.step(
        clock::Millis::ZERO,
        scheduler::Input::Configure {
            servers,
            model: fleet::model(),
            accounts: sorted::Map::new(),
        },
    );
    shard
}

fn server(number: usize) -> model::BackendServer {
    model::BackendServer {
        data_centre: fleet::name("centre"),
        ..fleet::server(number)
    }
}

fn place(shard: &mut scheduler::Scheduler, number: usize) -> Vec<scheduler::Output> {
    let place = message::Place {
        request: id::RequestId::new(number as u128),
        account: fleet::name(&format!("account-{:04}", number % 20)),
        priority: model::Priority::Normal,
        model: fleet::name("model"),
        kind: message::PlaceKind::New,
        prompt: unit::Tokens::new(500),
        max_output: unit::Tokens::new(500),
        prefix: Vec::new(),
        first_token: clock::Millis::from_secs(60),
        exclude: Vec::new(),
        suspect: false,
    };
    shard.step(NOW, input(message::Request::Place(Box::new(place))))
}

fn input(request: message::Request) -> scheduler::Input {
    scheduler::Input::Request {
        gateway: fleet::name("gateway"),
        request,
    }
}
