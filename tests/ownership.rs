//! Tests that a role never has two owners at once, under message delays, network cuts, process
//! pauses, restarts and leader changes.

use buckthorncleat::clock;
use buckthorncleat::controller::freshness;
use buckthorncleat::controller::ownership;
use buckthorncleat::id;
use buckthorncleat::sorted;
use buckthorncleat::state::model;
use rand::Rng as _;
use rand::SeedableRng as _;

const SEEDS: u64 = if cfg!(debug_assertions) { 30 } else { 150 };
const FAULTY_MS: u64 = 90_000;
const QUIET_MS: u64 = 15_000;
const LEASE_MS: u64 = 2_000;
const SESSION_MS: u64 = 2_500;
const WATCH_INTERVAL_MS: u64 = 250;
const KEPT_EPOCHS: usize = 4;

type Members = sorted::Map<id::InstanceId, model::Member>;

#[derive(Clone, Copy)]
struct DriftingClock {
    offset: u64,
    permille: u64,
}

impl DriftingClock {
    fn draw(rng: &mut rand_chacha::ChaCha8Rng) -> Self {
        Self {
            offset: rng.random_range(0..1_000_000),
            permille: rng.random_range(990..=1_010),
        }
    }

    fn read(self, now: u64) -> clock::Millis {
        clock::Millis::new(self.offset + now * self.permille / 1000)
    }
}

struct Gateway {
    member: model::Member,
    clock: DriftingClock,
    lease: freshness::Lease,
    ownership: ownership::Ownership,
    next_watch: u64,
    paused_until: u64,
    /// Until when messages from and to the gateway are lost.
    cut: [u64; 2],
    killed_at: Option<u64>,
}

struct Session {
    member: model::Member,
    received_at: clock::Millis,
    acked: id::Epoch,
}

/// The leader of the control group, and the log that outlives it.
struct Leader {
    clock: DriftingClock,
    elected: clock::Millis,
    away_until: u64,
    log: Vec<Members>,
    sessions: Vec<Session>,
    retired: Vec<id::Incarnation>,
}

enum Body {
    Watch {
        member: model::Member,
        have: id::Epoch,
    },
    Watched {
        commits: Vec<(id::Epoch, Members)>,
        settled: id::Epoch,
    },
}

struct Message {
    due: u64,
    gateway: id::Incarnation,
    sent: clock::Millis,
    body: Body,
}

impl Leader {
    fn epoch(&self) -> id::Epoch {
        id::Epoch::new(self.log.len() as u64 - 1)
    }

    fn commit(&mut self, change: impl FnOnce(&mut Members)) {
        let mut members = self.log.last().unwrap().clone();
        change(&mut members);
        self.log.push(members);
    }

    /// A new leader assumes that every member is alive, and settles no epoch for the length of a
    /// session.
    fn elect(&mut self, now: u64, clock: DriftingClock) {
        self.clock = clock;
        self.elected = clock.read(now);
        self.sessions = self
            .log
            .last()
            .unwrap()
            .values()
            .map(|m| Session {
                member: m.clone(),
                received_at: self.elected,
                acked: id::Epoch::new(0),
            })
            .collect();
    }

    fn expire(&mut self, now: u64) {
        let now = self.clock.read(now);
        let ended = |s: &Session| now - s.received_at >= clock::Millis::new(SESSION_MS);
        let gone: Vec<model::Member> = self
            .sessions
            .iter()
            .filter(|s| ended(s))
            .map(|s| s.member.clone())
            .collect();
        self.sessions.retain(|s| !ended(s));
        for member in gone {
            if self.log.last().unwrap().get(&member.id) == Some(&member) {
                self.commit(|m| drop(m.remove(&member.id)));
            }
        }
    }

    fn watch(&mut self, now: u64, member: model::Member, have: id::Epoch) -> Option<Body> {
        if self.retired.contains(&member.incarnation) {
            return None;
        }
        let known = self.log.last().unwrap().get(&member.id).cloned();
        if known.as_ref() != Some(&member) {
            self.retired.extend(
                known
                    .map(|k| k.incarnation)
                    .filter(|i| *i != member.incarnation),
            );
            self.commit(|m| drop(m.insert(member.id.clone(), member.clone())));
        }
        let received_at = self.clock.read(now);
        self.sessions
            .retain(|s| s.member.incarnation != member.incarnation);
        self.sessions.push(Session {
            member,
            received_at,
            acked: have,
        });
        let first = have.as_u64() as usize + 1;
        let first = if self.log.len() > first + KEPT_EPOCHS {
            self.log.len() - 1
        } else {
            first
        };
        let commits = (first..self.log.len())
            .map(|e| (id::Epoch::new(e as u64), self.log[e].clone()))
            .collect();
        Some(Body::Watched {
            commits,
            settled: self.settled(received_at),
        })
    }

    /// Sessions of replaced incarnations count until they end: their lease may still run.
    fn settled(&self, now: clock::Millis) -> id::Epoch {
        if now - self.elected < clock::Millis::new(SESSION_MS) {
            return id::Epoch::new(0);
        }
        self.sessions
            .iter()
            .map(|s| s.acked)
            .min()
            .unwrap_or(self.epoch())
    }
}

struct Fleet {
    rng: rand_chacha::ChaCha8Rng,
    now: u64,
    quiet: bool,
    leader: Leader,
    gateways: Vec<Gateway>,
    messages: Vec<Message>,
    roles: Vec<ownership::Role>,
    incarnations: u64,
    served: u64,
    started: u64,
    hand_overs: Vec<(ownership::HandOver, id::Incarnation)>,
    last: sorted::Map<ownership::Role, id::Incarnation>,
    handed_over: u64,
}

impl Fleet {
    fn new(seed: u64, count: usize) -> Self {
        let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
        let clock = DriftingClock::draw(&mut rng);
        let leader = Leader {
            clock,
            elected: clock.read(0),
            away_until: 0,
            log: vec![Members::new()],
            sessions: Vec::new(),
            retired: Vec::new(),
        };
        let roles = (0..6)
            .map(|i| ownership::Role::Limiter(format!("account-{i}").parse().unwrap()))
            .collect();
        let mut fleet = Self {
            rng,
            now: 0,
            quiet: false,
            leader,
            gateways: Vec::new(),
            messages: Vec::new(),
            roles,
            incarnations: 0,
            served: 0,
            started: 0,
            hand_overs: Vec::new(),
            last: sorted::Map::new(),
            handed_over: 0,
        };
        for i in 0..count {
            fleet.start(i);
        }
        fleet
    }

    fn start(&mut self, number: usize) {
        self.incarnations += 1;
        let id: id::InstanceId = format!("entry-{number}").parse().unwrap();
        let incarnation = id::Incarnation::new(self.incarnations);
        let member = model::Member {
            id: id.clone(),
            incarnation,
            data_centre: "klang-1".parse().unwrap(),
            caller_address: "127.0.0.1:1".parse().unwrap(),
            peer_address: "127.0.0.1:2".parse().unwrap(),
            leaving: false,
        };
        self.gateways.push(Gateway {
            member,
            clock: DriftingClock::draw(&mut self.rng),
            lease: freshness::Lease::new(clock::Millis::new(LEASE_MS)),
            ownership: ownership::Ownership::new(id, incarnation),
            next_watch: self.now,
            paused_until: 0,
            cut: [0; 2],
            killed_at: None,
        });
    }

    fn step(&mut self) {
        self.now += self.rng.random_range(1..20);
        if !self.quiet && self.rng.random_bool(0.01) {
            self.fault();
        }
        if self.now >= self.leader.away_until {
            self.leader.expire(self.now);
        }
        self.deliver();
        for at in 0..self.gateways.len() {
            self.run_gateway(at);
        }
        self.check();
    }

    fn fault(&mut self) {
        let now = self.now;
        let at = self.rng.random_range(0..self.gateways.len());
        let until = now + self.rng.random_range(0..8_000);
        match self.rng.random_range(0..8) {
            0 | 1 => self.gateways[at].paused_until = until,
            2 => self.gateways[at].cut[0] = until,
            3 => self.gateways[at].cut[1] = until,
            4 => self.gateways[at].cut = [until; 2],
            5 => self.restart(at),
            6 => self.gateways[at].member.leaving ^= true,
            _ => {
                self.leader.away_until = now + self.rng.random_range(300..2_000);
                let clock = DriftingClock::draw(&mut self.rng);
                self.leader.elect(self.leader.away_until, clock);
            }
        }
    }

    /// Starts a new incarnation; the previous process is either gone or continues under the same
    /// name.
    fn restart(&mut self, at: usize) {
        let name = self.gateways[at].member.id.clone();
        let number = name.as_str().trim_start_matches("entry-").parse().unwrap();
        if self.rng.random_bool(0.5) {
            self.gateways.remove(at);
        } else {
            self.gateways[at].killed_at = Some(self.now + 10_000);
        }
        self.start(number);
    }

    fn draw_delay(&mut self) -> u64 {
        let is_long = !self.quiet && self.rng.random_bool(0.1);
        self.rng.random_range(1..if is_long { 900 } else { 20 })
    }

    fn run_gateway(&mut self, at: usize) {
        let delay = self.draw_delay();
        let gateway = &mut self.gateways[at];
        if self.now < gateway.paused_until || self.now < gateway.next_watch {
            return;
        }
        gateway.next_watch = self.now + WATCH_INTERVAL_MS;
        if self.now < gateway.cut[0] {
            return;
        }
        self.messages.push(Message {
            due: self.now + delay,
            gateway: gateway.member.incarnation,
            sent: gateway.clock.read(self.now),
            body: Body::Watch {
                member: gateway.member.clone(),
                have: gateway.ownership.epoch(),
            },
        });
    }

    fn deliver(&mut self) {
        let (due, later) = std::mem::take(&mut self.messages)
            .into_iter()
            .partition(|m: &Message| m.due <= self.now);
        self.messages = later;
        for message in due {
            match message.body {
                Body::Watch { member, have } => {
                    if self.now < self.leader.away_until {
                        continue;
                    }
                    let reply = self.leader.watch(self.now, member, have);
                    let due = self.now + self.draw_delay();
                    self.messages.extend(reply.map(|body| Message {
                        due,
                        body,
                        ..message
                    }));
                }
                Body::Watched { commits, settled } => {
                    self.watched(message.gateway, message.sent, commits, settled);
                }
            }
        }
    }

    fn watched(
        &mut self,
        to: id::Incarnation,
        sent: clock::Millis,
        commits: Vec<(id::Epoch, Members)>,
        settled: id::Epoch,
    ) {
        let now = self.now;
        let Some(gateway) = self
            .gateways
            .iter_mut()
            .find(|g| g.member.incarnation == to)
        else {
            return;
        };
        if now < gateway.cut[1] {
            return;
        }
        if now < gateway.paused_until {
            let due = gateway.paused_until;
            let body = Body::Watched { commits, settled };
            self.messages.push(Message {
                due,
                gateway: to,
                sent,
                body,
            });
            return;
        }
        for (epoch, members) in &commits {
            gateway.ownership.configure(*epoch, members);
        }
        gateway.ownership.set_settled(settled);
        gateway.lease.renew(sent);
        gateway.ownership.extend_lease(gateway.lease.until());
        let changes = gateway
            .ownership
            .update(gateway.clock.read(now), &self.roles);
        let hand_overs = gateway.ownership.take_hand_overs();
        self.hand_overs
            .extend(hand_overs.into_iter().map(|p| (p, to)));
        for change in changes {
            let ownership::Change::Started(role) = change else {
                continue;
            };
            self.started += 1;
            let epoch = gateway.ownership.since(&role).unwrap();
            let is_hand_over =
                |(p, _): &&(ownership::HandOver, _)| p.role == role && p.epoch == epoch;
            if let Some((_, from)) = self.hand_overs.iter().find(is_hand_over) {
                self.handed_over += 1;
                assert_eq!(
                    self.last.get(&role),
                    Some(from),
                    "{role:?} was served in between"
                );
            }
        }
    }

    fn check(&mut self) {
        let now = self.now;
        self.gateways
            .retain(|g| g.killed_at.is_none_or(|end| now < end));
        for role in &self.roles {
            let serving: Vec<&model::Member> = self
                .gateways
                .iter()
                .filter(|g| g.ownership.serves(g.clock.read(now), role) == ownership::Serving::Yes)
                .map(|g| &g.member)
                .collect();
            assert!(
                serving.len() <= 1,
                "{role:?} is served by {serving:?} at {now}"
            );
            self.served += serving.len() as u64;
            if let Some(member) = serving.first() {
                self.last.insert(role.clone(), member.incarnation);
            }
            if self.quiet && now > FAULTY_MS + QUIET_MS - 1_000 {
                assert_eq!(serving.len(), 1, "{role:?} is served again once faults end");
            }
        }
    }
}

#[test]
fn no_role_is_served_by_two_instances_at_once() {
    let (mut served, mut started, mut handed_over) = (0, 0, 0);
    for seed in 0..SEEDS {
        let mut fleet = Fleet::new(seed, 3 + seed as usize % 5);
        while fleet.now < FAULTY_MS {
            fleet.step();
        }
        fleet.quiet = true;
        while fleet.now < FAULTY_MS + QUIET_MS {
            fleet.step();
        }
        served += fleet.served;
        started += fleet.started;
        handed_over += fleet.handed_over;
    }
    assert!(served > SEEDS * 10_000, "served {served}");
    assert!(handed_over > SEEDS, "handed over {handed_over}");
    assert!(started > SEEDS * 20, "started {started}");
}
