//! Finds routers that don't reach the servers that others reach.

use crate::fleet::message;
use crate::id;
use crate::sorted;

/// The number of servers out of a router's reach from which on it is in question. One or two may be
/// down while others have not noticed yet.
const MIN_UNREACHED: usize = 3;

/// The share of the servers that a router called lately (a divisor) that must be out of its reach, but
/// not of the others'.
const UNREACHED_SHARE: usize = 2;

/// What the reports of all routers say of the paths between routers and servers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Reach {
    /// The routers that reach nothing, or less than half, of what others reach; sorted.
    pub cut_off: Vec<id::InstanceId>,
    /// The servers of services that a router has lost though others reach them, sorted. What it says of
    /// them proves nothing.
    lost: sorted::Map<id::InstanceId, Vec<id::BackendServerId>>,
}

impl Reach {
    /// Compares the reports of the routers with each other.
    ///
    /// Where servers are down, nobody reaches them, so no router is cut off.
    pub fn from_reports(reports: &[(&id::InstanceId, &message::Report)]) -> Self {
        let has_news = |r: &message::Report| {
            !r.extension.lost.is_empty() || r.unreachable.len() >= MIN_UNREACHED
        };
        let in_question: Vec<_> = reports.iter().filter(|(_, r)| has_news(r)).collect();
        if in_question.is_empty() {
            return Self::default();
        }
        let reached = reached_by(reports.iter().map(|(_, r)| *r));
        let lost = |report: &message::Report| lost_alone(report, &reached);
        let cut_off = in_question.iter().filter(|(_, r)| is_cut_off(r, &reached));
        let mut cut_off: Vec<_> = cut_off.map(|(id, _)| (*id).clone()).collect();
        cut_off.sort();
        let lost = in_question.iter().map(|(id, r)| ((*id).clone(), lost(r)));
        Self {
            cut_off,
            lost: lost.filter(|(_, servers)| !servers.is_empty()).collect(),
        }
    }

    pub fn is_cut_off(&self, router: &id::InstanceId) -> bool {
        self.cut_off.binary_search(router).is_ok()
    }

    /// Returns whether a router's own path is the reason why it does not reach a server.
    pub fn is_path_lost(&self, router: &id::InstanceId, server: &id::BackendServerId) -> bool {
        let lost = self.lost.get(router);
        lost.is_some_and(|servers| servers.binary_search(server).is_ok())
    }
}

/// Returns whether the router itself says that it does not reach a server.
fn says_unreached(report: &message::Report, server: &id::BackendServerId) -> bool {
    let mut lost = report.extension.lost.values();
    report.unreachable.contains(server) || lost.any(|s| s.binary_search(server).is_ok())
}

/// Returns the servers that some of these routers reached lately, sorted.
fn reached_by<'a>(
    reports: impl Iterator<Item = &'a message::Report>,
) -> Vec<&'a id::BackendServerId> {
    let answered = reports.flat_map(|report| {
        let answered = report.endings.iter().filter(|(_, e)| e.calls > e.lost);
        let servers = answered.map(|(server, _)| server);
        servers.filter(|server| !says_unreached(report, server))
    });
    let mut reached: Vec<_> = answered.collect();
    reached.sort();
    reached.dedup();
    reached
}

/// Returns the servers of the services that a router has lost, as far as others reach some of them;
/// sorted.
fn lost_alone(
    report: &message::Report,
    reached: &[&id::BackendServerId],
) -> Vec<id::BackendServerId> {
    let is_reached = |server: &id::BackendServerId| reached.binary_search(&server).is_ok();
    let lost = report.extension.lost.values();
    let lost = lost.filter(|servers| servers.iter().any(is_reached));
    let mut lost: Vec<_> = lost.flatten().cloned().collect();
    lost.sort();
    lost
}

fn is_cut_off(report: &message::Report, reached: &[&id::BackendServerId]) -> bool {
    let reaches_nothing =
        !report.extension.lost.is_empty() && reached.iter().all(|s| says_unreached(report, s));
    reaches_nothing && !reached.is_empty() || reaches_few(report, reached)
}

/// Returns whether a router reaches less than half of the servers that it called, leaving out the services
/// that it has lost altogether.
fn reaches_few(report: &message::Report, reached: &[&id::BackendServerId]) -> bool {
    let is_lost = |server: &id::BackendServerId| {
        let mut lost = report.extension.lost.values();
        lost.any(|servers| servers.binary_search(server).is_ok())
    };
    let is_reached = |server: &id::BackendServerId| reached.binary_search(&server).is_ok();
    let unreachable: Vec<_> = report.unreachable.iter().filter(|s| !is_lost(s)).collect();
    let unreached = unreachable.iter().filter(|s| is_reached(s)).count();
    let others = report.endings.keys().filter(|s| !is_lost(s));
    let others = others.filter(|s| !report.unreachable.contains(s)).count();
    let called = unreachable.len() + others;
    unreached >= MIN_UNREACHED && unreached * UNREACHED_SHARE >= called
}
