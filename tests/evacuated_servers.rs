//! What one router and one member do with evacuations: which servers are picked, and how operators' calls
//! are answered.

use buckthorncleat::clock::Millis;
use buckthorncleat::fleet::evacuation::{EndTimes, MAX_EVACUATED, Notice, Revision};
use buckthorncleat::fleet::message::{Load, Server, ServerState};
use buckthorncleat::id::{BackendServerId, DataCentre};
use buckthorncleat::keeper::evacuations::{Action, Outcome, change};
use buckthorncleat::peer::trailer;
use buckthorncleat::replica::group::Group;
use buckthorncleat::router::availability::{Purpose, State};
use buckthorncleat::router::balancer::{Balancer, PickError};
use buckthorncleat::state::command::{Answer, Command, FeatureLevel};

const NOW: Millis = Millis::new(10);

fn zone(name: &str) -> DataCentre {
    name.parse().unwrap()
}

fn server(number: u8, zone: &str) -> Server {
    Server {
        id: id(number),
        service: "app".parse().unwrap(),
        address: ([10, 1, 0, number], 80).into(),
        data_centre: zone.parse().unwrap(),
        slots: 1,
        state: ServerState::Ready,
        version: None,
        stage: None,
        started_at: None,
    }
}

fn id(number: u8) -> BackendServerId {
    format!("s-{number}").parse().unwrap()
}

fn notice(revision: u64, zones: &[&str]) -> Notice {
    Notice {
        revision: Revision::new(revision),
        data_centres: zones.iter().map(|z| zone(z)).collect(),
        ended: Vec::new(),
    }
}

/// Guards against requests that wait for servers in evacuated data centres, that are refused although
/// another data centre has a server, and against reservations that stay.
#[test]
fn evacuated_servers_are_not_waited_for() {
    let mut balancer = Balancer::new(zone("a"));
    balancer.set_list(NOW, &[server(1, "a"), server(2, "b"), server(3, "b")]);
    let service = "app".parse().unwrap();
    let pick = |b: &Balancer, tried: &[BackendServerId]| b.pick_plain(NOW, &service, tried, 0);
    let is_vain = |b: &Balancer, tried: &[BackendServerId]| {
        b.is_service_evacuated(NOW, &service, Purpose::Plain, tried)
    };
    assert!(balancer.set_evacuations(&notice(1, &["a", "unknown"])));
    let full = Load {
        requests: 9,
        ..Load::default()
    };
    [2, 3].iter().for_each(|n| balancer.add_load(&id(*n), full));
    assert_eq!(pick(&balancer, &[]), Err(PickError::Full));
    assert!(!is_vain(&balancer, &[]));
    // The others run another version than the stream.
    assert_eq!(pick(&balancer, &[id(2), id(3)]), Err(PickError::Evacuated));
    assert!(is_vain(&balancer, &[id(2), id(3)]));
    balancer.set_leaving(vec![id(2), id(3)]);
    assert_eq!(pick(&balancer, &[]), Err(PickError::Evacuated));
    let begun = |b: &mut Balancer, purpose| b.begin_call(NOW, &id(1), purpose);
    assert_eq!(begun(&mut balancer, Purpose::Decode), Err(State::Evacuated));
    assert_eq!(begun(&mut balancer, Purpose::Release), Ok(false));
    assert!(!balancer.set_evacuations(&notice(1, &[])));
    assert!(balancer.set_evacuations(&notice(2, &["b"])));
    assert_eq!(pick(&balancer, &[]).unwrap().id, id(1));
    assert!(
        !balancer.set_evacuations(&notice(1, &["a"])),
        "a lower revision"
    );
}

/// Guards against a call that is acknowledged before all processes know evacuations, and against
/// acknowledgements that wait for a change that has been made already.
#[tokio::test]
async fn calls_are_acknowledged_once_all_processes_know_evacuations() {
    let group = Group::in_memory("m-1".parse().unwrap());
    let a = zone("a");
    assert_eq!(
        change(&group, Action::Start, &a).await,
        Outcome::LevelTooLow
    );
    assert_eq!(
        change(&group, Action::Finish, &a).await,
        Outcome::LevelTooLow
    );
    let raise = Command::RaiseLevel(FeatureLevel(trailer::CURRENT));
    group.propose(raise).await.unwrap();
    assert_eq!(change(&group, Action::Finish, &a).await, Outcome::Unchanged);
    for expected in [Outcome::Committed, Outcome::Unchanged] {
        assert_eq!(change(&group, Action::Start, &a).await, expected);
    }
    assert_eq!(change(&group, Action::Finish, &a).await, Outcome::Committed);
    for number in 0..=MAX_EVACUATED {
        let start = Command::StartEvacuation(zone(&format!("z{number}")));
        let is_refused = matches!(group.propose(start).await, Ok(Answer::Refused(_)));
        assert_eq!(is_refused, number == MAX_EVACUATED, "{number}");
    }
    assert!(matches!(
        change(&group, Action::Start, &a).await,
        Outcome::Refused(_)
    ));
}

/// Guards against servers that count as warm at a leader that has not seen the evacuation end.
#[tokio::test]
async fn a_member_that_just_started_counts_an_end_from_its_own_start() {
    let group = Group::in_memory("m-1".parse().unwrap());
    for command in [Command::StartEvacuation, Command::FinishEvacuation] {
        group.propose(command(zone("a"))).await.unwrap();
    }
    let mut ends = EndTimes::default();
    for (now, expected) in [(50, Some(0)), (29_000, Some(28_950)), (31_000, None)] {
        let now = Millis::new(now);
        let notice = group.with_state(|s| {
            ends.observe(now, s.evacuations());
            ends.notice(now, s.evacuations())
        });
        let expected = expected.map(|age| (zone("a"), Millis::new(age)));
        assert_eq!(notice.ended, Vec::from_iter(expected));
    }
}
