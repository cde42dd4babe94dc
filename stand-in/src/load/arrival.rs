//! Generates the calls of a run before it starts. The same plan always gives the same calls.

use buckthorncleat::backend::prompt;
use buckthorncleat::clock;
use buckthorncleat::unit;
use rand::Rng as _;
use rand::SeedableRng as _;
use rand_distr::Distribution as _;

use crate::load::plan;

#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    /// Index among all calls of the run, in order of time.
    pub number: u64,
    /// Time at which the call is sent, from the start of the run.
    pub at: clock::Millis,
    /// Index of the account in [`plan::Plan::accounts`].
    pub account: usize,
    pub work: Work,
}

/// Content of a call.
#[derive(Clone, Debug, PartialEq)]
pub enum Work {
    /// Chat completion from the model.
    Chat(Chat),
    /// Order at the plain service, sent with an idempotency key.
    Order,
    /// Booking at the plain service, sent with an idempotency key.
    Booking,
    /// Read from the plain service, sent without an idempotency key.
    Lookup,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Chat {
    pub messages: Vec<prompt::Message>,
    /// Tokens of the expected answer; also sent as `max_tokens`.
    pub answer_tokens: u64,
}

#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, serde::Serialize, serde::Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// Chat completion from the model.
    Chat,
    Order,
    Booking,
    /// Read from the plain service, sent without an idempotency key.
    Lookup,
}

impl Work {
    pub fn kind(&self) -> Kind {
        match self {
            Self::Chat(_) => Kind::Chat,
            Self::Order => Kind::Order,
            Self::Booking => Kind::Booking,
            Self::Lookup => Kind::Lookup,
        }
    }
}

impl Arrival {
    /// Returns the tokens that the gateway charges to the account when it admits the call.
    pub fn charge(&self, traffic: &plan::Traffic) -> unit::Tokens {
        match &self.work {
            Work::Chat(chat) => {
                let prompt = prompt::from_messages(&chat.messages);
                let answer = unit::Tokens::new(chat.answer_tokens);
                unit::Tokens::from_text_bytes(prompt.len()) + answer
            }
            Work::Order | Work::Booking | Work::Lookup => traffic.call_cost,
        }
    }

    /// Returns the name of the order or booking. Runs with different seeds share no names.
    pub fn order_name(&self, seed: u64) -> String {
        format!("load-{seed}-{}", self.number)
    }
}

/// Generates all calls of a plan, in order of time.
pub fn draw(plan: &plan::Plan) -> Vec<Arrival> {
    let traffic = &plan.traffic;
    let rates = [
        (Kind::Chat, traffic.chats_per_second),
        (Kind::Order, traffic.orders_per_second),
        (Kind::Booking, traffic.bookings_per_second),
        (Kind::Lookup, traffic.lookups_per_second),
    ];
    let shares: f64 = plan.accounts.iter().map(|a| a.share).sum();
    let mut arrivals = Vec::new();
    for (account, settings) in plan.accounts.iter().enumerate() {
        for (kind, rate) in rates {
            let stream = account as u64 * rates.len() as u64 + kind as u64;
            let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(traffic.seed);
            rng.set_stream(stream);
            let rate = rate * settings.share / shares;
            for at in times(&mut rng, rate, traffic.duration_ms, settings.surge) {
                let work = draw_work(&mut rng, kind, traffic, &settings.id, stream, at);
                arrivals.push((at, account, work));
            }
        }
    }
    arrivals.sort_by_key(|(at, account, work)| (*at, *account, work.kind()));
    arrivals.truncate(traffic.max_calls);
    let numbered = arrivals.into_iter().zip(0..);
    let arrivals = numbered.map(|((at, account, work), number)| Arrival {
        number,
        at,
        account,
        work,
    });
    arrivals.collect()
}

/// Draws the arrival times of a Poisson process whose rate is multiplied during a surge.
fn times(
    rng: &mut rand_chacha::ChaCha8Rng,
    rate: f64,
    duration: clock::Millis,
    surge: Option<plan::Surge>,
) -> Vec<clock::Millis> {
    let peak = rate * surge.map_or(1.0, |s| s.factor.max(1.0));
    let Ok(gap) = rand_distr::Exp::new(peak) else {
        return Vec::new();
    };
    let mut times = Vec::new();
    let mut at_s = 0.0;
    loop {
        let step: f64 = gap.sample(rng);
        at_s += step;
        let at = clock::Millis::new((at_s * 1000.0).min(1e15) as u64);
        if at >= duration {
            return times;
        }
        let in_surge = surge.filter(|s| (s.from_ms..s.until_ms).contains(&at));
        let now = rate * in_surge.map_or(1.0, |s| s.factor);
        if rng.random::<f64>() * peak < now {
            times.push(at);
        }
    }
}

fn draw_work(
    rng: &mut rand_chacha::ChaCha8Rng,
    kind: Kind,
    traffic: &plan::Traffic,
    account: &buckthorncleat::id::ClientAccountId,
    stream: u64,
    at: clock::Millis,
) -> Work {
    match kind {
        Kind::Chat => {
            let mark = format!(
                "{}-{stream}-{}-{:x}",
                traffic.seed,
                at.as_u64(),
                rng.random::<u64>()
            );
            Work::Chat(draw_chat(rng, traffic, account, &mark))
        }
        Kind::Order => Work::Order,
        Kind::Booking => Work::Booking,
        Kind::Lookup => Work::Lookup,
    }
}

fn draw_chat(
    rng: &mut rand_chacha::ChaCha8Rng,
    traffic: &plan::Traffic,
    account: &buckthorncleat::id::ClientAccountId,
    mark: &str,
) -> Chat {
    let mut messages = Vec::new();
    if rng.random::<f64>() < traffic.prefix_share {
        let prefix = rng.random_range(0..traffic.prefixes);
        let text = filler(
            &format!("{account} handbook {prefix}. "),
            traffic.prefix_tokens,
        );
        messages.push(message("system", text));
    }
    let prompt_tokens = draw_length(rng, traffic.prompt);
    let answer_tokens = draw_length(rng, traffic.answer);
    let text = filler(
        &format!("[seed={mark}] [len={answer_tokens}] please "),
        prompt_tokens,
    );
    messages.push(message("user", text));
    Chat {
        messages,
        answer_tokens,
    }
}

fn message(role: &str, text: String) -> prompt::Message {
    prompt::Message {
        role: role.to_owned(),
        content: prompt::Content::Text(text),
    }
}

/// Returns a text of about `tokens` tokens that begins with `words`, which are never truncated.
fn filler(words: &str, tokens: u64) -> String {
    let bytes = (tokens * unit::BYTES_PER_TOKEN) as usize;
    let mut text = words.to_owned();
    while text.len() < bytes {
        text.push_str("smoked chicken sosej ");
    }
    text.truncate(bytes.max(words.len()));
    text
}

fn draw_length(rng: &mut rand_chacha::ChaCha8Rng, lengths: plan::Lengths) -> u64 {
    let drawn = rand_distr::LogNormal::new(lengths.median.ln(), lengths.sigma)
        .map_or(lengths.median, |d| d.sample(rng));
    (drawn as u64).clamp(lengths.min, lengths.max)
}
