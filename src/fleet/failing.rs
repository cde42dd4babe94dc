//! Finds servers that lose calls, from what all gateways report.
//!
//! In a large fleet each gateway sends few calls to a server, so that each would have to lose some
//! before it leaves the server alone.

use crate::clock;
use crate::fleet::message;
use crate::id;
use crate::sorted;

/// The lost calls from which on a server may be failing.
const MIN_LOST: u32 = 4;

/// A server is failing that loses one in this many of its calls.
const SERVER_LOSS: u32 = 2;

/// No server is failing while one in this many of all calls is lost: then something else is wrong,
/// and there is nowhere better to send calls.
const FLEET_LOSS: u32 = 4;

/// How long a server counts as failing after its last losses, then calls find out whether it has
/// recovered.
const FAILING_TIME: clock::Millis = clock::Millis::from_secs(3);

/// The servers that are failing.
#[derive(Clone, Debug, Default)]
pub struct Failing {
    until: sorted::Map<id::BackendServerId, clock::Millis>,
}

/// What the gateways report of one server.
#[derive(Default)]
struct Reported<'a> {
    endings: message::Endings,
    losing_gateways: usize,
    losing_centres: Vec<&'a id::DataCentre>,
}

impl Failing {
    /// Applies the last reports of all gateways; `min_centres` is the number of data centres whose
    /// gateways must lose calls at a server, since a single one may be cut off itself.
    pub fn update<'a>(
        &mut self,
        now: clock::Millis,
        reports: impl Iterator<Item = &'a message::Report>,
        min_centres: usize,
    ) {
        self.until.retain(|_, until| now < *until);
        let mut servers: sorted::Map<&id::BackendServerId, Reported<'a>> = sorted::Map::new();
        let mut all = message::Endings::default();
        for report in reports {
            for (server, endings) in report.endings.iter() {
                let reported = servers.get_or_insert_with(server, Reported::default);
                reported.add(*endings, &report.data_centre);
                all.add(*endings);
            }
        }
        if all.lost * FLEET_LOSS >= all.calls {
            return;
        }
        for (server, _) in servers.iter().filter(|(_, r)| r.is_failing(min_centres)) {
            self.until.insert((*server).clone(), now + FAILING_TIME);
        }
    }

    /// Returns the failing servers, sorted.
    pub fn servers(&self) -> impl Iterator<Item = &id::BackendServerId> {
        self.until.keys()
    }
}

impl<'a> Reported<'a> {
    fn add(&mut self, endings: message::Endings, data_centre: &'a id::DataCentre) {
        self.endings.add(endings);
        if endings.lost > 0 {
            self.losing_gateways += 1;
            if !self.losing_centres.contains(&data_centre) {
                self.losing_centres.push(data_centre);
            }
        }
    }

    fn is_failing(&self, min_centres: usize) -> bool {
        self.endings.lost >= MIN_LOST
            && self.endings.lost * SERVER_LOSS >= self.endings.calls
            && self.losing_gateways >= 2
            && self.losing_centres.len() >= min_centres
    }
}

impl message::Endings {
    fn add(&mut self, other: Self) {
        self.calls += other.calls;
        self.lost += other.lost;
    }
}
