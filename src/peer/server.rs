//! The answering side of the links between processes.

use std::future;
use std::net;
use std::sync;

use anng::protocols::reqrep0;
use tokio::sync::watch;
use tokio::task;
use tokio::time;

use crate::clock;
use crate::error;
use crate::event;
use crate::id;
use crate::peer::frame;
use crate::peer::link;
use crate::peer::message;

/// Most requests that are handled at once, including long polls.
const MAX_CONCURRENT_REQUESTS: usize = 256;

/// The time for answers that are under way when the process stops. An answer that depends on a task
/// that has stopped never comes.
const ANSWER_TIME_AT_STOP: clock::Millis = clock::Millis::new(1_000);

/// Handles the requests of other processes.
pub trait Handler: Send + Sync + 'static {
    /// Handles one request of the instance `from`.
    fn handle(
        &self,
        from: id::InstanceId,
        request: message::Request,
    ) -> impl Future<Output = message::Reply> + Send;
}

/// Serves peers until `stop` turns true, and returns when all handlers have ended.
///
/// # Errors
///
/// Fails when the address can't be listened on.
pub async fn serve<H: Handler>(
    address: net::SocketAddr,
    identity: sync::Arc<link::Identity>,
    handler: sync::Arc<H>,
    stop: watch::Receiver<bool>,
) -> error::Result<()> {
    let socket = reqrep0::Rep0::listen(link::url(address)?)
        .await
        .map_err(|e| error::Error::io(format!("listening for peers on {address}"), e))?;
    let receiver = sync::Arc::new(Receiver {
        identity,
        handler,
        filter: sync::Mutex::default(),
    });
    let socket = sync::Arc::new(socket);
    let mut workers = task::JoinSet::new();
    for _ in 0..MAX_CONCURRENT_REQUESTS {
        let socket = sync::Arc::clone(&socket);
        let receiver = sync::Arc::clone(&receiver);
        let stop = stop.clone();
        workers.spawn(async move { receiver.run(&socket, stop).await });
    }
    while workers.join_next().await.is_some() {}
    Ok(())
}

#[derive(Debug)]
struct Receiver<H> {
    identity: sync::Arc<link::Identity>,
    handler: sync::Arc<H>,
    filter: sync::Mutex<frame::ReplayFilter>,
}

impl<H: Handler> Receiver<H> {
    async fn run(&self, socket: &anng::Socket<reqrep0::Rep0>, mut stop: watch::Receiver<bool>) {
        let mut cx = socket.context();
        loop {
            let received = tokio::select! {
                received = cx.receive() => received,
                () = stopped(&mut stop) => return,
            };
            let Ok((request, responder)) = received else {
                return;
            };
            let answer = async {
                if let Some(reply) = self.answer(request.as_slice()).await {
                    // A reply that can't be sent is the same to the peer as one lost on the way: it
                    // times out.
                    let _ = responder.reply(anng::Message::from(reply.as_slice())).await;
                }
            };
            tokio::select! {
                () = answer => {}
                () = stopped_for(&mut stop, ANSWER_TIME_AT_STOP) => return,
            }
        }
    }

    /// Returns the encoded reply, or `None` if the frame is refused.
    async fn answer(&self, bytes: &[u8]) -> Option<Vec<u8>> {
        let frame = match frame::Frame::from_bytes(bytes, &self.identity.secret) {
            Ok(frame) => frame,
            Err(e) => return self.refuse(&e.to_string()),
        };
        self.identity.recorder.observe(frame.header.stamp);
        if frame.header.to_incarnation != self.identity.incarnation {
            return self.reply(&frame.header, &link::Envelope::Challenge);
        }
        if !self.is_new(&frame.header) {
            return self.refuse("a repeated frame");
        }
        let request = match message::Request::from_bytes(&frame.body) {
            Ok(request) => request,
            Err(e) => return self.refuse(&e.to_string()),
        };
        let answer = self
            .handler
            .handle(frame.header.from.clone(), request)
            .await;
        self.reply(&frame.header, &link::Envelope::Answer(Box::new(answer)))
    }

    fn is_new(&self, header: &frame::Header) -> bool {
        self.filter
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
            .accept(header)
    }

    fn refuse(&self, why: &str) -> Option<Vec<u8>> {
        metrics::counter!("buckthorncleat_frames_refused_total").increment(1);
        self.identity
            .recorder
            .record(event::Kind::FrameRefused, why);
        None
    }

    fn reply(&self, to: &frame::Header, envelope: &link::Envelope) -> Option<Vec<u8>> {
        let header = frame::Header {
            from: self.identity.instance.clone(),
            from_incarnation: self.identity.incarnation,
            to_incarnation: to.from_incarnation,
            sequence: to.sequence,
            stamp: self.identity.recorder.stamp(),
        };
        let body = envelope.to_bytes().ok()?;
        frame::Frame { header, body }
            .to_bytes(&self.identity.secret)
            .ok()
    }
}

/// Waits until `stop` has been true for some time.
pub async fn stopped_for(stop: &mut watch::Receiver<bool>, time: clock::Millis) {
    stopped(stop).await;
    time::sleep(time.as_duration()).await;
}

/// Waits until `stop` is true or its sender is dropped.
pub async fn stopped(stop: &mut watch::Receiver<bool>) {
    if stop.wait_for(|stop| *stop).await.is_err() {
        future::ready(()).await;
    }
}
