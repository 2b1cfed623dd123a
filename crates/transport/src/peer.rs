//! Links between instances, over `nng`.
//!
//! Each instance listens on one `pull` socket and dials one `push` socket to
//! each peer that it sends messages to. nng runs threads of its own, which
//! only pass each received message to the event loop through a bounded
//! channel. If the buffer of either side is full, the message is dropped and
//! counted: messages between instances may be lost, and the protocol recovers
//! from that.

use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use futures_channel::mpsc;
use log::{debug, warn};
use nng::{
    Aio, AioResult, Protocol, Socket,
    options::{
        Options, ReconnectMaxTime, ReconnectMinTime, RecvBufferSize,
        RecvMaxSize, SendBufferSize,
    },
};
use sedgewall_protocol::Envelope;

/// The number of received messages that may wait for the event loop; messages
/// beyond it are dropped.
const RECEIVE_QUEUE_LEN: usize = 16_384;

/// The number of messages that may wait to be sent to one peer; messages
/// beyond it are dropped.
const SEND_QUEUE_LEN: i32 = 4_096;

/// The number of received messages that nng buffers ahead of the channel to
/// the event loop.
const RECEIVE_BUFFER_LEN: i32 = 4_096;

/// The largest message that is accepted, in bytes: room for a configuration
/// chunk and its envelope.
const MAX_MESSAGE_LEN: usize = 4 << 20;

const RECONNECT_MIN: Duration = Duration::from_millis(50);
const RECONNECT_MAX: Duration = Duration::from_millis(500);

/// Error of a link between instances.
#[derive(Clone, Debug, displaydoc::Display, Eq, PartialEq)]
pub enum PeerError {
    /// cannot listen at {url}: {cause}
    Listen {
        /// The URL of the link.
        url: String,
        /// The error that nng returned.
        cause: String,
    },
    /// cannot dial {url}: {cause}
    Dial {
        /// The URL of the link.
        url: String,
        /// The error that nng returned.
        cause: String,
    },
    /// too many messages wait for {0}
    Full(String),
    /// cannot encode the message: {0}
    Encode(String),
}

impl std::error::Error for PeerError {}

/// The receiving side of the links from all peers.
pub struct PeerListener {
    messages: mpsc::Receiver<Vec<u8>>,
    dropped: Arc<AtomicU64>,
    // Held because dropping the socket closes it, which stops nng's callbacks.
    _socket: Socket,
    _aio: Aio,
}

impl PeerListener {
    /// Listens for peers at a URL such as `tcp://127.0.0.1:7100`.
    ///
    /// # Errors
    ///
    /// If the address cannot be bound.
    pub fn listen(url: &str) -> Result<PeerListener, PeerError> {
        let err = |cause: nng::Error| PeerError::Listen {
            url: url.to_owned(),
            cause: cause.to_string(),
        };
        let socket = Socket::new(Protocol::Pull0).map_err(err)?;
        socket.set_opt::<RecvBufferSize>(RECEIVE_BUFFER_LEN).map_err(err)?;
        socket.set_opt::<RecvMaxSize>(MAX_MESSAGE_LEN).map_err(err)?;
        let (tx, messages) = mpsc::channel(RECEIVE_QUEUE_LEN);
        let dropped = Arc::new(AtomicU64::new(0));
        let aio =
            start_receiving(&socket, tx, dropped.clone()).map_err(err)?;
        socket.listen(url).map_err(err)?;
        socket.recv_async(&aio).map_err(err)?;
        Ok(PeerListener { messages, dropped, _socket: socket, _aio: aio })
    }

    /// Waits for the next message. A message that cannot be decoded is logged
    /// and skipped.
    pub async fn next(&mut self) -> Option<Envelope> {
        use futures_util::StreamExt;
        loop {
            let bytes = self.messages.next().await?;
            match Envelope::from_bytes(&bytes) {
                Ok(envelope) => return Some(envelope),
                Err(err) => warn!("peer: skipped a message: {err}."),
            }
        }
    }

    /// Returns the next message if one has been received already. A message
    /// that cannot be decoded is skipped.
    pub fn try_next(&mut self) -> Option<Envelope> {
        loop {
            let bytes = self.messages.try_recv().ok()?;
            if let Ok(envelope) = Envelope::from_bytes(&bytes) {
                return Some(envelope);
            }
        }
    }

    /// Returns the number of messages that were dropped because the event loop
    /// fell behind.
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }
}

fn start_receiving(
    socket: &Socket,
    tx: mpsc::Sender<Vec<u8>>,
    dropped: Arc<AtomicU64>,
) -> Result<Aio, nng::Error> {
    let socket = socket.clone();
    let tx = Mutex::new(tx);
    Aio::new(move |aio, result| {
        match result {
            AioResult::Recv(Ok(message)) => {
                let Ok(mut tx) = tx.lock() else { return };
                if tx.try_send(message.as_slice().to_vec()).is_err() {
                    dropped.fetch_add(1, Ordering::Relaxed);
                }
            }
            AioResult::Recv(Err(nng::Error::Closed)) => return,
            _ => {}
        }
        let _ = socket.recv_async(&aio);
    })
}

/// The sending side of the links to peers, with one socket for each URL.
#[derive(Default)]
pub struct PeerSender {
    links: HashMap<String, Socket>,
    sent: u64,
    sent_bytes: u64,
    dropped: u64,
}

impl PeerSender {
    /// Queues a message for a peer without waiting. Dials the peer first if
    /// there is no link to it yet.
    ///
    /// # Errors
    ///
    /// If the message cannot be encoded, the peer cannot be dialed (such as at
    /// a malformed URL), or nng does not queue the message, mostly because the
    /// peer's send queue is full. The message is dropped in each case.
    pub fn send(
        &mut self,
        url: &str,
        envelope: &Envelope,
    ) -> Result<(), PeerError> {
        let bytes = envelope
            .to_bytes()
            .map_err(|err| PeerError::Encode(err.to_string()))?;
        let len = bytes.len() as u64;
        let link = self.link(url)?;
        if link.try_send(bytes.as_slice()).is_err() {
            self.dropped += 1;
            return Err(PeerError::Full(url.to_owned()));
        }
        self.sent += 1;
        self.sent_bytes += len;
        Ok(())
    }

    /// Closes the links to all peers except those whose URL `is_kept` accepts.
    pub fn retain(&mut self, is_kept: impl Fn(&str) -> bool) {
        self.links.retain(|url, _| is_kept(url));
    }

    /// Returns the number of messages that were queued for sending.
    pub fn sent(&self) -> u64 {
        self.sent
    }

    /// Returns the total length of the messages that were queued, in bytes.
    pub fn sent_bytes(&self) -> u64 {
        self.sent_bytes
    }

    /// Returns the number of messages to any peer that nng did not queue,
    /// mostly because the peer's send queue was full. Messages that could not
    /// be encoded or dialed are not counted.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }

    fn link(&mut self, url: &str) -> Result<&Socket, PeerError> {
        if !self.links.contains_key(url) {
            debug!("peer: dialing {url}.");
            let socket = dial(url).map_err(|cause| PeerError::Dial {
                url: url.to_owned(),
                cause: cause.to_string(),
            })?;
            self.links.insert(url.to_owned(), socket);
        }
        Ok(&self.links[url])
    }
}

fn dial(url: &str) -> Result<Socket, nng::Error> {
    let socket = Socket::new(Protocol::Push0)?;
    socket.set_opt::<SendBufferSize>(SEND_QUEUE_LEN)?;
    socket.set_opt::<ReconnectMinTime>(Some(RECONNECT_MIN))?;
    socket.set_opt::<ReconnectMaxTime>(Some(RECONNECT_MAX))?;
    socket.dial_async(url)?;
    Ok(socket)
}
