//! The share of model servers that read prompts follows the work.

use buckthorncleat::clock::Millis;
use buckthorncleat::document::ServiceId;
use buckthorncleat::fleet::message::{Load, Server, ServerState, Stage};
use buckthorncleat::fleet::roles::{Roles, View};
use buckthorncleat::unit::Tokens;

struct World {
    now: u64,
    prompts: u64,
    servers: Vec<Server>,
    roles: Roles,
    orders: usize,
}

fn service() -> ServiceId {
    "model".parse().unwrap()
}

impl World {
    fn new(prefill: usize, decode: usize) -> Self {
        let server = |n: usize| Server {
            id: format!("server-{n}").parse().unwrap(),
            service: service(),
            address: ([10, 0, 0, n as u8], 80).into(),
            data_centre: "a".parse().unwrap(),
            slots: 64,
            state: ServerState::Ready,
            stage: Some(if n < prefill {
                Stage::Prefill
            } else {
                Stage::Decode
            }),
        };
        Self {
            now: 0,
            prompts: 0,
            servers: (0..prefill + decode).map(server).collect(),
            roles: Roles::default(),
            orders: 0,
        }
    }

    /// Runs with a load in prompt tokens a millisecond and tokens of memory held.
    fn run(&mut self, seconds: u64, prompts_per_ms: f64, memory: u64) {
        for _ in 0..seconds * 2 {
            self.now += 500;
            self.prompts += (prompts_per_ms * 500.0) as u64;
            let decode = self.count(Stage::Decode) as u64;
            let load = |s: &Server| Load {
                requests: 1,
                memory: Tokens::new(if s.stage == Some(Stage::Decode) {
                    memory / decode
                } else {
                    0
                }),
                prompts: Tokens::new(0),
            };
            let id = service();
            let view = View {
                service: &id,
                capacity: Tokens::new(37_500),
                prompts_total: self.prompts,
                servers: self.servers.iter().map(|s| (s, load(s))).collect(),
            };
            let now = Millis::new(self.now);
            let change = self.roles.sample(now, &view);
            self.roles.settle(now, &self.servers);
            if let Some(change) = change {
                self.roles.note_order(now, &change, Millis::from_secs(6));
                assert!(self.roles.is_changing(&change.server));
                let changed = self.servers.iter_mut().find(|s| s.id == change.server);
                changed.unwrap().stage = Some(change.stage);
                self.orders += 1;
            }
        }
    }

    fn count(&self, stage: Stage) -> usize {
        self.servers
            .iter()
            .filter(|s| s.stage == Some(stage))
            .count()
    }
}

/// Pattern: long answers; memory for streams binds while prefill servers idle.
#[test]
fn idle_prefill_servers_are_made_to_generate() {
    let mut world = World::new(31, 59);
    world.run(200, 270.0, 1_100_000);
    assert!(
        (22..=27).contains(&world.count(Stage::Prefill)),
        "{}",
        world.count(Stage::Prefill)
    );
}

/// Pattern: long prompts; prefill binds.
#[test]
fn long_prompts_get_more_prefill_servers() {
    let mut world = World::new(3, 9);
    world.run(120, 120.0, 120_000);
    assert!(
        world.count(Stage::Prefill) >= 5,
        "{}",
        world.count(Stage::Prefill)
    );
}

#[test]
fn a_ratio_that_fits_is_left_alone_at_any_load() {
    let mut world = World::new(3, 9);
    for share in [1.0, 0.2, 2.0, 1.0] {
        world.run(60, 41.0 * share, (172_000.0 * share) as u64);
    }
    assert!(world.orders <= 1, "{} orders", world.orders);
}

#[test]
fn nothing_is_ordered_without_work() {
    let mut world = World::new(4, 8);
    world.run(60, 0.0, 0);
    assert_eq!(world.orders, 0);
}

#[test]
fn two_prefill_servers_remain() {
    let mut world = World::new(4, 8);
    world.run(300, 0.5, 250_000);
    assert_eq!(world.count(Stage::Prefill), 2);
}
