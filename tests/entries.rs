//! Tests of the ranking of gateways for callers.

use buckthorncleat::clock;
use buckthorncleat::controller::entries;
use buckthorncleat::id;
use buckthorncleat::sorted;
use buckthorncleat::state::model;

const CALLERS: u64 = 3_000;

fn member(number: u16, data_centre: &str, leaving: bool) -> (id::InstanceId, model::Member) {
    let id: id::InstanceId = format!("entry-{number}").parse().unwrap();
    let member = model::Member {
        id: id.clone(),
        incarnation: id::Incarnation::new(1),
        data_centre: data_centre.parse().unwrap(),
        caller_address: ([127, 0, 0, 1], number).into(),
        peer_address: ([127, 0, 0, 1], 1_000 + number).into(),
        leaving,
    };
    (id, member)
}

fn load(number: u16, running: u32, seen: u64) -> (id::InstanceId, entries::Load) {
    let load = entries::Load {
        running,
        capacity: 100,
        seen: clock::Millis::new(seen),
    };
    (format!("entry-{number}").parse().unwrap(), load)
}

fn ports(
    members: &sorted::Map<id::InstanceId, model::Member>,
    loads: &sorted::Map<id::InstanceId, entries::Load>,
    seed: u64,
) -> Vec<u16> {
    let query = entries::Query {
        now: clock::Millis::new(10_000),
        seed,
    };
    let answer = entries::rank(members, loads, &"klang-1".parse().unwrap(), query);
    assert_eq!(answer.max_age, entries::MAX_AGE);
    answer.entries.iter().map(|e| e.address.port()).collect()
}

#[test]
fn leaving_stale_and_overloaded_gateways_are_left_out() {
    let members = [
        member(1, "klang-2", false),
        member(2, "klang-1", false),
        member(3, "klang-1", true),
        member(4, "klang-1", false),
        member(5, "klang-1", false),
    ];
    let members: sorted::Map<_, _> = members.into_iter().collect();
    let loads = [load(4, 95, 9_900), load(5, 1, 6_999), load(1, 10, 9_000)];
    let mut loads: sorted::Map<_, _> = loads.into_iter().collect();
    assert_eq!(ports(&members, &loads, 1), [2, 1]);
    for number in [1, 2] {
        let (id, load) = load(number, 99, 9_900);
        loads.insert(id, load);
    }
    let mut all = ports(&members, &loads, 1);
    all.sort_unstable();
    assert_eq!(
        all,
        [1, 2, 4],
        "overloaded gateways are returned when there are no others"
    );
}

#[test]
fn callers_spread_by_free_capacity_within_their_data_centre() {
    let members = (1..=6).map(|n| member(n, if n <= 3 { "klang-1" } else { "klang-2" }, false));
    let members: sorted::Map<_, _> = members.collect();
    let loads = [load(1, 20, 9_900), load(2, 20, 9_900), load(3, 60, 9_900)];
    let loads: sorted::Map<_, _> = loads.into_iter().collect();
    let mut first = [0_u64; 7];
    for seed in 0..CALLERS {
        let ports = ports(&members, &loads, seed);
        assert_eq!(ports.len(), 6);
        assert!(
            ports[..3].iter().all(|port| *port <= 3),
            "gateways in the caller's data centre come first"
        );
        first[usize::from(ports[0])] += 1;
    }
    for (number, share) in [(1, 400), (2, 400), (3, 200)] {
        let expected = CALLERS * share / 1_000;
        let difference = first[number].abs_diff(expected);
        assert!(difference < CALLERS / 25, "entry-{number}: {first:?}");
    }
}
