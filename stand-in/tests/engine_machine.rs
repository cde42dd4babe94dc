//! Random calls of the state machine of an engine, whose assertions check that the memory in use
//! never exceeds its size.

use buckthorncleat::backend::wire;
use buckthorncleat::clock;
use buckthorncleat::id;
use buckthorncleat::state::model;
use buckthorncleat::unit;
use clap::Parser as _;
use rand::Rng as _;
use rand::SeedableRng as _;
use stand_in::engine::export;
use stand_in::engine::machine;
use stand_in::engine::prefill;
use stand_in::engine::settings;

const SEEDS: u64 = 30;
const STEPS_PER_SEED: u64 = 2_000;

#[derive(clap::Parser)]
struct Args {
    #[command(flatten)]
    settings: settings::Settings,
}

fn engine(role: &str) -> machine::Engine {
    let args = [
        "engine",
        "--id",
        "e",
        "--role",
        role,
        "--model",
        "m",
        "--memory-pieces",
        "9",
    ];
    machine::Engine::new(Args::parse_from(args).settings)
}

fn request(rng: &mut rand_chacha::ChaCha8Rng) -> id::RequestId {
    id::RequestId::new(rng.random_range(0..40))
}

fn prefill_call(rng: &mut rand_chacha::ChaCha8Rng) -> wire::Prefill {
    let shared = ["a", "b"][rng.random_range(0..2)];
    wire::Prefill {
        request: request(rng),
        model: "m".parse().unwrap(),
        prompt: shared.repeat(rng.random_range(0..60_000)),
        delivered: Vec::new(),
        priority: [model::Priority::Low, model::Priority::High][rng.random_range(0..2)],
    }
}

fn import_head(rng: &mut rand_chacha::ChaCha8Rng, request: id::RequestId) -> export::Head {
    let tokens = unit::Tokens::new(rng.random_range(1..12_000));
    export::Head {
        request,
        model: "m".parse().unwrap(),
        prompt: format!("[len={}]", rng.random_range(1..60)),
        delivered: rng.random_range(0..3),
        tokens,
        computed: tokens,
        kv_bytes: unit::Bytes::new(1),
    }
}

fn step_prefill(rng: &mut rand_chacha::ChaCha8Rng, engine: &mut machine::Engine) {
    match rng.random_range(0..4) {
        0 => drop(engine.prefill(prefill_call(rng))),
        1 => drop(engine.cancel(request(rng))),
        _ => {
            if let Ok(prefill::Progress::Done(done)) = engine.progress(request(rng)) {
                engine.begin_fetch(&done.export).unwrap();
                engine.end_fetch(&done.export, rng.random());
            }
        }
    }
}

fn step_decode(rng: &mut rand_chacha::ChaCha8Rng, engine: &mut machine::Engine) {
    let id = request(rng);
    match rng.random_range(0..5) {
        0 => drop(engine.cancel(id)),
        1 => attach_and_detach(engine, id),
        2 => {
            let call = wire::Decode {
                request: id,
                max_tokens: unit::Tokens::new(50),
                priority: model::Priority::Normal,
            };
            drop(engine.decode(&call));
        }
        _ => {
            let call = wire::Import {
                request: id,
                model: "m".parse().unwrap(),
                from: "127.0.0.1:1".parse().unwrap(),
                export: "x".to_owned(),
            };
            let head = import_head(rng, id);
            if engine.begin_import(&call).is_ok() && engine.reserve_import(&head).is_ok() {
                engine
                    .end_import(id, rng.random::<bool>().then_some(head))
                    .unwrap();
            }
        }
    }
}

fn attach_and_detach(engine: &mut machine::Engine, id: id::RequestId) {
    if engine.attach(id).is_ok() {
        engine.detach(id);
    }
}

#[test]
fn memory_is_never_exceeded_and_nothing_is_held_after_all_are_cancelled() {
    for seed in 0..SEEDS {
        let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
        let role = ["prefill", "decode"][(seed % 2) as usize];
        let mut engine = engine(role);
        let mut now = clock::Millis::ZERO;
        for _ in 0..STEPS_PER_SEED {
            now = now + clock::Millis::new(rng.random_range(0..80));
            engine.advance(now);
            match role {
                "prefill" => step_prefill(&mut rng, &mut engine),
                _ => step_decode(&mut rng, &mut engine),
            }
            assert!(engine.due() > now, "seed {seed}");
        }
        assert!(engine.totals().generated_tokens.as_u64() > 0 || role == "prefill");
        assert!(engine.totals().prefills > 0 || role == "decode");
        for number in 0..40 {
            engine.cancel(id::RequestId::new(number));
        }
        engine.advance(now + clock::Millis::new(1));
        assert_eq!(engine.held().requests, [], "seed {seed}");
    }
}
