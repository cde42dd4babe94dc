//! Ranks the gateways that a caller may connect to.

use std::net;

use crate::clock;
use crate::id;
use crate::macros;
use crate::sorted;
use crate::state::model;

/// How long a caller may use an answer.
pub const MAX_AGE: clock::Millis = clock::Millis::from_secs(10);

/// The maximum number of entries in one answer.
pub const MAX_ENTRIES: usize = 16;

/// The age of a load report above which its gateway counts as unreachable and is left out.
pub const MAX_REPORT_AGE: clock::Millis = clock::Millis::from_secs(3);

/// The utilisation, in thousandths of the capacity, at which a gateway counts as overloaded.
pub const OVERLOAD_PERMILLE: u64 = 900;

/// The weight of an idle gateway.
pub const MAX_WEIGHT: u32 = 1000;

macros::data! {copy
    /// The last reported load of a gateway.
    pub struct Load {
        /// The requests that are running or waiting there.
        pub running: u32,
        /// The maximum number of requests that it accepts.
        pub capacity: u32,
        /// When the report arrived.
        pub seen: clock::Millis,
    }
}

macros::data! {copy
    /// The parameters of one caller's query.
    pub struct Query {
        pub now: clock::Millis,
        /// A number that differs between callers, so that they spread over the gateways.
        pub seed: u64,
    }
}

macros::data! {
    /// A gateway that a caller can connect to.
    pub struct Entry {
        /// Where to connect.
        pub address: net::SocketAddr,
        pub data_centre: id::DataCentre,
        /// Its free capacity relative to the other entries, from 1 to [`MAX_WEIGHT`].
        pub weight: u32,
    }
}

macros::data! {
    /// The answer to one caller's query.
    pub struct Answer {
        /// The entries, best first.
        pub entries: Vec<Entry>,
        /// How long the caller may use them.
        pub max_age: clock::Millis,
    }
}

/// Ranks the gateways for one caller.
///
/// Gateways in the data centre `near` come first. Among these, and among the others, the order is
/// random by weight, so that callers spread. Leaving gateways and those with an old load report are
/// left out, and so are overloaded ones unless all others are overloaded too.
pub fn rank(
    members: &sorted::Map<id::InstanceId, model::Member>,
    loads: &sorted::Map<id::InstanceId, Load>,
    near: &id::DataCentre,
    query: Query,
) -> Answer {
    let mut usable: Vec<Candidate> = members
        .values()
        .filter(|m| !m.leaving)
        .filter_map(|m| Candidate::new(m, loads.get(&m.id), query))
        .collect();
    if usable.iter().any(|c| !c.overloaded) {
        usable.retain(|c| !c.overloaded);
    }
    usable.sort_by(|a, b| {
        let far = |c: &Candidate| c.member.data_centre != *near;
        far(a)
            .cmp(&far(b))
            .then(a.sort_key.total_cmp(&b.sort_key))
            .then_with(|| a.member.id.cmp(&b.member.id))
    });
    usable.truncate(MAX_ENTRIES);
    Answer {
        entries: usable.iter().map(Candidate::to_entry).collect(),
        max_age: MAX_AGE,
    }
}

struct Candidate<'a> {
    member: &'a model::Member,
    overloaded: bool,
    weight: u32,
    sort_key: f64,
}

impl<'a> Candidate<'a> {
    fn new(member: &'a model::Member, load: Option<&Load>, query: Query) -> Option<Self> {
        if load.is_some_and(|load| query.now - load.seen > MAX_REPORT_AGE) {
            return None;
        }
        let utilisation = load.map_or(OVERLOAD_PERMILLE / 2, Load::utilisation);
        let weight = (u64::from(MAX_WEIGHT).saturating_sub(utilisation)).max(1) as u32;
        Some(Self {
            member,
            overloaded: utilisation >= OVERLOAD_PERMILLE,
            weight,
            sort_key: sample_exponential(query.seed, &member.id) / f64::from(weight),
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
    fn utilisation(&self) -> u64 {
        u64::from(self.running) * 1000 / u64::from(self.capacity.max(1))
    }
}

/// Samples the exponential distribution. Sorting by sample divided by weight is a random order by
/// weight.
fn sample_exponential(seed: u64, id: &id::InstanceId) -> f64 {
    let hash = xxhash_rust::xxh3::xxh3_64_with_seed(id.as_str().as_bytes(), seed);
    let uniform = ((hash >> 11) as f64 + 0.5) / (1_u64 << 53) as f64;
    -uniform.ln()
}
