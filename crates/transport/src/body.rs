//! A response body that does not have to be `Send`.

use std::{
    future, io,
    pin::Pin,
    task::{Context, Poll},
    time::Duration,
};

use bytes::{Bytes, BytesMut};
use futures_util::{FutureExt, Stream, StreamExt, select_biased, stream};
use hyper::body::{Body, Frame, SizeHint};

use crate::server::yield_now;

/// The chunks of a streamed body.
///
/// An error closes the connection before the end of the body, which tells the
/// reader that the body is incomplete.
pub type ChunkStream =
    Pin<Box<dyn Stream<Item = Result<Bytes, std::io::Error>>>>;

/// A response body, either complete in memory or streamed in chunks.
pub enum LocalBody {
    /// The complete body; `None` once it was sent, or for
    /// [`LocalBody::empty`].
    Full(Option<Bytes>),
    /// Chunks, sent as the stream yields them.
    Chunks(ChunkStream),
}

impl LocalBody {
    /// Returns a body that consists of `bytes`.
    pub fn full(bytes: impl Into<Bytes>) -> LocalBody {
        LocalBody::Full(Some(bytes.into()))
    }

    /// Returns an empty body.
    pub fn empty() -> LocalBody {
        LocalBody::Full(None)
    }

    /// Returns a body that sends the chunks of `stream`.
    pub fn chunks(
        stream: impl Stream<Item = Result<Bytes, std::io::Error>> + 'static,
    ) -> LocalBody {
        LocalBody::Chunks(Box::pin(stream))
    }

    /// Waits for the first chunk of a streamed body if it has arrived, and as
    /// long as `may_wait` returns true. The returned body still has that chunk.
    ///
    /// # Errors
    ///
    /// Returns the error if the body fails before its first chunk.
    pub async fn begin(
        self,
        mut may_wait: impl FnMut() -> bool,
    ) -> io::Result<LocalBody> {
        let LocalBody::Chunks(mut chunks) = self else { return Ok(self) };
        let mut limit: Pin<Box<dyn Future<Output = ()>>> =
            Box::pin(yield_turns());
        loop {
            let first = select_biased! {
                first = chunks.next().fuse() => first,
                () = limit.as_mut().fuse() => {
                    if !may_wait() {
                        return Ok(LocalBody::Chunks(chunks));
                    }
                    limit = Box::pin(compio::time::sleep(CHECK_INTERVAL));
                    continue;
                }
            };
            let Some(first) = first else { return Ok(LocalBody::empty()) };
            let first = stream::once(future::ready(Ok(first?)));
            return Ok(LocalBody::chunks(first.chain(chunks)));
        }
    }
}

/// The turns of the event loop in which a chunk that has arrived reaches its
/// body, through the tasks of the connections that it comes from.
const ARRIVAL_TURNS: u32 = 8;

/// The interval at which a body that may wait for its first chunk is checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

async fn yield_turns() {
    for _ in 0..ARRIVAL_TURNS {
        yield_now().await;
    }
}

impl Body for LocalBody {
    type Data = Bytes;
    type Error = std::io::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, std::io::Error>>> {
        match self.get_mut() {
            LocalBody::Full(bytes) => {
                Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes))))
            }
            LocalBody::Chunks(stream) => stream
                .as_mut()
                .poll_next(cx)
                .map(|item| item.map(|chunk| chunk.map(Frame::data))),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, LocalBody::Full(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            LocalBody::Full(bytes) => {
                let len = bytes.as_ref().map_or(0, Bytes::len);
                SizeHint::with_exact(len as u64)
            }
            LocalBody::Chunks(_) => SizeHint::default(),
        }
    }
}

/// The size of the blocks in which a body is collected.
const BLOCK_LEN: usize = 16 << 10;

/// The parts of a body that is read to its end.
///
/// Parts behind the first one are copied into blocks, because they may be shorter
/// than what it takes to keep them, and may keep a longer buffer.
#[derive(Debug, Default)]
pub struct Collected {
    first: Bytes,
    blocks: Vec<BytesMut>,
    len: usize,
}

impl Collected {
    /// Appends a part.
    pub fn push(&mut self, part: Bytes) {
        if self.is_empty() {
            self.len = part.len();
            self.first = part;
            return;
        }
        self.len += part.len();
        let first = std::mem::take(&mut self.first);
        self.copy(&first);
        self.copy(&part);
    }

    fn copy(&mut self, mut part: &[u8]) {
        while !part.is_empty() {
            let block = match self.blocks.last_mut() {
                Some(block) if block.len() < BLOCK_LEN => block,
                _ => {
                    self.blocks.push(BytesMut::with_capacity(BLOCK_LEN));
                    continue;
                }
            };
            let room = BLOCK_LEN - block.len();
            let (fits, rest) = part.split_at(room.min(part.len()));
            block.extend_from_slice(fits);
            part = rest;
        }
    }

    /// Returns the number of bytes.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns whether there are no bytes.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Returns the body.
    pub fn into_bytes(self) -> Bytes {
        if self.blocks.is_empty() {
            return self.first;
        }
        let mut joined = BytesMut::with_capacity(self.len);
        for block in self.blocks {
            joined.extend_from_slice(&block);
        }
        joined.freeze()
    }
}
