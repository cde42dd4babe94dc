//! Decides when the feature level is raised: once no process of an older protocol version is left.
//!
//! The level never falls, and processes of an older version can't work beside a group that has
//! raised it. So it is raised only when every member of the group has shown the newer version and
//! no router of an older one has reported for [`QUIET_TIME`].

use std::fmt;

use crate::clock;
use crate::id;
use crate::peer::trailer;
use crate::replica::group;
use crate::sorted;
use crate::state::command;

/// How long no router of an older version may have reported before the level is raised. A router
/// that is cut off for longer is taken for replaced.
pub const QUIET_TIME: clock::Millis = clock::Millis::from_secs(12);

/// Longest time between two checks. After a longer one this process was frozen or not confirmed as
/// the leader, and reports may have come meanwhile that it did not see.
pub const MAX_CHECK_GAP: clock::Millis = clock::Millis::from_secs(1);

/// Routers that are remembered as outdated, so that each is logged once.
const MAX_OUTDATED: usize = 512;

/// What the raising of the level waits for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Wait {
    /// A member has not shown its version to this leader yet.
    UnknownMember(id::InstanceId),
    /// A member runs an older build.
    OlderMember(id::InstanceId, trailer::ProtocolVersion),
    /// A router of this version reported lately.
    OlderRouter(trailer::ProtocolVersion),
    /// This member has not led for [`QUIET_TIME`] yet.
    NewLeader,
}

impl fmt::Display for Wait {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::UnknownMember(id) => write!(f, "member {id} has not shown its version"),
            Self::OlderMember(id, version) => {
                write!(f, "member {id} speaks protocol version {version}")
            }
            Self::OlderRouter(version) => {
                write!(f, "a router of protocol version {version} reported lately")
            }
            Self::NewLeader => f.write_str("a new leader waits whether older routers report to it"),
        }
    }
}

/// What a leader learns in its term of the versions of others.
#[derive(Debug, Default)]
pub struct Watch {
    /// The checks without a gap since then.
    since: Option<clock::Millis>,
    checked_at: clock::Millis,
    /// When routers of each version last reported.
    reports: sorted::Map<trailer::ProtocolVersion, clock::Millis>,
    outdated: sorted::Map<id::InstanceId, ()>,
    logged: Option<Wait>,
}

impl Watch {
    /// Records the version that a router's report shows.
    pub fn record_report(&mut self, now: clock::Millis, version: trailer::ProtocolVersion) {
        self.reports.insert(version, now);
    }

    /// Returns whether a router is older than the level and was not noted as such in this term.
    pub fn is_newly_outdated(
        &mut self,
        router: &id::InstanceId,
        version: trailer::ProtocolVersion,
        level: command::FeatureLevel,
    ) -> bool {
        if version >= level.0 {
            self.outdated.remove(router);
            return false;
        }
        self.outdated.len() < MAX_OUTDATED && self.outdated.insert(router.clone(), ()).is_none()
    }

    /// Returns the level to propose, or `None` if it is reached already.
    ///
    /// The leader calls this while its leadership is confirmed.
    ///
    /// # Errors
    ///
    /// Fails with what the raising waits for.
    pub fn next_level(
        &mut self,
        now: clock::Millis,
        level: command::FeatureLevel,
        versions: &group::MemberVersions,
    ) -> Result<Option<command::FeatureLevel>, Wait> {
        if now > self.checked_at + MAX_CHECK_GAP {
            self.since = None;
        }
        self.checked_at = now;
        let since = *self.since.get_or_insert(now);
        let next = command::FeatureLevel(trailer::CURRENT);
        if level >= next {
            return Ok(None);
        }
        check_members(next, versions)?;
        let quiet = |at: clock::Millis| now >= at + QUIET_TIME;
        let mut older = self.reports.iter().filter(|(v, _)| **v < next.0);
        if let Some((version, _)) = older.find(|(_, at)| !quiet(**at)) {
            return Err(Wait::OlderRouter(*version));
        }
        let saw_older = self.reports.keys().any(|v| *v < next.0);
        if quiet(since) || (versions.is_new_group && !saw_older) {
            return Ok(Some(next));
        }
        Err(Wait::NewLeader)
    }

    /// Returns whether the reason differs from the one that was logged last.
    pub fn is_news(&mut self, wait: &Wait) -> bool {
        let is_news = self.logged.as_ref() != Some(wait);
        self.logged = Some(wait.clone());
        is_news
    }
}

fn check_members(
    next: command::FeatureLevel,
    versions: &group::MemberVersions,
) -> Result<(), Wait> {
    for (member, version) in &versions.members {
        match version {
            None => return Err(Wait::UnknownMember(member.clone())),
            Some(version) if *version < next.0 => {
                return Err(Wait::OlderMember(member.clone(), *version));
            }
            Some(_) => (),
        }
    }
    if versions.members.is_empty() {
        return Err(Wait::NewLeader);
    }
    Ok(())
}
