//! The requesting side of the links between processes.

use std::ffi;
use std::net;
use std::sync;
use std::sync::atomic;

use anng::protocols::reqrep0;
use tokio::time;

use crate::clock;
use crate::error;
use crate::event;
use crate::id;
use crate::macros;
use crate::peer::frame;
use crate::peer::message;
use crate::peer::trailer;
use crate::tasks;

/// Time after which a caller may retry a request that got no answer.
const RETRY_AFTER: clock::Millis = clock::Millis::new(200);

/// Most times that one request is sent; it is sent again when the peer answers that it has another
/// incarnation.
const MAX_CHALLENGES: u32 = 3;

/// The identity of this process towards its peers.
#[derive(Debug)]
pub struct Identity {
    pub instance: id::InstanceId,
    /// Drawn at random at each start of the process.
    pub incarnation: id::Incarnation,
    pub secret: frame::Secret,
    pub recorder: sync::Arc<event::Recorder>,
    sequence: atomic::AtomicU64,
}

impl Identity {
    /// Creates the identity of a new incarnation.
    pub fn new(
        instance: id::InstanceId,
        secret: frame::Secret,
        recorder: sync::Arc<event::Recorder>,
    ) -> Self {
        Self {
            instance,
            incarnation: id::Incarnation::random(),
            secret,
            recorder,
            sequence: atomic::AtomicU64::new(1),
        }
    }

    fn next_sequence(&self) -> u64 {
        self.sequence.fetch_add(1, atomic::Ordering::Relaxed)
    }
}

macros::data! {float
    /// What a reply frame carries.
    pub enum Envelope {
        /// The request named another incarnation of the receiver; the header has the current one.
        Challenge,
        Answer(Box<message::Reply>),
    }
}

impl Envelope {
    /// Encodes the envelope, with what is newer than the first release in the trailer.
    ///
    /// # Errors
    ///
    /// Fails when it can't be encoded, which is a bug.
    pub fn to_bytes(&self) -> error::Result<Vec<u8>> {
        let trailer = match self {
            Self::Answer(reply) => reply.to_trailer()?,
            Self::Challenge => trailer::Trailer::new(),
        };
        trailer.append_to(self)
    }

    /// Decodes an envelope and the protocol version of its sender.
    ///
    /// # Errors
    ///
    /// Fails when the bytes can't be decoded.
    pub fn from_bytes(buf: &[u8]) -> error::Result<(Self, trailer::ProtocolVersion)> {
        let (mut envelope, trailer) = trailer::Trailer::split(buf)?;
        if let Self::Answer(reply) = &mut envelope {
            reply.extend(&trailer)?;
        }
        Ok((envelope, trailer.version))
    }
}

/// The links of a process to its peers, one per address.
#[derive(Debug)]
pub struct Links {
    identity: sync::Arc<Identity>,
    links: sync::RwLock<Vec<sync::Arc<Link>>>,
}

impl Links {
    /// Creates the links of a process; each is dialled when it is first used.
    pub fn new(identity: sync::Arc<Identity>) -> Self {
        Self {
            identity,
            links: sync::RwLock::default(),
        }
    }

    pub fn identity(&self) -> &Identity {
        &self.identity
    }

    /// Sends a request to a peer and waits for its reply. A request that may not be repeated is acted on by
    /// one incarnation of the peer at most.
    ///
    /// A connection without an answer for all of `timeout` is dropped, and the next request dials a
    /// new one, since nng notices only connections that are closed.
    ///
    /// # Errors
    ///
    /// Fails as unavailable when no authentic reply comes within `timeout`. The peer may still have
    /// acted on the request.
    pub async fn request(
        &self,
        address: net::SocketAddr,
        request: &message::Request,
        timeout: clock::Millis,
    ) -> error::Result<message::Reply> {
        let link = self.link(address);
        match time::timeout(timeout.as_duration(), link.request(&self.identity, request)).await {
            Ok(result) => result,
            Err(_) => {
                link.disconnect(&self.identity);
                let reason = format!("no answer from {address} within {timeout}");
                Err(error::Error::unavailable(reason, RETRY_AFTER))
            }
        }
    }

    /// Opens the connection to a peer, unless there is one.
    ///
    /// # Errors
    ///
    /// Fails as unavailable when there is none within `timeout`. Nothing was sent then.
    pub async fn connect(
        &self,
        address: net::SocketAddr,
        timeout: clock::Millis,
    ) -> error::Result<()> {
        let link = self.link(address);
        match time::timeout(timeout.as_duration(), link.connect()).await {
            Ok(connected) => connected.map(drop),
            Err(_) => {
                let reason = format!("no connection to {address} within {timeout}");
                Err(error::Error::unavailable(reason, RETRY_AFTER))
            }
        }
    }

    /// Returns the protocol version of a peer's last reply; `None` before the first one.
    pub fn peer_version(&self, address: net::SocketAddr) -> Option<trailer::ProtocolVersion> {
        self.link(address).peer_version()
    }

    fn link(&self, address: net::SocketAddr) -> sync::Arc<Link> {
        let find = |links: &[sync::Arc<Link>]| links.binary_search_by_key(&address, |l| l.address);
        let links = self
            .links
            .read()
            .unwrap_or_else(sync::PoisonError::into_inner);
        if let Ok(at) = find(&links) {
            return sync::Arc::clone(&links[at]);
        }
        drop(links);
        let mut links = self
            .links
            .write()
            .unwrap_or_else(sync::PoisonError::into_inner);
        match find(&links) {
            Ok(at) => sync::Arc::clone(&links[at]),
            Err(at) => {
                let link = sync::Arc::new(Link::new(address));
                links.insert(at, sync::Arc::clone(&link));
                link
            }
        }
    }
}

#[derive(Debug)]
struct Link {
    address: net::SocketAddr,
    socket: sync::Mutex<Option<sync::Arc<anng::Socket<reqrep0::Req0>>>>,
    peer_incarnation: atomic::AtomicU64,
    /// The protocol version of the peer's last reply; 0 before the first one.
    peer_version: atomic::AtomicU64,
}

impl Link {
    fn new(address: net::SocketAddr) -> Self {
        Self {
            address,
            socket: sync::Mutex::default(),
            peer_incarnation: atomic::AtomicU64::new(0),
            peer_version: atomic::AtomicU64::new(0),
        }
    }

    async fn request(
        &self,
        identity: &Identity,
        request: &message::Request,
    ) -> error::Result<message::Reply> {
        let body = request.to_bytes()?;
        for _ in 0..MAX_CHALLENGES {
            // The version is read after the incarnation in the header, and stored before it, so that
            // it is not that of a former incarnation.
            let header = self.header(identity);
            if let Some(version) = self.peer_version() {
                check_version(request, version, self.address)?;
            }
            let is_named = header.to_incarnation != id::Incarnation::new(0);
            let frame = frame::Frame {
                header,
                body: body.clone(),
            };
            let reply = self.exchange(identity, &frame).await?;
            let (envelope, version) = Envelope::from_bytes(&reply.body)?;
            self.peer_version
                .store(version.as_u64(), atomic::Ordering::Release);
            let incarnation = reply.header.from_incarnation.as_u64();
            self.peer_incarnation
                .store(incarnation, atomic::Ordering::Release);
            if let Envelope::Answer(answer) = envelope {
                return Ok(*answer);
            }
            // No incarnation acts on a frame that names none.
            if is_named && !request.may_repeat() {
                let reason = format!("{} restarted and may have acted", self.address);
                return Err(error::Error::unavailable(reason, RETRY_AFTER));
            }
        }
        let reason = format!("{} restarted during each attempt", self.address);
        Err(error::Error::unavailable(reason, RETRY_AFTER))
    }

    fn peer_version(&self) -> Option<trailer::ProtocolVersion> {
        let version = self.peer_version.load(atomic::Ordering::Acquire);
        (version > 0).then(|| trailer::ProtocolVersion::new(version))
    }

    fn header(&self, identity: &Identity) -> frame::Header {
        let peer = self.peer_incarnation.load(atomic::Ordering::Acquire);
        frame::Header {
            from: identity.instance.clone(),
            from_incarnation: identity.incarnation,
            to_incarnation: id::Incarnation::new(peer),
            sequence: identity.next_sequence(),
            stamp: identity.recorder.stamp(),
        }
    }

    async fn exchange(
        &self,
        identity: &Identity,
        frame: &frame::Frame,
    ) -> error::Result<frame::Frame> {
        let socket = self.connect().await?;
        let mut cx = socket.context();
        let bytes = frame.to_bytes(&identity.secret)?;
        let sent = cx.request(anng::Message::from(bytes.as_slice())).await;
        let reply = match sent {
            Ok(reply) => reply.await,
            Err((e, _)) => Err(e),
        };
        let reply = reply.map_err(|e| {
            error::Error::unavailable(format!("link to {}: {e}", self.address), RETRY_AFTER)
        })?;
        let reply = frame::Frame::from_bytes(reply.as_slice(), &identity.secret)?;
        identity.recorder.observe(reply.header.stamp);
        check_reply(&frame.header, &reply.header)?;
        Ok(reply)
    }

    async fn connect(&self) -> error::Result<sync::Arc<anng::Socket<reqrep0::Req0>>> {
        if let Some(socket) = self.lock().as_ref() {
            return Ok(sync::Arc::clone(socket));
        }
        let failed = |why: String| {
            error::Error::unavailable(format!("dialling {}: {why}", self.address), RETRY_AFTER)
        };
        // The library panics when the peer shuts the connection down during the handshake.
        let dialled = tasks::catch_panic(reqrep0::Req0::dial(url(self.address)?)).await;
        let dialled = dialled.map_err(|why| {
            log::warn!(event = "dial_panicked", address = self.address.to_string(), detail = why.as_str(); "the connection to {} ended in its handshake: {why}", self.address);
            failed(why)
        })?;
        let socket = dialled.map_err(|e| failed(e.to_string()))?;
        let socket = sync::Arc::new(socket);
        *self.lock() = Some(sync::Arc::clone(&socket));
        Ok(socket)
    }

    fn disconnect(&self, identity: &Identity) {
        if self.lock().take().is_some() {
            let detail = format!("{} sent no answer in time", self.address);
            identity.recorder.record(event::Kind::Redialled, detail);
        }
    }

    fn lock(&self) -> sync::MutexGuard<'_, Option<sync::Arc<anng::Socket<reqrep0::Req0>>>> {
        self.socket
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}

fn check_reply(sent: &frame::Header, reply: &frame::Header) -> error::Result<()> {
    if reply.to_incarnation == sent.from_incarnation && reply.sequence == sent.sequence {
        return Ok(());
    }
    let remedy = "look for a process between the peers that forwards frames";
    Err(error::Error::damaged(
        "a reply that belongs to another request",
        remedy,
    ))
}

/// Returns the URL that nng dials or listens on.
pub(super) fn url(address: net::SocketAddr) -> error::Result<ffi::CString> {
    ffi::CString::new(format!("tcp://{address}"))
        .map_err(|_| error::Error::bad_value("address", address, "use an IP address and a port"))
}

/// Checks that a peer of this version can read a request.
fn check_version(
    request: &message::Request,
    version: trailer::ProtocolVersion,
    peer: net::SocketAddr,
) -> error::Result<()> {
    let needed = request.min_version();
    if version >= needed {
        return Ok(());
    }
    let reason = format!(
        "{peer} speaks protocol version {version} and the request needs version {needed}: \
         finish the upgrade of that process"
    );
    Err(error::Error::unavailable(reason, RETRY_AFTER))
}
