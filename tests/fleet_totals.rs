//! Tests of the fleet's state as gateways get it in changes, over lossy links and under several
//! leaders.

use buckthorncleat::clock::Millis;
use buckthorncleat::fleet::ledger::Ledger;
use buckthorncleat::fleet::message::{Load, Report, Sums};
use buckthorncleat::fleet::totals::View;
use buckthorncleat::id::{BackendServerId, Incarnation, InstanceId, Term};
use buckthorncleat::sorted::Map;
use buckthorncleat::unit::Tokens;
use rand::{Rng as _, SeedableRng as _};

type Loads = Map<BackendServerId, Load>;

/// One gateway with what it knows.
struct Gateway {
    name: InstanceId,
    number: u8,
    accepts_callers: bool,
    loads: Loads,
    view: View,
}

impl Gateway {
    fn new(number: u8) -> Self {
        Self {
            name: format!("gateway-{number}").parse().unwrap(),
            number,
            accepts_callers: true,
            loads: Map::new(),
            view: View::default(),
        }
    }

    fn report(&self) -> Report {
        Report {
            accepts_callers: self.accepts_callers,
            known: self.view.known(),
            loads: self.loads.clone(),
            ..Report::idle(
                Incarnation::new(1),
                ([10, 0, 0, self.number], 80).into(),
                "klang-a".parse().unwrap(),
            )
        }
    }

    fn set_load(&mut self, server: u32, requests: u32) {
        let server = format!("i-{server:08x}").parse().unwrap();
        let load = Load {
            requests,
            memory: Tokens::new(4_000 * u64::from(requests)),
            prompts: Tokens::new(0),
        };
        match requests {
            0 => drop(self.loads.remove(&server)),
            _ => drop(self.loads.insert(server, load)),
        }
    }
}

/// Adds up the loads of all gateways but one.
fn others(gateways: &[Gateway], asker: usize) -> Loads {
    let mut sum = Loads::new();
    let others = gateways.iter().enumerate().filter(|(i, _)| *i != asker);
    for (server, load) in others.flat_map(|(_, g)| g.loads.iter()) {
        sum.get_or_insert_with(server.clone(), Default::default)
            .add(*load);
    }
    sum
}

/// 191 gateways with 83 busy servers: a summary names what changed, not the whole fleet.
#[test]
fn a_summary_without_news_is_short_in_a_large_fleet() {
    let mut ledger = Ledger::new(Term::new(1), Millis::from_secs(8));
    let mut gateways: Vec<Gateway> = (0..191).map(Gateway::new).collect();
    for gateway in &mut gateways {
        gateway.set_load(u32::from(gateway.number) % 83, 1);
        ledger.report(Millis::ZERO, &gateway.name, gateway.report());
    }
    let size = |sums: &Sums| postcard::to_stdvec(&sums.changes).unwrap().len();
    let first = ledger.report(Millis::new(10), &gateways[0].name, gateways[0].report());
    assert!(first.changes.whole);
    gateways[0].view.apply(Term::new(1), &first.changes);
    assert_eq!(gateways[0].view.entries().len(), 191);
    let second = ledger.report(Millis::new(20), &gateways[0].name, gateways[0].report());
    assert!(size(&second) < 10, "{}", size(&second));
    gateways[7].set_load(70, 3);
    ledger.report(Millis::new(30), &gateways[7].name, gateways[7].report());
    let third = ledger.report(Millis::new(40), &gateways[0].name, gateways[0].report());
    assert_eq!(third.changes.loads.len(), 1);
    assert!(size(&third) * 50 < size(&first));
}

/// A leader that was cut off answers late: its changes don't replace those of the next leader.
#[test]
fn changes_of_a_former_leader_are_ignored() {
    let mut gateway = Gateway::new(1);
    gateway.set_load(1, 1);
    let mut former = Ledger::new(Term::new(1), Millis::from_secs(8));
    let late = former.report(Millis::ZERO, &gateway.name, gateway.report());
    let mut ledger = Ledger::new(Term::new(2), Millis::from_secs(8));
    let newer = ledger.report(Millis::ZERO, &gateway.name, gateway.report());
    gateway.view.apply(Term::new(2), &newer.changes);
    gateway.view.apply(Term::new(1), &late.changes);
    let (term, _) = gateway.view.known().unwrap();
    assert_eq!(term, Term::new(2));
}

/// Reports and summaries are lost, doubled or late, and leaders change: after one exchange without
/// a fault each gateway knows exactly the loads and the entries of the others.
#[test]
fn views_are_exact_after_faults() {
    let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(11);
    let mut gateways: Vec<Gateway> = (0..30).map(Gateway::new).collect();
    for round in 1..=20_u64 {
        let mut term = Term::new(round * 10);
        let mut ledger = Ledger::new(term, Millis::from_secs(8));
        let mut now = Millis::from_secs(round * 100);
        for _ in 0..200 {
            now = now + Millis::new(rng.random_range(0..80));
            if rng.random_bool(0.01) {
                term = term.next();
                ledger = Ledger::new(term, Millis::from_secs(8));
            }
            let number = rng.random_range(0..gateways.len());
            let gateway = &mut gateways[number];
            gateway.set_load(rng.random_range(0..12), rng.random_range(0..4));
            gateway.accepts_callers = rng.random_bool(0.9);
            if rng.random_bool(0.2) {
                continue;
            }
            let report = gateway.report();
            let sums = ledger.report(now, &gateway.name, report.clone());
            if rng.random_bool(0.1) {
                ledger.report(now, &gateway.name, report);
            }
            if rng.random_bool(0.7) {
                gateway.view.apply(term, &sums.changes);
            }
        }
        for gateway in &gateways {
            ledger.report(now, &gateway.name, gateway.report());
        }
        let accepting = gateways.iter().filter(|g| g.accepts_callers).count();
        for i in 0..gateways.len() {
            let sums = ledger.report(now, &gateways[i].name, gateways[i].report());
            gateways[i].view.apply(term, &sums.changes);
            let view = &gateways[i].view;
            assert_eq!(
                view.loads_of_others(&gateways[i].loads),
                others(&gateways, i)
            );
            assert_eq!(view.entries().len(), accepting);
        }
    }
}

/// All gateways but one fall silent: their entries and loads are removed, also for a gateway that
/// was cut off while the removals were forgotten.
#[test]
fn removals_reach_gateways_that_were_cut_off() {
    let mut ledger = Ledger::new(Term::new(1), Millis::from_secs(8));
    let mut gateways: Vec<Gateway> = (0..3).map(Gateway::new).collect();
    for gateway in &mut gateways {
        gateway.set_load(u32::from(gateway.number), 1);
        ledger.report(Millis::ZERO, &gateway.name, gateway.report());
    }
    for gateway in &mut gateways {
        let sums = ledger.report(Millis::new(10), &gateway.name, gateway.report());
        gateway.view.apply(Term::new(1), &sums.changes);
    }
    for second in 1..=60 {
        let now = Millis::from_secs(second);
        ledger.report(now, &gateways[0].name, gateways[0].report());
    }
    let now = Millis::from_secs(60);
    let sums = ledger.report(now, &gateways[1].name, gateways[1].report());
    gateways[1].view.apply(Term::new(1), &sums.changes);
    assert_eq!(gateways[1].view.entries().len(), 2);
    let others = gateways[1].view.loads_of_others(&gateways[1].loads);
    assert_eq!(others.len(), 1, "{others:?}");
}
