//! The cases of the second review that are no days of the bench. Each starts a small deployment, plays its
//! clients, workers, operator and platform, and writes `record.txt`.
//!
//! Exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case can't run.

mod cases;
mod net;
mod worker;

use std::path::Path;

fn main() {
    let mut args = std::env::args().skip(1);
    let (Some(case), Some(folder)) = (args.next(), args.next()) else {
        net::fail("usage: review-2 CASE FOLDER");
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |t| t != "0");
    let record = net::Record::create(&Path::new(&folder).join("record.txt"));
    record.note(format!("case {case}, trouble {has_trouble}"));
    let is_broken = match case.as_str() {
        "unreadable-entry" => cases::unreadable_entry(&record, has_trouble),
        "late-crash" => cases::late_crash(&record, has_trouble),
        "first-start" => cases::first_start(&record, has_trouble),
        "partial-entry" => cases::partial_entry(&record, has_trouble),
        "unknown-service" => cases::unknown_service(&record, has_trouble),
        "cut-streams" => cases::cut_streams(&record, has_trouble),
        _ => net::fail("no such case"),
    };
    let outcome = if is_broken { "broken" } else { "held" };
    record.note(format!("the rule was {outcome}"));
    println!("{case}: {outcome}");
    std::process::exit(i32::from(is_broken));
}
