//! The advice to callers which entry instances to connect to.

use std::net;

use crate::clock;
use crate::id;
use crate::macros;
use crate::sorted;
use crate::state::model;

/// How long a caller may keep the advice.
pub const MAX_AGE: clock::Millis = clock::Millis::from_secs(10);

/// The most entries of one answer.
pub const MAX_ENTRIES: usize = 16;

/// The age from which on a load report shows that its instance is out of touch.
pub const STALE_AGE: clock::Millis = clock::Millis::from_secs(3);

/// The share of its capacity, in thousandths, from which on an instance is overloaded.
pub const OVERLOADED: u64 = 900;

/// The weight of an idle instance.
pub const FULL_WEIGHT: u32 = 1000;

macros::data! {copy
    /// The load of an entry instance as it last reported it.
    pub struct Load {
        /// The requests that run or wait there.
        pub running: u32,
        /// The most requests that it takes.
        pub capacity: u32,
        /// When the report came here.
        pub seen: clock::Millis,
    }
}

macros::data! {copy
    /// What the answer to one caller depends on besides the fleet.
    pub struct Question {
        /// When it was asked.
        pub now: clock::Millis,
        /// A number that differs between callers, to spread them.
        pub seed: u64,
    }
}

macros::data! {
    /// An entry instance that a caller can connect to.
    pub struct Entry {
        /// Where to connect.
        pub address: net::SocketAddr,
        /// The data centre that it stands in.
        pub data_centre: id::DataCentre,
        /// Its free capacity among the entries, from 1 to [`FULL_WEIGHT`].
        pub weight: u32,
    }
}

macros::data! {
    /// The advice to one caller.
    pub struct Advice {
        /// The entries, best first.
        pub entries: Vec<Entry>,
        /// How long the caller may keep them.
        pub max_age: clock::Millis,
    }
}

/// Ranks the entry instances for one caller.
///
/// Those in the data centre `near` come first. Within a data centre the order is random by
/// weight, so that callers spread. Leaving, stale and overloaded instances are left out; when
/// nothing else is there, overloaded ones are named after all.
pub fn rank(
    members: &sorted::Map<id::InstanceId, model::Member>,
    loads: &sorted::Map<id::InstanceId, Load>,
    near: &id::DataCentre,
    question: Question,
) -> Advice {
    let mut usable: Vec<Candidate> = members
        .values()
        .filter(|m| !m.leaving)
        .filter_map(|m| Candidate::new(m, loads.get(&m.id), question))
        .collect();
    if usable.iter().any(|c| !c.overloaded) {
        usable.retain(|c| !c.overloaded);
    }
    usable.sort_by(|a, b| {
        let far = |c: &Candidate| c.member.data_centre != *near;
        far(a)
            .cmp(&far(b))
            .then(a.draw.total_cmp(&b.draw))
            .then_with(|| a.member.id.cmp(&b.member.id))
    });
    usable.truncate(MAX_ENTRIES);
    Advice {
        entries: usable.iter().map(Candidate::to_entry).collect(),
        max_age: MAX_AGE,
    }
}

struct Candidate<'a> {
    member: &'a model::Member,
    overloaded: bool,
    weight: u32,
    draw: f64,
}

impl<'a> Candidate<'a> {
    fn new(member: &'a model::Member, load: Option<&Load>, question: Question) -> Option<Self> {
        if load.is_some_and(|load| question.now - load.seen > STALE_AGE) {
            return None;
        }
        let used = load.map_or(OVERLOADED / 2, Load::used);
        let weight = (u64::from(FULL_WEIGHT).saturating_sub(used)).max(1) as u32;
        Some(Self {
            member,
            overloaded: used >= OVERLOADED,
            weight,
            draw: draw(question.seed, &member.id) / f64::from(weight),
        })
    }

    fn to_entry(&self) -> Entry {
        Entry {
            address: self.member.caller_address,
            data_centre: self.member.data_centre.clone(),
            weight: self.weight,
        }
    }
}

impl Load {
    fn used(&self) -> u64 {
        u64::from(self.running) * 1000 / u64::from(self.capacity.max(1))
    }
}

/// Draws from the exponential distribution: the smallest of `draw / weight` is a weighted choice.
fn draw(seed: u64, id: &id::InstanceId) -> f64 {
    let hash = xxhash_rust::xxh3::xxh3_64_with_seed(id.as_str().as_bytes(), seed);
    let uniform = ((hash >> 11) as f64 + 0.5) / (1_u64 << 53) as f64;
    -uniform.ln()
}
