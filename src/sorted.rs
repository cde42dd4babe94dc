//! A map stored as a sorted vector and searched by binary search.

use std::mem;

use crate::macros;

macros::data! {
    pub struct Entry<K, V> {
        pub key: K,
        pub value: V,
    }
}

macros::data! {
    /// A sorted map for small to medium sizes that is read more often than changed.
    ///
    /// Lookups take O(log n), insertions and removals O(n). It serialises as a list of
    /// [`Entry`], in the order of the keys.
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
    pub const fn new() -> Self {
        Self {
            entries: Vec::new(),
        }
    }

    pub fn len(&self) -> usize {
        self.entries.len()
    }

    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    pub fn get(&self, key: &K) -> Option<&V> {
        let index = self.position(key).ok()?;
        Some(&self.entries[index].value)
    }

    pub fn get_mut(&mut self, key: &K) -> Option<&mut V> {
        let index = self.position(key).ok()?;
        Some(&mut self.entries[index].value)
    }

    pub fn contains(&self, key: &K) -> bool {
        self.position(key).is_ok()
    }

    /// Inserts a value and returns the previous value of the key.
    pub fn insert(&mut self, key: K, value: V) -> Option<V> {
        match self.position(&key) {
            Ok(index) => Some(mem::replace(&mut self.entries[index].value, value)),
            Err(index) => {
                self.entries.insert(index, Entry { key, value });
                None
            }
        }
    }

    /// Returns the value of `key`, after inserting what `make` returns if there is none.
    pub fn get_or_insert_with(&mut self, key: K, make: impl FnOnce() -> V) -> &mut V {
        let index = match self.position(&key) {
            Ok(index) => index,
            Err(index) => {
                let value = make();
                self.entries.insert(index, Entry { key, value });
                index
            }
        };
        &mut self.entries[index].value
    }

    pub fn remove(&mut self, key: &K) -> Option<V> {
        let index = self.position(key).ok()?;
        Some(self.entries.remove(index).value)
    }

    /// Removes the entries for which `keep` returns false.
    pub fn retain(&mut self, mut keep: impl FnMut(&K, &mut V) -> bool) {
        self.entries.retain_mut(|e| keep(&e.key, &mut e.value));
    }

    /// Iterates over the entries in the order of their keys.
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

    /// Iterates over the values in the order of their keys, by mutable reference.
    /// Returns the keys with their values, which may be changed.
    pub fn iter_mut(&mut self) -> impl DoubleEndedIterator<Item = (&K, &mut V)> {
        self.entries.iter_mut().map(|e| (&e.key, &mut e.value))
    }

    pub fn values_mut(&mut self) -> impl DoubleEndedIterator<Item = &mut V> {
        self.entries.iter_mut().map(|e| &mut e.value)
    }

    pub fn clear(&mut self) {
        self.entries.clear();
    }

    /// Returns the index of a key, or as the error the index at which to insert it.
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
