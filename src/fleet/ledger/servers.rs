//! What the reports say of servers, and which gateways' word on them counts.

use crate::clock;
use crate::fleet::ledger;
use crate::fleet::reach;
use crate::id;

/// The number of gateways that must report a server as unreachable before the others are told; a
/// single gateway may be cut off itself.
const MIN_REPORTERS: usize = 2;

/// The number of data centres that these gateways must be in, if the fleet has as many; a single
/// data centre may be cut off itself.
const MIN_REPORTER_DATA_CENTRES: usize = 2;

impl ledger::Ledger {
    /// Finds the gateways that don't reach what others reach, and takes those that reach nothing from the
    /// entries.
    pub(super) fn find_cut_off(&mut self, now: clock::Millis) {
        let reports = self.fresh_gateways(now).map(|(id, g)| (id, &g.report));
        let reach = reach::Reach::from_reports(&reports.collect::<Vec<_>>());
        let before = std::mem::replace(&mut self.reach, reach);
        let cut_off = &self.reach.cut_off;
        if before.cut_off == *cut_off {
            return;
        }
        for id in cut_off {
            if let Some(gateway) = self.gateways.get(id) {
                self.totals.set_entry(now, gateway.report.address, None);
            }
        }
        let names: Vec<&str> = cut_off.iter().map(id::InstanceId::as_str).collect();
        log::warn!(
            event = "cut_off",
            count = cut_off.len(),
            routers = names.join(" ");
            "routers that don't reach the servers that others reach; callers are sent to the others"
        );
    }

    pub(super) fn is_cut_off(&self, gateway: &id::InstanceId) -> bool {
        self.reach.is_cut_off(gateway)
    }

    pub(super) fn find_failing(&mut self, now: clock::Millis) {
        let min_centres = self.data_centres().min(MIN_REPORTER_DATA_CENTRES);
        let mut failing = std::mem::take(&mut self.failing);
        let gateways = self.fresh_gateways(now);
        let reports = gateways.filter(|(id, _)| !self.is_cut_off(id));
        let reports = reports.map(|(_, g)| &g.report);
        failing.update(now, reports, min_centres);
        self.failing = failing;
    }

    /// Returns the servers that told a gateway other than `asker` that they are leaving, sorted.
    pub(super) fn leaving(
        &self,
        now: clock::Millis,
        asker: &id::InstanceId,
    ) -> Vec<id::BackendServerId> {
        let others = self.fresh_gateways(now).filter(|(id, _)| *id != asker);
        let mut leaving: Vec<_> = others.flat_map(|(_, g)| g.report.leaving.clone()).collect();
        leaving.sort();
        leaving.dedup();
        leaving
    }

    /// Returns the servers that at least [`MIN_REPORTERS`] gateways other than `asker` can't reach,
    /// from at least [`MIN_REPORTER_DATA_CENTRES`] data centres, and the failing ones, sorted.
    pub(super) fn unreachable(
        &self,
        now: clock::Millis,
        asker: &id::InstanceId,
    ) -> Vec<id::BackendServerId> {
        let gateways = self.fresh_gateways(now);
        let others = gateways.filter(|(id, _)| *id != asker && !self.is_cut_off(id));
        let mut reported: Vec<(&id::BackendServerId, &id::DataCentre)> = others
            .flat_map(|(id, g)| {
                let unreachable = g.report.unreachable.iter();
                let counted = unreachable.filter(|s| !self.reach.is_path_lost(id, s));
                counted.map(|s| (s, &g.report.data_centre))
            })
            .collect();
        reported.sort();
        let min_centres = self.data_centres().min(MIN_REPORTER_DATA_CENTRES);
        let unreachable = reported
            .chunk_by(|a, b| a.0 == b.0)
            .filter(|reports| {
                let reporting_centres = 1 + reports.windows(2).filter(|w| w[0].1 != w[1].1).count();
                reports.len() >= MIN_REPORTERS && reporting_centres >= min_centres
            })
            .map(|reports| reports[0].0);
        let mut ejected: Vec<_> = unreachable.chain(self.failing.servers()).cloned().collect();
        ejected.sort();
        ejected.dedup();
        ejected
    }
}
