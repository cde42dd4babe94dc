//! Bounds the memory of what is read from servers before it is complete, and of the bodies of
//! callers, over all calls of the process.

use std::collections;
use std::sync::atomic;

use bytes::Bytes;
use tokio::sync;

/// What one call may take without a share of [`MAX_LARGE_BYTES`]; so large answers never keep small
/// ones from being read.
const SMALL_BYTES: usize = 32 << 10;

/// What all calls together may take beyond [`SMALL_BYTES`] each.
const MAX_LARGE_BYTES: usize = 16 << 20;

/// The size of the blocks of a [`Whole`]. With blocks of one size, memory that one answer has freed
/// fits the next, and an answer that grows is not copied.
const BLOCK_BYTES: usize = 16 << 10;

/// What the large bodies of all callers may take together, in KiB. A larger one is held alone.
const MAX_BODIES_KIB: usize = 16 << 10;

static BODIES_KIB: sync::Semaphore = sync::Semaphore::const_new(MAX_BODIES_KIB);

static LARGE_BYTES: atomic::AtomicUsize = atomic::AtomicUsize::new(0);

/// The memory that one call takes. Dropping it frees its share.
#[derive(Debug, Default)]
pub struct Share {
    large: usize,
}

impl Share {
    /// Changes how many bytes the call takes. Returns false, and changes nothing, when the process
    /// has none left for large answers.
    pub fn resize(&mut self, bytes: usize) -> bool {
        let large = bytes.saturating_sub(SMALL_BYTES);
        if large <= self.large {
            LARGE_BYTES.fetch_sub(self.large - large, atomic::Ordering::Relaxed);
            self.large = large;
            return true;
        }
        let more = large - self.large;
        let taken = LARGE_BYTES.fetch_update(
            atomic::Ordering::Relaxed,
            atomic::Ordering::Relaxed,
            |taken| Some(taken + more).filter(|sum| *sum <= MAX_LARGE_BYTES),
        );
        if taken.is_ok() {
            self.large = large;
        }
        taken.is_ok()
    }
}

impl Drop for Share {
    fn drop(&mut self) {
        LARGE_BYTES.fetch_sub(self.large, atomic::Ordering::Relaxed);
    }
}

/// The memory of a caller's body, given back on drop.
#[derive(Debug, Default)]
pub struct BodyPermit(Option<sync::SemaphorePermit<'static>>);

impl BodyPermit {
    /// Waits until there is memory for a body of so many bytes, in the order of the calls. A small one
    /// never waits.
    pub async fn acquire(bytes: usize) -> Self {
        if bytes <= SMALL_BYTES {
            return Self::default();
        }
        let kib = bytes.div_ceil(1 << 10).min(MAX_BODIES_KIB);
        // The semaphore is never closed, and the number is below `u32::MAX`.
        Self(BODIES_KIB.acquire_many(kib as u32).await.ok())
    }

    /// Returns whether a body of so many bytes needs no more memory than this.
    pub fn covers(&self, bytes: usize) -> bool {
        self.0.is_some() || bytes <= SMALL_BYTES
    }
}

/// A body that is read whole.
#[derive(Debug, Default)]
pub struct Whole {
    blocks: collections::VecDeque<Vec<u8>>,
    length: usize,
    share: Share,
}

impl Whole {
    /// Appends bytes. Returns false, and appends nothing, when the process has no memory left for
    /// large answers.
    pub fn push(&mut self, mut bytes: &[u8]) -> bool {
        if !self.share.resize(self.length + bytes.len()) {
            return false;
        }
        self.length += bytes.len();
        while !bytes.is_empty() {
            let room = self.blocks.back().map_or(0, |b| BLOCK_BYTES - b.len());
            if room == 0 {
                let capacity = if self.blocks.is_empty() {
                    bytes.len().min(BLOCK_BYTES)
                } else {
                    BLOCK_BYTES
                };
                self.blocks.push_back(Vec::with_capacity(capacity));
                continue;
            }
            let (now, later) = bytes.split_at(bytes.len().min(room));
            if let Some(block) = self.blocks.back_mut() {
                block.extend_from_slice(now);
            }
            bytes = later;
        }
        true
    }

    pub fn len(&self) -> usize {
        self.length
    }

    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Joins the blocks, each of which is freed once it is copied.
    pub fn into_bytes(mut self) -> Bytes {
        if self.blocks.len() == 1 {
            return self.blocks.pop_front().unwrap_or_default().into();
        }
        let mut whole = Vec::with_capacity(self.length);
        for block in self.blocks {
            whole.extend_from_slice(&block);
        }
        whole.into()
    }
}
