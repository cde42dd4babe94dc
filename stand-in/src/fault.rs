//! The fault switches that a stand-in takes at run time.

use buckthorncleat::unit;

/// `POST /_stand-in/faults`: what to change; what is left out stays as it is.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Faults {
    /// Takes requests but makes no progress.
    pub stall: Option<bool>,
    /// Makes all connections but this one silent for good; new ones work.
    pub silent: bool,
    /// Makes work take this many times as long.
    pub slow_factor: Option<u32>,
    /// Refuses this many of the next imports (engines only).
    pub fail_imports: Option<u32>,
    /// Cuts all running streams; they can be taken up again (engines only).
    pub cut_streams: bool,
    /// The new rate of the link (engines only).
    pub link_bytes_per_second: Option<unit::BytesPerSecond>,
    /// Ends the process at once.
    pub crash: bool,
}

/// The exit code of a stand-in that was told to crash.
pub const CRASH_EXIT_CODE: i32 = 1;

/// Ends the process as a crash does: no clean-up, no answer.
pub fn crash() -> ! {
    std::process::exit(CRASH_EXIT_CODE)
}
