//! A queue of flows that knows what they do together.

use crate::controller::limiter::level;

const FIRST_CAPACITY: usize = 16;

/// Flows in the order of time, in a ring under a binary tree of joined flows.
///
/// Joining all, and changing any one, takes time logarithmic in their number.
#[derive(Clone, Debug)]
pub struct Flows {
    /// The node `i` joins the nodes `2 i` and `2 i + 1`; the second half is the ring.
    nodes: Vec<level::Flow>,
    head: usize,
    len: usize,
}

impl Default for Flows {
    fn default() -> Self {
        Self::new()
    }
}

impl Flows {
    /// Makes an empty queue.
    pub fn new() -> Self {
        Self::with_capacity(FIRST_CAPACITY)
    }

    /// Returns the number of flows.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Tells whether there is no flow.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Appends a flow.
    pub fn push(&mut self, flow: level::Flow) {
        if self.len == self.capacity() {
            self.grow();
        }
        self.len += 1;
        self.set(self.len - 1, flow);
    }

    /// Removes the first flow.
    pub fn pop_first(&mut self) -> Option<level::Flow> {
        let flow = self.get(0)?;
        self.set(0, level::Flow::NONE);
        self.head = (self.head + 1) % self.capacity();
        self.len -= 1;
        Some(flow)
    }

    /// Removes the last flow.
    pub fn pop_last(&mut self) -> Option<level::Flow> {
        let last = self.len.checked_sub(1)?;
        let flow = self.get(last)?;
        self.set(last, level::Flow::NONE);
        self.len = last;
        Some(flow)
    }

    /// Replaces the flow at an index.
    ///
    /// # Panics
    ///
    /// Panics when there is none.
    pub fn set(&mut self, index: usize, flow: level::Flow) {
        assert!(index < self.len, "no flow at this index");
        let mut node = self.node_of(index);
        self.nodes[node] = flow;
        while node > 1 {
            node /= 2;
            self.nodes[node] = self.nodes[2 * node].then(self.nodes[2 * node + 1]);
        }
    }

    /// Joins all flows in order.
    pub fn joined(&self) -> level::Flow {
        let capacity = self.capacity();
        let end = self.head + self.len;
        let first = self.join_range(self.head, end.min(capacity));
        let wrapped = self.join_range(0, end.saturating_sub(capacity));
        first.then(wrapped)
    }

    fn get(&self, index: usize) -> Option<level::Flow> {
        (index < self.len).then(|| self.nodes[self.node_of(index)])
    }

    fn join_range(&self, from: usize, to: usize) -> level::Flow {
        let (mut left, mut right) = (level::Flow::NONE, level::Flow::NONE);
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
        while let Some(flow) = self.pop_first() {
            larger.push(flow);
        }
        *self = larger;
    }

    fn with_capacity(capacity: usize) -> Self {
        Self {
            nodes: vec![level::Flow::NONE; capacity * 2],
            head: 0,
            len: 0,
        }
    }

    fn capacity(&self) -> usize {
        self.nodes.len() / 2
    }

    fn node_of(&self, index: usize) -> usize {
        self.capacity() + (self.head + index) % self.capacity()
    }
}
