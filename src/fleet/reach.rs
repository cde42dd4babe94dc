//! Finds routers that don't reach the servers that others reach.

use crate::fleet::message;
use crate::id;

/// The number of servers out of a router's reach from which on it is in question. One or two may be
/// down while others have not noticed yet.
const MIN_UNREACHED: usize = 3;

/// The share of the servers that a router called lately (a divisor) that must be out of its reach, but
/// not of the others'.
const UNREACHED_SHARE: usize = 2;

/// Returns the routers that reach less than half of the servers that they call, though routers that are
/// not in question reach these; sorted.
///
/// Where servers are down, nobody reaches them, so no router is named. Where all routers are in
/// question, neither.
pub fn cut_off<'a>(
    reports: impl Iterator<Item = (&'a id::InstanceId, &'a message::Report)>,
) -> Vec<id::InstanceId> {
    let is_in_question = |report: &message::Report| report.unreachable.len() >= MIN_UNREACHED;
    let (in_question, sound): (Vec<_>, Vec<_>) = reports.partition(|(_, r)| is_in_question(r));
    if in_question.is_empty() {
        return Vec::new();
    }
    let reached = reached_by(sound.iter().map(|(_, r)| *r));
    let mut cut_off: Vec<_> = in_question
        .into_iter()
        .filter(|(_, report)| is_cut_off(report, &reached))
        .map(|(id, _)| id.clone())
        .collect();
    cut_off.sort();
    cut_off
}

/// Returns the servers that some of these routers reached lately, sorted.
fn reached_by<'a>(
    reports: impl Iterator<Item = &'a message::Report>,
) -> Vec<&'a id::BackendServerId> {
    let answered = reports.flat_map(|report| {
        let answered = report.endings.iter().filter(|(_, e)| e.calls > e.lost);
        let servers = answered.map(|(server, _)| server);
        servers.filter(|server| !report.unreachable.contains(server))
    });
    let mut reached: Vec<_> = answered.collect();
    reached.sort();
    reached.dedup();
    reached
}

fn is_cut_off(report: &message::Report, reached: &[&id::BackendServerId]) -> bool {
    let is_reached = |server: &id::BackendServerId| reached.binary_search(&server).is_ok();
    let unreached = report.unreachable.iter().filter(|s| is_reached(s)).count();
    let others = report.endings.keys();
    let others = others.filter(|s| !report.unreachable.contains(s)).count();
    let called = report.unreachable.len() + others;
    unreached >= MIN_UNREACHED && unreached * UNREACHED_SHARE >= called
}
