//! Links between instances, over `nng`.
//!
//! Each instance listens on one `pull` socket and dials one `push` socket to
//! each peer that it talks to. nng has threads of its own; they hand each
//! message to the loop through a bounded channel and do nothing else. A full
//! buffer on either side drops the message and counts it: messages between
//! instances may be lost, and the protocol repairs that.

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

/// Messages that wait for the loop before more are dropped.
const RECEIVE_QUEUE_LEN: usize = 16_384;

/// Messages that wait for one peer before more are dropped.
const SEND_QUEUE_LEN: i32 = 4_096;

/// Messages that nng buffers before the loop's channel.
const RECEIVE_BUFFER_LEN: i32 = 4_096;

/// The largest message, in bytes: a configuration chunk and some.
const MAX_MESSAGE_LEN: usize = 4 << 20;

const RECONNECT_MIN: Duration = Duration::from_millis(50);
const RECONNECT_MAX: Duration = Duration::from_millis(500);

/// Error of a link.
#[derive(Clone, Debug, displaydoc::Display, Eq, PartialEq)]
pub enum PeerError {
    /// cannot listen at {url}: {cause}
    Listen {
        /// The address.
        url: String,
        /// The cause.
        cause: String,
    },
    /// cannot dial {url}: {cause}
    Dial {
        /// The address.
        url: String,
        /// The cause.
        cause: String,
    },
    /// too many messages wait for {0}
    Full(String),
    /// cannot encode the message: {0}
    Encode(String),
}

impl std::error::Error for PeerError {}

/// Receives messages from all peers.
pub struct PeerListener {
    messages: mpsc::Receiver<Vec<u8>>,
    dropped: Arc<AtomicU64>,
    // Closing the socket stops nng's callbacks.
    _socket: Socket,
    _aio: Aio,
}

impl PeerListener {
    /// Listens for peers at a URL such as `tcp://127.0.0.1:7100`.
    ///
    /// # Errors
    ///
    /// When the address cannot be bound.
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

    /// Waits for the next message; a message that cannot be read is skipped.
    pub async fn next(&mut self) -> Option<Envelope> {
        use futures_util::StreamExt;
        loop {
            let bytes = self.messages.next().await?;
            match Envelope::from_bytes(&bytes) {
                Ok(envelope) => return Some(envelope),
                Err(err) => warn!("peer: {err}."),
            }
        }
    }

    /// Returns a message that is there already.
    pub fn try_next(&mut self) -> Option<Envelope> {
        loop {
            let bytes = self.messages.try_recv().ok()?;
            if let Ok(envelope) = Envelope::from_bytes(&bytes) {
                return Some(envelope);
            }
        }
    }

    /// Returns how many messages were dropped because the loop fell behind.
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

/// Sends messages to peers, by URL.
#[derive(Default)]
pub struct PeerSender {
    links: HashMap<String, Socket>,
    sent: u64,
    sent_bytes: u64,
    dropped: u64,
}

impl PeerSender {
    /// Queues a message for a peer and returns at once.
    ///
    /// # Errors
    ///
    /// When the address is malformed or too many messages wait; the message is
    /// dropped then.
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

    /// Closes the links to all peers but these.
    pub fn retain(&mut self, is_kept: impl Fn(&str) -> bool) {
        self.links.retain(|url, _| is_kept(url));
    }

    /// Returns the number of messages that were queued.
    pub fn sent(&self) -> u64 {
        self.sent
    }

    /// Returns the bytes of the messages that were queued.
    pub fn sent_bytes(&self) -> u64 {
        self.sent_bytes
    }

    /// Returns the number of messages that were dropped.
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
