//! A map kept as a sorted vector and searched by bisection.

use std::mem;

use crate::macros;

macros::data! {
    /// A key with its value.
    pub struct Entry<K, V> {
        /// The key, unique in its map.
        pub key: K,
        /// The value.
        pub value: V,
    }
}

macros::data! {
    /// A map for small to medium sets that are read more often than changed.
    #[serde(transparent)]
    pub struct Map<K, V> {
        entries: Vec<Entry<K, V>>,
    }
}

impl<K: Ord, V> Default for Map<K, V> {
    fn default() -> Self {
        Self::new()
    }
}

impl<K: Ord, V> Map<K, V> {
    /// Makes an empty map.
    pub const fn new() -> Self {
        Self {
            entries: Vec::new(),
        }
    }

    /// Returns the number of entries.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Tells whether the map has no entry.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Finds a value.
    pub fn get(&self, key: &K) -> Option<&V> {
        let at = self.position(key).ok()?;
        Some(&self.entries[at].value)
    }

    /// Finds a value to change.
    pub fn get_mut(&mut self, key: &K) -> Option<&mut V> {
        let at = self.position(key).ok()?;
        Some(&mut self.entries[at].value)
    }

    /// Tells whether the key is present.
    pub fn contains(&self, key: &K) -> bool {
        self.position(key).is_ok()
    }

    /// Inserts a value and returns the one it replaces.
    pub fn insert(&mut self, key: K, value: V) -> Option<V> {
        match self.position(&key) {
            Ok(at) => Some(mem::replace(&mut self.entries[at].value, value)),
            Err(at) => {
                self.entries.insert(at, Entry { key, value });
                None
            }
        }
    }

    /// Finds a value, inserting what `make` returns when it is absent.
    pub fn get_or_insert_with(&mut self, key: K, make: impl FnOnce() -> V) -> &mut V {
        let at = match self.position(&key) {
            Ok(at) => at,
            Err(at) => {
                let value = make();
                self.entries.insert(at, Entry { key, value });
                at
            }
        };
        &mut self.entries[at].value
    }

    /// Removes a key and returns its value.
    pub fn remove(&mut self, key: &K) -> Option<V> {
        let at = self.position(key).ok()?;
        Some(self.entries.remove(at).value)
    }

    /// Keeps the entries that `keep` accepts.
    pub fn retain(&mut self, mut keep: impl FnMut(&K, &mut V) -> bool) {
        self.entries.retain_mut(|e| keep(&e.key, &mut e.value));
    }

    /// Iterates in the order of the keys.
    pub fn iter(&self) -> impl DoubleEndedIterator<Item = (&K, &V)> {
        self.entries.iter().map(|e| (&e.key, &e.value))
    }

    /// Iterates over the keys in order.
    pub fn keys(&self) -> impl DoubleEndedIterator<Item = &K> {
        self.entries.iter().map(|e| &e.key)
    }

    /// Iterates over the values in the order of their keys.
    pub fn values(&self) -> impl DoubleEndedIterator<Item = &V> {
        self.entries.iter().map(|e| &e.value)
    }

    /// Iterates over the values to change them.
    pub fn values_mut(&mut self) -> impl DoubleEndedIterator<Item = &mut V> {
        self.entries.iter_mut().map(|e| &mut e.value)
    }

    /// Removes all entries.
    pub fn clear(&mut self) {
        self.entries.clear();
    }

    fn position(&self, key: &K) -> Result<usize, usize> {
        self.entries.binary_search_by(|e| e.key.cmp(key))
    }
}

impl<K: Ord, V> FromIterator<(K, V)> for Map<K, V> {
    fn from_iter<I: IntoIterator<Item = (K, V)>>(pairs: I) -> Self {
        let mut map = Self::new();
        for (key, value) in pairs {
            map.insert(key, value);
        }
        map
    }
}
