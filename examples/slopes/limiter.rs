//! The limiter owner: time of a charge and its refund, and size of the entries of its history.

use std::mem;

use buckthorncleat::clock;
use buckthorncleat::controller::limiter::history;
use buckthorncleat::controller::limiter::level;
use buckthorncleat::controller::limiter::message;
use buckthorncleat::controller::limiter::owner;
use buckthorncleat::id;
use buckthorncleat::sorted;
use buckthorncleat::unit;

use crate::fit;
use crate::fleet;

/// Calls in a timed batch.
const CALLS: usize = 500;
const NOW: clock::Millis = clock::Millis::new(10_000);

pub fn run() {
    let kept = [520, 1_100, 2_100, 4_200, 8_300, 15_000].map(|n| point(n, time(1, n)));
    let title = "limiter owner: one charge and its refund";
    fit::print_series(title, "charges kept", "microseconds", &kept);
    let owned = [1, 20, 100, 290].map(|n| point(n, time(n, 100)));
    fit::print_series(title, "accounts owned", "microseconds", &owned);
    let event = mem::size_of::<history::Event>();
    let transform = mem::size_of::<level::Transform>();
    println!(
        "size_of: event {event} bytes, transform {transform} bytes (two to four per charge kept)"
    );
}

fn point(n: usize, y: f64) -> fit::Point {
    fit::Point { x: n as f64, y }
}

/// Returns the microseconds of a charge and its refund, where each of `accounts` accounts already
/// has `kept` charges in its history.
fn time(accounts: usize, kept: usize) -> f64 {
    let mut owner = owner::Owner::new(clock::Millis::ZERO);
    let all: sorted::Map<_, _> = (0..accounts)
        .map(|n| (fleet::account(n).id, fleet::account(n)))
        .collect();
    owner.configure(clock::Millis::ZERO, &all);
    let ids: Vec<id::ClientAccountId> = all.keys().cloned().collect();
    for account in &ids {
        owner.start_account(clock::Millis::ZERO, account);
    }
    for account in &ids {
        for n in 0..kept {
            charge(&mut owner, account, n);
        }
    }
    fit::median_micros(
        CALLS,
        || owner.clone(),
        |owner, call| {
            let account = &ids[call * 7 % ids.len()];
            charge(owner, account, kept + call);
            owner.handle(
                NOW,
                &message::Request::Refund(message::Refund {
                    request: id::RequestId::new((kept + call) as u128),
                    account: account.clone(),
                    used: unit::Tokens::new(500),
                }),
            )
        },
    )
}

/// Charges an account once.
///
/// # Panics
///
/// If the charge is not granted.
fn charge(owner: &mut owner::Owner, account: &id::ClientAccountId, number: usize) {
    let charge = message::Charge {
        request: id::RequestId::new(number as u128),
        account: account.clone(),
        tokens: unit::Tokens::new(1_000),
        max_wait: clock::Millis::new(2_000),
    };
    let reply = owner.handle(NOW, &message::Request::Charge(charge));
    assert!(matches!(reply, message::Reply::Granted { .. }), "{reply:?}");
}
