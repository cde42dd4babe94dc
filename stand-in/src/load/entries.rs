//! Cache of the gateway entries that a caller uses. They come from `GET /v1/entries`.

use std::net;
use std::sync;

use buckthorncleat::clock;
use buckthorncleat::controller::entries;
use tokio::time;

use crate::client;

/// Longest wait for the list of entries from one gateway.
const ASK_TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// List of entries cached by one caller, until its `max_age` has passed.
#[derive(Debug, Default)]
pub struct Kept {
    advice: sync::Mutex<Option<(time::Instant, Vec<net::SocketAddr>)>>,
}

impl Kept {
    /// Returns the entries to try, best first.
    ///
    /// Without a fresh list, asks the addresses in `first` for one, beginning at index
    /// `turn % first.len()`. Returns `first` if none of them gives a non-empty list.
    pub async fn entries(&self, first: &[net::SocketAddr], turn: usize) -> Vec<net::SocketAddr> {
        if let Some(entries) = self.fresh() {
            return entries;
        }
        for offset in 0..first.len() {
            let address = first[(turn + offset) % first.len()];
            let asked = time::timeout(ASK_TIMEOUT, ask(address)).await;
            if let Ok(Ok(advice)) = asked
                && !advice.entries.is_empty()
            {
                return self.keep(advice);
            }
        }
        first.to_vec()
    }

    /// Drops the cached list; called when one of its entries could not be reached.
    ///
    /// # Panics
    ///
    /// Panics if another thread panicked while it held the lock of the list.
    pub fn forget(&self) {
        *self.advice.lock().expect("advice lock") = None;
    }

    fn fresh(&self) -> Option<Vec<net::SocketAddr>> {
        let advice = self.advice.lock().expect("advice lock");
        let (until, entries) = advice.as_ref()?;
        (time::Instant::now() < *until).then(|| entries.clone())
    }

    fn keep(&self, advice: entries::Answer) -> Vec<net::SocketAddr> {
        let entries: Vec<_> = advice.entries.iter().map(|e| e.address).collect();
        let max_age: clock::Millis = advice.max_age;
        let until = time::Instant::now() + max_age.as_duration();
        *self.advice.lock().expect("advice lock") = Some((until, entries.clone()));
        entries
    }
}

async fn ask(address: net::SocketAddr) -> buckthorncleat::Result<entries::Answer> {
    let req = client::request(hyper::Method::GET, "/v1/entries");
    client::ask(address, req).await?.json()
}
