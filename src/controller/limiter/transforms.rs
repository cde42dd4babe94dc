//! A queue of level transforms that composes all of them in logarithmic time.

use crate::controller::limiter::level;

const INITIAL_CAPACITY: usize = 16;

/// Transforms in the order of time, kept as a segment tree whose leaves are a ring buffer.
///
/// Composing all of them, or replacing one, takes time logarithmic in their number.
#[derive(Clone, Debug)]
pub struct Transforms {
    /// The node `i` is the composition of the nodes `2 i` and `2 i + 1`; the second half is the
    /// ring.
    nodes: Vec<level::Transform>,
    head: usize,
    len: usize,
}

impl Default for Transforms {
    fn default() -> Self {
        Self::new()
    }
}

impl Transforms {
    pub fn new() -> Self {
        Self::with_capacity(INITIAL_CAPACITY)
    }

    pub fn len(&self) -> usize {
        self.len
    }

    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    pub fn push(&mut self, transform: level::Transform) {
        if self.len == self.capacity() {
            self.grow();
        }
        self.len += 1;
        self.set(self.len - 1, transform);
    }

    /// Removes and returns the first transform.
    pub fn pop_first(&mut self) -> Option<level::Transform> {
        let transform = self.get(0)?;
        self.set(0, level::Transform::IDENTITY);
        self.head = (self.head + 1) % self.capacity();
        self.len -= 1;
        Some(transform)
    }

    /// Removes and returns the last transform.
    pub fn pop_last(&mut self) -> Option<level::Transform> {
        let last = self.len.checked_sub(1)?;
        let transform = self.get(last)?;
        self.set(last, level::Transform::IDENTITY);
        self.len = last;
        Some(transform)
    }

    /// Replaces the transform at `index`.
    ///
    /// # Panics
    ///
    /// Panics when `index` is out of bounds.
    pub fn set(&mut self, index: usize, transform: level::Transform) {
        assert!(index < self.len, "the index is out of bounds");
        let mut node = self.node_index(index);
        self.nodes[node] = transform;
        while node > 1 {
            node /= 2;
            self.nodes[node] = self.nodes[2 * node].then(self.nodes[2 * node + 1]);
        }
    }

    /// Composes all transforms, the first one applied first.
    pub fn composed(&self) -> level::Transform {
        let capacity = self.capacity();
        let end = self.head + self.len;
        let first = self.compose_range(self.head, end.min(capacity));
        let wrapped = self.compose_range(0, end.saturating_sub(capacity));
        first.then(wrapped)
    }

    fn get(&self, index: usize) -> Option<level::Transform> {
        (index < self.len).then(|| self.nodes[self.node_index(index)])
    }

    fn compose_range(&self, from: usize, to: usize) -> level::Transform {
        let (mut left, mut right) = (level::Transform::IDENTITY, level::Transform::IDENTITY);
        let mut low = from + self.capacity();
        let mut high = to + self.capacity();
        while low < high {
            if low % 2 == 1 {
                left = left.then(self.nodes[low]);
                low += 1;
            }
            if high % 2 == 1 {
                high -= 1;
                right = self.nodes[high].then(right);
            }
            low /= 2;
            high /= 2;
        }
        left.then(right)
    }

    fn grow(&mut self) {
        let mut larger = Self::with_capacity(self.capacity() * 2);
        while let Some(transform) = self.pop_first() {
            larger.push(transform);
        }
        *self = larger;
    }

    fn with_capacity(capacity: usize) -> Self {
        Self {
            nodes: vec![level::Transform::IDENTITY; capacity * 2],
            head: 0,
            len: 0,
        }
    }

    fn capacity(&self) -> usize {
        self.nodes.len() / 2
    }

    fn node_index(&self, index: usize) -> usize {
        self.capacity() + (self.head + index) % self.capacity()
    }
}
