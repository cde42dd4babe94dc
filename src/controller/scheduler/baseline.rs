//! Simple placement policies, as baselines for the joint choice.

use crate::config::settings;
use crate::controller::scheduler::fleet;
use crate::controller::scheduler::plan;
use crate::controller::scheduler::server;
use crate::state::model;

/// Chooses servers one role at a time, without regard to reservations.
#[derive(Clone, Debug, Default)]
pub struct Baseline {
    round: usize,
}

impl Baseline {
    /// Chooses a prefill and a decode server. The plan predicts nothing: its prefill ends now.
    pub fn choose(&mut self, view: &plan::View<'_>, needs: &plan::Needs) -> Option<plan::Plan> {
        self.round = self.round.wrapping_add(1);
        let prefill = self.choose_server(view, needs, model::Role::Prefill)?;
        let decode = self.choose_server(view, needs, model::Role::Decode)?;
        Some(plan::Plan {
            prefill,
            decode,
            uncached: needs.uncached(prefill),
            ready_at: view.now,
        })
    }

    fn choose_server(
        &self,
        view: &plan::View<'_>,
        needs: &plan::Needs,
        role: model::Role,
    ) -> Option<fleet::ServerIndex> {
        let all = view.servers(role, needs);
        let mut usable: Vec<(fleet::ServerIndex, &server::Server)> =
            all.filter(|(_, s)| s.health.allows(view.now)).collect();
        if usable.is_empty() {
            return None;
        }
        let first = self.round % usable.len();
        usable.rotate_left(first);
        let chosen = match view.settings.placement {
            settings::Placement::LeastLoaded => {
                let loaded = |(_, s): &&(_, &server::Server)| s.occupancy.reported_requests();
                usable.iter().min_by_key(loaded)
            }
            settings::Placement::RoundRobin | settings::Placement::Joint => usable.first(),
        };
        chosen.map(|(index, _)| *index)
    }
}
