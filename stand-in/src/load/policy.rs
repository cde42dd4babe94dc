//! Policies that the load tool compares. Each is a set of gateway settings.

use buckthorncleat::config::settings;

/// Named set of gateway settings.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum, serde::Serialize, serde::Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Policy {
    /// Joint placement that serves the worst-served account first, limits over the fleet.
    JointWorstServed,
    /// Joint placement for goodput, limits over the fleet.
    JointGoodput,
    /// The least-loaded server, limits over the fleet.
    LeastLoaded,
    /// One server after the other, limits over the fleet.
    RoundRobin,
    /// Joint placement that serves the worst-served account first, an equal part of each limit at
    /// each gateway.
    StaticShare,
}

impl Policy {
    pub const ALL: [Self; 5] = [
        Self::JointWorstServed,
        Self::JointGoodput,
        Self::LeastLoaded,
        Self::RoundRobin,
        Self::StaticShare,
    ];

    /// Returns how the gateways choose servers for requests.
    pub fn placement(self) -> settings::Placement {
        match self {
            Self::JointWorstServed | Self::JointGoodput | Self::StaticShare => {
                settings::Placement::Joint
            }
            Self::LeastLoaded => settings::Placement::LeastLoaded,
            Self::RoundRobin => settings::Placement::RoundRobin,
        }
    }

    /// Returns the objective, which decides what is served first.
    pub fn objective(self) -> settings::Objective {
        match self {
            Self::JointGoodput => settings::Objective::Goodput,
            _ => settings::Objective::WorstServedAccount,
        }
    }

    /// Returns how the gateways enforce account limits.
    pub fn limits(self) -> settings::Limits {
        match self {
            Self::StaticShare => settings::Limits::StaticShare,
            _ => settings::Limits::Fleet,
        }
    }

    /// Returns the name in tables and plots.
    pub fn name(self) -> &'static str {
        match self {
            Self::JointWorstServed => "joint-worst-served",
            Self::JointGoodput => "joint-goodput",
            Self::LeastLoaded => "least-loaded",
            Self::RoundRobin => "round-robin",
            Self::StaticShare => "static-share",
        }
    }
}
