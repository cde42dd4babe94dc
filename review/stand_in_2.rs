//! The cases of the second review that are no days of the bench. Each starts a small deployment, plays its
//! clients, workers, operator and platform, and writes `record.txt`.
//!
//! Exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case can't run.

#[path = "stand_in_2_cases.rs"]
mod cases;
#[path = "stand_in_2_net.rs"]
mod net;
#[path = "stand_in_2_worker.rs"]
mod worker;

use std::panic;
use std::path::Path;
use std::process;
use std::sync::atomic::Ordering;

fn main() {
    let mut args = std::env::args().skip(1);
    let (Some(case), Some(folder)) = (args.next(), args.next()) else {
        net::fail("usage: review-2 CASE FOLDER");
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |t| t != "0");
    let record = net::Record::create(&Path::new(&folder).join("record.txt"));
    record.note(format!("case {case}, trouble {has_trouble}"));
    let run = || match case.as_str() {
        "unreadable-entry" => cases::unreadable_entry(&record, has_trouble),
        "late-crash" => cases::late_crash(&record, has_trouble),
        "first-start" => cases::first_start(&record, has_trouble),
        "partial-entry" => cases::partial_entry(&record, has_trouble),
        "unknown-service" => cases::unknown_service(&record, has_trouble),
        "crash-after-fault" => cases::crash_after_fault(&record, has_trouble),
        "reborn-version" => cases::reborn_version(&record, has_trouble),
        _ => net::fail("no such case"),
    };
    let is_broken = panic::catch_unwind(panic::AssertUnwindSafe(run));
    let has_failed = net::HAS_FAILED.load(Ordering::SeqCst);
    let Some(is_broken) = is_broken.ok().filter(|_| !has_failed) else {
        record.note("the case could not run");
        process::exit(2);
    };
    let outcome = if is_broken { "broken" } else { "held" };
    record.note(format!("the rule was {outcome}"));
    println!("{case}: {outcome}");
    process::exit(i32::from(is_broken));
}
