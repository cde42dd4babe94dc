//! Senders of messages to the other members, with one queue and one task per address.

use std::net;
use std::sync;

use tokio::sync::mpsc;
use tokio::task;

use crate::clock;
use crate::peer::link;
use crate::peer::message as peer_message;
use crate::sorted;

/// The maximum number of messages queued for one member. Further ones are dropped; Raft sends their
/// content again.
const QUEUE_CAPACITY: usize = 64;

#[derive(Debug)]
pub struct Peers {
    links: sync::Arc<link::Links>,
    timeout: clock::Millis,
    queues: sorted::Map<net::SocketAddr, mpsc::Sender<Vec<u8>>>,
    tasks: task::JoinSet<()>,
}

impl Peers {
    /// Creates senders over the links of this process; `timeout` applies to each message.
    pub fn new(links: sync::Arc<link::Links>, timeout: clock::Millis) -> Self {
        Self {
            links,
            timeout,
            queues: sorted::Map::new(),
            tasks: task::JoinSet::new(),
        }
    }

    /// Queues a message, or drops it when the queue of the address is full.
    pub fn send(&mut self, address: net::SocketAddr, bytes: Vec<u8>) {
        let queue = self.queues.get(&address).filter(|q| !q.is_closed());
        let queue = queue.cloned().unwrap_or_else(|| self.start(address));
        // The queue is full when the connection is cut or slow; the message is then dropped.
        let _ = queue.try_send(bytes);
    }

    fn start(&mut self, address: net::SocketAddr) -> mpsc::Sender<Vec<u8>> {
        let (queue, waiting) = mpsc::channel(QUEUE_CAPACITY);
        let links = sync::Arc::clone(&self.links);
        self.tasks.spawn(run(links, address, self.timeout, waiting));
        self.queues.insert(address, queue.clone());
        queue
    }

    /// Stops all sender tasks and waits for them; queued messages are dropped.
    pub async fn stop(mut self) {
        self.queues.clear();
        self.tasks.shutdown().await;
    }
}

async fn run(
    links: sync::Arc<link::Links>,
    address: net::SocketAddr,
    timeout: clock::Millis,
    mut waiting: mpsc::Receiver<Vec<u8>>,
) {
    while let Some(bytes) = waiting.recv().await {
        let request = peer_message::Request::Replica(bytes);
        if let Err(e) = links.request(address, &request, timeout).await {
            log::debug!("message to member at {address} lost: {e}");
            tokio::time::sleep(clock::Millis::new(10).as_duration()).await;
        }
    }
}
