//! Compares the limiter with an exact ledger: in every window, the net tokens admitted by all
//! owners in turn stay within rate × window + burst.

use buckthorncleat::clock;
use buckthorncleat::controller::limiter;
use buckthorncleat::controller::limiter::bucket;
use buckthorncleat::id;
use buckthorncleat::sorted;
use buckthorncleat::state::model;
use buckthorncleat::unit;
use rand::Rng as _;
use rand::SeedableRng as _;

const SEEDS: u64 = 400;
const STEPS: usize = 500;
const MAX_WAIT: u64 = 2_500;

#[derive(Clone, Copy)]
struct Limit {
    from: u64,
    rate: u64,
    burst: u64,
}

#[derive(Clone)]
struct Admitted {
    at: u64,
    request: u128,
    tokens: u64,
}

#[derive(Default)]
struct Ledger {
    limits: Vec<Limit>,
    admitted: Vec<Admitted>,
}

impl Ledger {
    fn settle(&mut self, request: u128, used: u64) {
        for a in self.admitted.iter_mut().filter(|a| a.request == request) {
            a.tokens = a.tokens.min(used);
        }
    }

    /// Returns by how much the worst window exceeds its bound, in thousandths of a token; negative
    /// when all windows are below it.
    fn worst_excess(&mut self) -> i128 {
        self.admitted.sort_by_key(|a| a.at);
        let mut worst = i128::MIN;
        for (i, first) in self.admitted.iter().enumerate() {
            let mut sum = 0;
            for last in &self.admitted[i..] {
                sum += i128::from(last.tokens) * 1000;
                worst = worst.max(sum - self.bound(first.at, last.at));
            }
        }
        worst
    }

    /// Returns the bound of a window. Grants are given up to `MAX_DELAY` ahead, so a limit still
    /// counts for as long after it was replaced.
    fn bound(&self, start: u64, end: u64) -> i128 {
        let mut flow = 0;
        let mut burst = 0;
        for (i, limit) in self.limits.iter().enumerate() {
            let next = self
                .limits
                .get(i + 1)
                .map_or(u64::MAX, |l| l.from + bucket::MAX_DELAY.as_u64());
            let from = limit.from.max(start);
            if from > end || next < start {
                continue;
            }
            flow += i128::from(limit.rate) * i128::from(next.min(end) - from);
            burst = burst.max(limit.burst);
        }
        flow + i128::from(burst) * 1000
    }
}

struct Fleet {
    rng: rand_chacha::ChaCha8Rng,
    now: u64,
    origin: u64,
    limit: Limit,
    owner: Option<limiter::Owner>,
    granted: sorted::Map<u128, ()>,
    sent: Vec<limiter::Charge>,
    ended: sorted::Map<u128, u64>,
    ledger: Ledger,
    grants: u64,
}

impl Fleet {
    fn new(seed: u64) -> Self {
        let limit = Limit {
            from: 0,
            rate: 1_000,
            burst: 2_000,
        };
        let mut fleet = Self {
            rng: rand_chacha::ChaCha8Rng::seed_from_u64(seed),
            now: 0,
            origin: 0,
            limit,
            owner: None,
            granted: sorted::Map::new(),
            sent: Vec::new(),
            ended: sorted::Map::new(),
            ledger: Ledger::default(),
            grants: 0,
        };
        fleet.ledger.limits.push(limit);
        fleet.start_owner();
        fleet
    }

    fn step(&mut self) {
        self.now += match self.rng.random_range(0..100) {
            0 => self.rng.random_range(0..150_000),
            1..10 => self.rng.random_range(0..3_000),
            _ => self.rng.random_range(0..60),
        };
        match self.rng.random_range(0..100) {
            0..50 => self.charge_new(),
            50..60 => self.resend_charge(),
            60..90 => self.end_request(),
            90..92 => self.reconfigure(),
            92 => self.hand_over(),
            93..95 => self.owner = None,
            95..97 if self.owner.is_some() => self.start_owner(),
            _ if self.owner.is_none() => self.start_owner(),
            _ => self.lose_gateway(),
        }
    }

    /// Starts an owner without a hand-over. The previous owner stops at the latest now; it may have
    /// granted tokens for a later start.
    fn start_owner(&mut self) {
        self.origin = self.rng.random_range(0..=self.now);
        let mut owner = limiter::Owner::new(self.at());
        owner.configure(self.at(), &accounts(self.limit));
        owner.start_account(self.at(), &account());
        self.owner = Some(owner);
        self.granted.clear();
    }

    /// Hands the bucket over to a process that may be younger than its charges.
    fn hand_over(&mut self) {
        let epoch = id::Epoch::new(1);
        let now = self.at();
        let Some(mut old) = self.owner.take() else {
            return;
        };
        let Some(hand_over) = old.hand_over(now, &account(), epoch) else {
            return;
        };
        self.now += self.rng.random_range(0..300);
        self.origin = self.rng.random_range(0..=self.now);
        let mut owner = limiter::Owner::new(self.at());
        owner.configure(self.at(), &accounts(self.limit));
        owner.receive(self.at(), &hand_over);
        self.now += self.rng.random_range(0..300);
        owner.start_account_since(self.at(), &account(), epoch);
        self.owner = Some(owner);
    }

    fn reconfigure(&mut self) {
        self.limit = Limit {
            from: self.now,
            rate: self.rng.random_range(0..3_000),
            burst: self.rng.random_range(1..5_000),
        };
        self.ledger.limits.push(self.limit);
        let (now, limit) = (self.at(), self.limit);
        if let Some(owner) = &mut self.owner {
            owner.configure(now, &accounts(limit));
        }
    }

    fn charge_new(&mut self) {
        let charge = limiter::Charge {
            request: id::RequestId::new(self.rng.random()),
            account: account(),
            tokens: unit::Tokens::new(self.rng.random_range(0..self.limit.burst * 6 / 5)),
            max_wait: clock::Millis::new(self.rng.random_range(0..=MAX_WAIT)),
        };
        self.sent.push(charge.clone());
        self.charge(charge);
    }

    fn resend_charge(&mut self) {
        if let Some(charge) = self.draw_recent_charge() {
            self.charge(charge);
        }
    }

    fn charge(&mut self, charge: limiter::Charge) {
        let now = self.at();
        let Some(owner) = &mut self.owner else { return };
        let reply = owner.handle(now, &limiter::Request::Charge(charge.clone()));
        let limiter::Reply::Granted { delay } = reply else {
            return;
        };
        assert!(
            delay <= charge.max_wait,
            "a grant starts within the maximum wait"
        );
        let request = charge.request.as_u128();
        if self.granted.insert(request, ()).is_none() {
            self.grants += 1;
            let used = self.ended.get(&request).copied().unwrap_or(u64::MAX);
            self.ledger.admitted.push(Admitted {
                at: self.now + delay.as_u64(),
                request,
                tokens: charge.tokens.as_u64().min(used),
            });
        }
    }

    fn end_request(&mut self) {
        let Some(charge) = self.draw_recent_charge() else {
            return;
        };
        let request = charge.request.as_u128();
        let most = charge.tokens.as_u64() * 5 / 4;
        let drawn = self.rng.random_range(0..=most);
        let used = *self.ended.get_or_insert_with(request, || drawn);
        self.ledger.settle(request, used);
        let refund = limiter::Refund {
            request: charge.request,
            account: account(),
            used: unit::Tokens::new(used),
        };
        let now = self.at();
        let is_lost = self.rng.random_bool(0.1);
        if let Some(owner) = self.owner.as_mut().filter(|_| !is_lost) {
            let reply = owner.handle(now, &limiter::Request::Refund(refund));
            assert_eq!(reply, limiter::Reply::Refunded);
        }
    }

    fn lose_gateway(&mut self) {
        let rng = &mut self.rng;
        self.sent.retain(|_| rng.random_bool(0.5));
    }

    fn draw_recent_charge(&mut self) -> Option<limiter::Charge> {
        let count = self.sent.len();
        let recent = count.min(20);
        (count > 0).then(|| self.sent[count - 1 - self.rng.random_range(0..recent)].clone())
    }

    fn at(&self) -> clock::Millis {
        clock::Millis::new(self.now - self.origin)
    }
}

fn account() -> id::ClientAccountId {
    "acme".parse().unwrap()
}

fn accounts(limit: Limit) -> sorted::Map<id::ClientAccountId, model::ClientAccount> {
    let account = model::ClientAccount {
        id: account(),
        rate: unit::TokensPerSecond::new(limit.rate),
        burst: unit::Tokens::new(limit.burst),
        priority: model::Priority::Normal,
        weight: 1,
    };
    [(account.id.clone(), account)].into_iter().collect()
}

#[test]
fn no_window_exceeds_rate_and_burst_whatever_happens() {
    let mut grants = 0;
    for seed in 0..SEEDS {
        let mut fleet = Fleet::new(seed);
        for _ in 0..STEPS {
            fleet.step();
        }
        let excess = fleet.ledger.worst_excess();
        assert!(excess <= 0, "seed {seed}: {excess} thousandths too many");
        grants += fleet.grants;
    }
    assert!(grants > SEEDS * 50, "only {grants} grants");
}

/// A refund that only adds to the level admits more than the limit: the bucket had filled up since
/// the charge, and would have lost the overflow if the charge had been smaller.
#[test]
fn a_refund_as_plain_credit_would_exceed_the_bound() {
    let (rate, burst) = (100, 1_000);
    let mut ledger = Ledger::default();
    ledger.limits.push(Limit {
        from: 0,
        rate,
        burst,
    });
    let admit = |at, request| Admitted {
        at,
        request,
        tokens: burst,
    };
    let full_again = burst * 1000 / rate;
    ledger.admitted.push(admit(0, 1));
    ledger.admitted.push(admit(full_again, 2));
    ledger.settle(1, 0);
    assert!(ledger.worst_excess() <= 0);
    let credited_level = burst;
    assert!(
        credited_level >= burst,
        "a plain credit admits a third request"
    );
    ledger.admitted.push(admit(full_again, 3));
    assert!(ledger.worst_excess() > 0);
}

#[test]
fn an_amended_charge_refunds_only_what_an_ideal_bucket_would_hold() {
    let limit = limiter::level::Limit {
        rate: unit::TokensPerSecond::new(100),
        burst: unit::Tokens::new(1_000),
    };
    let mut bucket = bucket::Bucket::new(clock::Millis::ZERO, limit, limit.full());
    let charge = |request, tokens| limiter::Charge {
        request: id::RequestId::new(request),
        account: account(),
        tokens: unit::Tokens::new(tokens),
        max_wait: clock::Millis::ZERO,
    };
    let granted = limiter::Reply::Granted {
        delay: clock::Millis::ZERO,
    };
    let refund = limiter::Refund {
        request: id::RequestId::new(1),
        account: account(),
        used: unit::Tokens::new(0),
    };
    let full_again = clock::Millis::from_secs(10);
    assert_eq!(
        bucket.charge(clock::Millis::ZERO, &charge(1, 1_000)),
        granted
    );
    assert_eq!(bucket.charge(full_again, &charge(2, 1_000)), granted);
    bucket.refund(full_again, &refund);
    assert_eq!(bucket.level(full_again).to_tokens(), unit::Tokens::new(0));
}
