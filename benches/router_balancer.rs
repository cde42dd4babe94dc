//! Measures one pick of a server by a router, for several numbers of servers.

use std::hint;

use criterion::Criterion;

use buckthorncleat::clock;
use buckthorncleat::document;
use buckthorncleat::fleet::message;
use buckthorncleat::id;
use buckthorncleat::router::balancer;
use buckthorncleat::unit;

const NOW: clock::Millis = clock::Millis::new(1_000);
const PROMPT: unit::Tokens = unit::Tokens::new(3_200);
const MEMORY: unit::Tokens = unit::Tokens::new(4_000);

fn service() -> document::Service {
    document::Service {
        id: "model".parse().expect("a name"),
        connections: 100,
        engine: Some(document::Engine {
            slots: 64,
            memory: unit::Tokens::new(29_000),
            export_ttl: clock::Millis::new(500),
            max_reservation_ttl: clock::Millis::from_secs(2),
        }),
        cold_start: None,
    }
}

fn server_id(number: usize) -> id::BackendServerId {
    format!("server-{number}").parse().expect("a name")
}

/// A third of the servers do prefill; the others decode and are half full.
fn half_full_balancer(count: usize) -> balancer::Balancer {
    let stage = |n: usize| match n % 3 {
        0 => message::Stage::Prefill,
        _ => message::Stage::Decode,
    };
    let server = |n: usize| message::Server {
        id: server_id(n),
        service: "model".parse().expect("a name"),
        address: ([10, 0, 0, n as u8], 80).into(),
        data_centre: format!("c{}", n % 4).parse().expect("a name"),
        slots: 64,
        state: message::ServerState::Ready,
        stage: Some(stage(n)),
        version: None,
        started_at: None,
    };
    let list: Vec<message::Server> = (0..count).map(server).collect();
    let mut balancer = balancer::Balancer::new("c1".parse().expect("a name"));
    balancer.set_list(clock::Millis::ZERO, &list);
    let load = |n: usize| message::Load {
        requests: 4,
        memory: unit::Tokens::new(14_000 + 31 * n as u64),
        prompts: unit::Tokens::new(0),
    };
    balancer.set_remote_loads(NOW, (0..count).map(|n| (server_id(n), load(n))).collect());
    balancer
}

/// Every tenth server takes four calls a second.
fn limit_a_tenth(balancer: &mut balancer::Balancer, count: usize) {
    let rate = unit::CallRate::from_millicalls(4_000);
    let limits = (0..count).step_by(10).map(|n| (server_id(n), rate));
    balancer.set_limits(&limits.collect());
}

fn main() {
    let mut c = Criterion::default().configure_from_args();
    let service = service();
    let requirements = balancer::Requirements {
        memory: MEMORY,
        past_target: false,
    };
    for count in [12, 90, 1_000] {
        let mut balancer = half_full_balancer(count);
        limit_a_tenth(&mut balancer, count);
        c.bench_function(&format!("decode server of {count}"), |b| {
            b.iter(|| hint::black_box(balancer.pick_decode(NOW, &service, requirements, &[], 7)));
        });
        c.bench_function(&format!("limited decode servers of {count}"), |b| {
            b.iter(|| {
                hint::black_box(balancer.limited_decode(NOW, &service, requirements, &[]));
            });
        });
        c.bench_function(&format!("prefill server of {count}"), |b| {
            b.iter(|| hint::black_box(balancer.pick_prefill(NOW, &service.id, PROMPT, &[], 7)));
        });
    }
    c.final_summary();
}
