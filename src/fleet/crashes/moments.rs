//! What was lost at one moment, and the evidence that several moments give against a part.

use crate::clock;
use crate::fleet::crashes;
use crate::sorted;
use crate::state::model;

/// The servers that must have been lost; one may be ill itself.
const MIN_SERVERS: usize = 2;

/// The different requests that must have been lost with a part, before it is quarantined.
const MIN_REQUESTS: usize = 2;

/// The most runs that are kept of one moment.
const MAX_RUNS: usize = 32;

/// Servers that were lost at one moment.
#[derive(Debug)]
pub(super) struct Moment {
    pub at: clock::Millis,
    pub runs: Vec<Run>,
    /// Whether a server was found to have ended.
    pub is_ended: bool,
}

#[derive(Debug)]
pub(super) struct Run {
    pub server: u64,
    pub fingerprints: Vec<model::Fingerprint>,
    pub begun_at: clock::Millis,
}

/// The evidence against a fingerprint that no run has cleared.
#[derive(Debug, Default)]
pub(super) struct Evidence {
    pub moments: usize,
    /// The moments in which a server ended.
    pub ended: usize,
    /// The last of them.
    pub last_at: clock::Millis,
    pub servers: Vec<u64>,
    pub requests: Vec<model::Fingerprint>,
    /// The place among the parts of its runs, from the broadest.
    pub depth: usize,
}

impl Moment {
    /// Returns whether the loss of a server at a time is of this moment.
    pub fn contains(&self, at: clock::Millis, server: u64) -> bool {
        let distance = self.at.max(at) - self.at.min(at);
        distance <= crashes::MOMENT
            || distance <= crashes::NOTICE_TIME && self.runs.iter().any(|r| r.server == server)
    }

    pub fn add(&mut self, run: Run) {
        let mut runs = self.runs.iter();
        let is_known = runs.any(|r| {
            r.server == run.server
                && (r.fingerprints == run.fingerprints || run.fingerprints.is_empty())
        });
        if !is_known && self.runs.len() < MAX_RUNS {
            self.runs.push(run);
        }
    }

    /// Counts the servers that were lost.
    pub fn servers(&self) -> usize {
        let mut servers: Vec<u64> = self.runs.iter().map(|r| r.server).collect();
        servers.sort_unstable();
        servers.dedup();
        servers.len()
    }

    /// Returns the runs of each part, with its place among the parts of the run.
    pub fn runs_by_part(&self) -> sorted::Map<model::Fingerprint, Vec<(&Run, usize)>> {
        let mut by_part = sorted::Map::new();
        for run in &self.runs {
            for (depth, part) in run.parts().iter().enumerate() {
                let runs: &mut Vec<_> = by_part.get_or_insert_with(*part, Vec::new);
                runs.push((run, depth));
            }
        }
        by_part
    }

    /// Returns whether a run has such a fingerprint.
    pub fn has_any(&self, is_such: impl Fn(&model::Fingerprint) -> bool) -> bool {
        self.runs.iter().flat_map(|r| &r.fingerprints).any(is_such)
    }
}

impl Run {
    /// Returns the parts of the prompt.
    pub fn parts(&self) -> &[model::Fingerprint] {
        self.fingerprints
            .split_last()
            .map_or(&[], |(_, parts)| parts)
    }
}

impl Evidence {
    /// Returns whether it is enough for a verdict on a part.
    pub fn is_enough(&self) -> bool {
        self.moments >= crashes::QUARANTINE_MOMENTS
            && self.servers.len() >= MIN_SERVERS
            && self.requests.len() >= MIN_REQUESTS
    }

    pub fn standing(&self) -> crashes::Standing {
        if self.moments >= crashes::SUSPECT_MOMENTS {
            crashes::Standing::Suspect
        } else {
            crashes::Standing::Watched
        }
    }

    pub fn add(&mut self, run: &Run, depth: usize) {
        if !self.servers.contains(&run.server) {
            self.servers.push(run.server);
        }
        if let Some(request) = run.fingerprints.last()
            && !self.requests.contains(request)
        {
            self.requests.push(*request);
        }
        self.depth = self.depth.max(depth);
    }
}
