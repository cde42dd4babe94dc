//! Tests when the feature level is raised, and what a build does with data of a later level.

use buckthorncleat::clock::Millis;
use buckthorncleat::fleet::upgrade::{QUIET_TIME, Wait, Watch};
use buckthorncleat::id::InstanceId;
use buckthorncleat::peer::trailer::{CURRENT, FIRST, ProtocolVersion};
use buckthorncleat::replica::group::MemberVersions;
use buckthorncleat::state::command::{Command, FeatureLevel, State};

const CHECK_INTERVAL: u64 = 100;

fn id(name: &str) -> InstanceId {
    name.parse().unwrap()
}

fn versions(of: &[Option<ProtocolVersion>], is_new_group: bool) -> MemberVersions {
    let members = of.iter().enumerate();
    MemberVersions {
        members: members.map(|(n, v)| (id(&format!("m{n}")), *v)).collect(),
        is_new_group,
    }
}

/// Checks in the leader's interval from `from` to `to` and returns the last result.
fn check(
    watch: &mut Watch,
    (from, to): (u64, u64),
    members: &MemberVersions,
) -> Result<Option<FeatureLevel>, Wait> {
    let mut last = Ok(None);
    for now in (from..=to).step_by(CHECK_INTERVAL as usize) {
        last = watch.next_level(Millis::new(now), FeatureLevel(FIRST), members);
    }
    last
}

const ALL: [Option<ProtocolVersion>; 3] = [Some(CURRENT); 3];

/// EVAC: evacuations of the first seconds were refused since the leader waited for old routers that
/// can't exist.
#[test]
fn a_new_group_raises_its_level_at_once() {
    let raised = Ok(Some(FeatureLevel(CURRENT)));
    assert_eq!(
        check(&mut Watch::default(), (0, 0), &versions(&ALL, true)),
        raised
    );
    let unknown = versions(&[Some(CURRENT), None], true);
    let waits = Err(Wait::UnknownMember(id("m1")));
    assert_eq!(check(&mut Watch::default(), (0, 0), &unknown), waits);
    let mut watch = Watch::default();
    watch.record_report(Millis::ZERO, FIRST);
    assert_eq!(
        check(&mut watch, (0, 0), &versions(&ALL, true)),
        Err(Wait::OlderRouter(FIRST))
    );
}

/// The level was raised while an older member or router was still there, which could not go on.
#[test]
fn an_older_member_or_router_keeps_the_level() {
    let mut watch = Watch::default();
    let mixed = versions(&[Some(CURRENT), Some(FIRST), Some(CURRENT)], true);
    let waits = Err(Wait::OlderMember(id("m1"), FIRST));
    assert_eq!(check(&mut watch, (0, 30_000), &mixed), waits);
    watch.record_report(Millis::new(30_000), FIRST);
    let quiet = 30_000 + QUIET_TIME.as_u64();
    let all = versions(&ALL, false);
    let waits = Err(Wait::OlderRouter(FIRST));
    assert_eq!(check(&mut watch, (30_000, quiet - 1), &all), waits);
    let raised = Ok(Some(FeatureLevel(CURRENT)));
    assert_eq!(check(&mut watch, (quiet, quiet), &all), raised);
}

/// A leader that was new, or had been frozen, took routers for gone that it had not heard yet.
#[test]
fn a_leader_waits_for_older_routers_without_a_gap() {
    let (quiet, all) = (QUIET_TIME.as_u64(), versions(&ALL, false));
    let mut watch = Watch::default();
    let raised = Ok(Some(FeatureLevel(CURRENT)));
    assert_eq!(
        check(&mut watch, (0, quiet - 1), &all),
        Err(Wait::NewLeader)
    );
    assert_eq!(check(&mut watch, (quiet, quiet), &all), raised);
    let mut watch = Watch::default();
    assert_eq!(check(&mut watch, (0, 5_000), &all), Err(Wait::NewLeader));
    let thawed = 60_000;
    assert_eq!(
        check(&mut watch, (thawed, thawed + quiet - 1), &all),
        Err(Wait::NewLeader)
    );
    assert_eq!(
        check(&mut watch, (thawed + quiet, thawed + quiet), &all),
        raised
    );
}

#[test]
fn the_level_never_falls_and_survives_a_snapshot() {
    let mut state = State::default();
    for level in [2, 1, 2] {
        state.apply(&Command::RaiseLevel(FeatureLevel(ProtocolVersion::new(
            level,
        ))));
        assert_eq!(state.feature_level(), FeatureLevel(CURRENT));
    }
    let read = State::from_bytes(&state.to_bytes().unwrap()).unwrap();
    assert_eq!(read, state);
}

/// The first release read a snapshot of a raised group, dropped what it did not know and wrote the
/// rest into its next snapshot.
#[test]
fn a_snapshot_of_a_raised_group_is_unreadable_for_the_first_release() {
    let mut state = State::default();
    let read_first = |bytes: &[u8]| postcard::from_bytes::<State>(bytes);
    assert!(read_first(&state.to_bytes().unwrap()).is_ok());
    state.apply(&Command::RaiseLevel(FeatureLevel(CURRENT)));
    assert!(read_first(&state.to_bytes().unwrap()).is_err());
}

/// A member went on with a log or snapshot of a later build that it can't read.
#[test]
fn data_of_a_later_level_is_an_error_with_both_versions() {
    let later = FeatureLevel(CURRENT.next());
    let bytes = postcard::to_stdvec(&Command::RaiseLevel(later)).unwrap();
    let mut state = State::default();
    state.apply(&Command::RaiseLevel(later));
    let snapshot = state.to_bytes().unwrap();
    let unknown = [0x7f, 1, 2, 3];
    let errors = [
        (
            Command::from_bytes(&bytes, FeatureLevel(CURRENT)).unwrap_err(),
            later,
        ),
        (Command::from_bytes(&unknown, later).unwrap_err(), later),
        (State::from_bytes(&snapshot).unwrap_err(), later),
    ];
    for (error, level) in errors {
        let error = error.to_string();
        assert!(error.contains("protocol version 2"), "{error}");
        assert!(
            error.contains(&format!("feature level {}", level.0)),
            "{error}"
        );
        assert!(error.contains("keep the data folder"), "{error}");
    }
}
