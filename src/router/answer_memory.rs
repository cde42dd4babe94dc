//! Bounds the memory of answers that are read whole, over all calls of the process.

use std::sync::atomic;

/// What one answer may take without a share of [`MAX_LARGE_BYTES`]; so large answers never keep
/// small ones from being read.
const SMALL_BYTES: usize = 32 << 10;

/// What all answers together may take beyond [`SMALL_BYTES`] each. While an answer grows, it is
/// copied, which takes up to twice as much.
const MAX_LARGE_BYTES: usize = 16 << 20;

static LARGE_BYTES: atomic::AtomicUsize = atomic::AtomicUsize::new(0);

/// The memory of one answer while it is read. Dropping it frees its share.
#[derive(Debug, Default)]
pub struct Share {
    bytes: usize,
    large: usize,
}

impl Share {
    /// Takes memory for more bytes; returns false when the process has none left for large answers.
    pub fn grow(&mut self, bytes: usize) -> bool {
        self.bytes += bytes;
        let more = self.bytes.saturating_sub(SMALL_BYTES) - self.large;
        let taken = LARGE_BYTES.fetch_update(
            atomic::Ordering::Relaxed,
            atomic::Ordering::Relaxed,
            |taken| Some(taken + more).filter(|sum| *sum <= MAX_LARGE_BYTES),
        );
        if taken.is_ok() {
            self.large += more;
        }
        taken.is_ok()
    }
}

impl Drop for Share {
    fn drop(&mut self) {
        LARGE_BYTES.fetch_sub(self.large, atomic::Ordering::Relaxed);
    }
}
