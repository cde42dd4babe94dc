//! Cache of the gateway entries that a caller uses. They come from `GET /v1/entries`.

use std::net;
use std::sync;

use buckthorncleat::clock;
use buckthorncleat::controller::entries;
use tokio::time;

use crate::client;

/// Longest wait for the list of entries from one gateway.
const FETCH_TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// List of entries cached by one caller, until its `max_age` has passed.
#[derive(Debug, Default)]
pub struct Cache {
    cached: sync::Mutex<Option<(time::Instant, Vec<net::SocketAddr>)>>,
}

impl Cache {
    /// Returns the entries to try, best first.
    ///
    /// Without a fresh list, asks the addresses in `bootstrap` for one, beginning at index
    /// `start_index % bootstrap.len()`. Returns `bootstrap` if none of them gives a non-empty list.
    pub async fn entries(
        &self,
        bootstrap: &[net::SocketAddr],
        start_index: usize,
    ) -> Vec<net::SocketAddr> {
        if let Some(entries) = self.fresh() {
            return entries;
        }
        for offset in 0..bootstrap.len() {
            let address = bootstrap[(start_index + offset) % bootstrap.len()];
            let fetched = time::timeout(FETCH_TIMEOUT, fetch(address)).await;
            if let Ok(Ok(cached)) = fetched
                && !cached.entries.is_empty()
            {
                return self.store(cached);
            }
        }
        bootstrap.to_vec()
    }

    /// Drops the cached list; called when one of its entries could not be reached.
    ///
    /// # Panics
    ///
    /// Panics if another thread panicked while it held the lock of the list.
    pub fn invalidate(&self) {
        *self.cached.lock().expect("entry cache lock") = None;
    }

    fn fresh(&self) -> Option<Vec<net::SocketAddr>> {
        let cached = self.cached.lock().expect("entry cache lock");
        let (until, entries) = cached.as_ref()?;
        (time::Instant::now() < *until).then(|| entries.clone())
    }

    fn store(&self, cached: entries::Answer) -> Vec<net::SocketAddr> {
        let entries: Vec<_> = cached.entries.iter().map(|e| e.address).collect();
        let max_age: clock::Millis = cached.max_age;
        let until = time::Instant::now() + max_age.as_duration();
        *self.cached.lock().expect("entry cache lock") = Some((until, entries.clone()));
        entries
    }
}

async fn fetch(address: net::SocketAddr) -> buckthorncleat::Result<entries::Answer> {
    let req = client::request(hyper::Method::GET, "/v1/entries");
    client::ask(address, req).await?.json()
}
