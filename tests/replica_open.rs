//! Groups with open admission: forming a group, admitting joining nodes, replacing inactive voters.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use buckthorncleat::clock::Millis;
use buckthorncleat::id::{Incarnation, InstanceId};
use buckthorncleat::replica::core::message::{Input, Message, NodeId, Output};
use buckthorncleat::replica::core::{Admission, Peer, Replica, Settings, Stored};

const ELECTION: Millis = Millis::new(500);
const HEARTBEAT: Millis = Millis::new(120);
const REPLACE_AFTER: Millis = Millis::new(2_500);
const STEP: u64 = 10;

/// Replicas with a lossless network and disks without delay.
#[derive(Default)]
struct Group {
    now: u64,
    nodes: BTreeMap<u8, Replica>,
    messages: Vec<Message>,
    read_interval: Option<u64>,
}

fn name(number: u8) -> InstanceId {
    format!("10.0.0.{number}").parse().unwrap()
}

fn address(number: u8) -> SocketAddr {
    ([10, 0, 0, number], 7600).into()
}

impl Group {
    fn start(
        &mut self,
        number: u8,
        incarnation: u64,
        initial_members: &[u8],
        may_form_group: bool,
    ) {
        let peer = |n: &u8| Peer {
            instance: name(*n),
            address: address(*n),
        };
        let settings = Settings {
            node: NodeId {
                instance: name(number),
                incarnation: Incarnation::new(incarnation),
            },
            initial_members: initial_members.iter().map(peer).collect(),
            address: address(number),
            admission: Admission::Open {
                may_form_group,
                target_voters: 3,
                replace_after: REPLACE_AFTER,
            },
            election_timeout: ELECTION,
            heartbeat_interval: HEARTBEAT,
            trailing_entries: 10,
            seed: u64::from(number) * 1_000 + incarnation,
        };
        let replica = Replica::new(settings, Stored::default(), Millis::new(self.now));
        self.nodes.insert(number, replica);
    }

    fn input(&mut self, number: u8, input: Input) {
        let Some(replica) = self.nodes.get_mut(&number) else {
            return;
        };
        let mut inputs = vec![input];
        while let Some(input) = inputs.pop() {
            for output in replica.step(Millis::new(self.now), input) {
                match output {
                    Output::Send(message) => {
                        assert!(replica.address_of(&message.to.instance).is_some());
                        self.messages.push(message);
                    }
                    Output::Persist(batch) => inputs.push(Input::Persisted(batch.number)),
                    _ => {}
                }
            }
        }
    }

    fn run(&mut self, duration: u64) {
        let end = self.now + duration;
        while self.now < end {
            self.now += STEP;
            for message in std::mem::take(&mut self.messages) {
                let to = (1..=9).find(|n| name(*n) == message.to.instance);
                self.input(to.unwrap(), Input::Message(message));
            }
            let numbers: Vec<u8> = self.nodes.keys().copied().collect();
            let reads = self
                .read_interval
                .is_some_and(|every| self.now.is_multiple_of(every));
            for number in numbers {
                self.input(number, Input::Tick);
                if reads {
                    self.input(number, Input::Read { request: self.now });
                }
            }
        }
    }

    fn leader(&self) -> Option<u8> {
        let leads = |(n, r): (&u8, &Replica)| r.is_leader().then_some(*n);
        self.nodes.iter().find_map(leads)
    }

    fn voters(&self) -> Vec<String> {
        let leader = self.leader().expect("a leader");
        let members = self.nodes[&leader].members().unwrap();
        members.voters.keys().map(ToString::to_string).collect()
    }

    fn is_voter_in_group(&self, number: u8) -> bool {
        let node = self.nodes[&number].node().clone();
        let leader = self.leader().expect("a leader");
        self.nodes[&leader].members().unwrap().is_voter(&node)
    }
}

fn formed() -> Group {
    let mut group = Group::default();
    for number in 1..=3 {
        group.start(number, 1, &[1, 2, 3], true);
    }
    group.run(2_000);
    assert_eq!(group.voters().len(), 3);
    group
}

#[test]
fn initial_members_form_a_group() {
    formed();
}

#[test]
fn nodes_without_permission_form_no_group() {
    let mut group = Group::default();
    for number in 1..=3 {
        group.start(number, 1, &[1, 2, 3], false);
    }
    group.run(5_000);
    assert_eq!(group.leader(), None);
}

/// Regression test: heartbeat rounds for reads postponed the promotion of learners. A member that
/// had lost its disk did not become a voter again, and the next lost disk cost the group its
/// majority.
#[test]
fn member_with_lost_disk_becomes_voter_under_constant_reads() {
    for every in [50, 100, 120, 150] {
        let mut group = formed();
        group.read_interval = Some(every);
        let lost = (1..=3).find(|n| Some(*n) != group.leader()).unwrap();
        group.start(lost, 2, &[1, 2, 3], false);
        group.run(2_000);
        assert!(group.is_voter_in_group(lost), "reads every {every} ms");
        assert_eq!(group.voters().len(), 3);
    }
}

#[test]
fn joining_node_replaces_inactive_voter() {
    for removed in 1..=3 {
        let mut group = formed();
        group.read_interval = Some(100);
        group.nodes.remove(&removed);
        let seed = if removed == 1 { 2 } else { 1 };
        group.start(4, 1, &[seed], false);
        group.run(8_000);
        assert!(group.is_voter_in_group(4));
        assert!(!group.voters().contains(&name(removed).to_string()));
        assert_eq!(group.voters().len(), 3);
    }
}

#[test]
fn joining_node_is_not_promoted_while_all_voters_are_active() {
    let mut group = formed();
    group.start(4, 1, &[1, 2, 3], false);
    group.run(8_000);
    assert!(!group.is_voter_in_group(4));
    assert_eq!(group.voters().len(), 3);
}

#[test]
fn joining_node_finds_leader_not_in_its_settings() {
    let mut group = formed();
    let leader = group.leader().unwrap();
    let other = (1..=3).find(|n| *n != leader).unwrap();
    let last = (1..=3).find(|n| *n != leader && *n != other).unwrap();
    group.nodes.remove(&last);
    group.start(4, 1, &[other], false);
    group.run(8_000);
    assert!(group.is_voter_in_group(4));
}
