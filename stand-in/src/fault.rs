//! Faults that can be injected into a running stand-in.

use buckthorncleat::unit;

/// The body of `POST /_stand-in/faults`; a field that is left out leaves its setting unchanged.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Faults {
    /// Whether to accept requests without making progress on them.
    pub stall: Option<bool>,
    /// Makes all open connections except the one of this request silent for good; new ones work.
    pub silent: bool,
    /// The factor by which to multiply the duration of work.
    pub slow_factor: Option<u32>,
    /// How many of the next imports to refuse (engines only).
    pub fail_imports: Option<u32>,
    /// Cuts all running streams, which can be resumed (engines only).
    pub cut_streams: bool,
    /// The new bandwidth of the link (engines only).
    pub link_bytes_per_second: Option<unit::BytesPerSecond>,
    /// Ends the process at once, without an answer.
    pub crash: bool,
}

/// The exit code of a stand-in that crashed because of an injected fault.
pub const CRASH_EXIT_CODE: i32 = 1;

/// Ends the process like a crash: without clean-up and without an answer.
pub fn crash() -> ! {
    std::process::exit(CRASH_EXIT_CODE)
}
