//! A response body that need not leave its thread.

use std::{
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use futures_util::Stream;
use hyper::body::{Body, Frame, SizeHint};

/// The chunks of a streamed body. An error cuts the connection, which tells
/// the reader that the body is not whole.
pub type ChunkStream =
    Pin<Box<dyn Stream<Item = Result<Bytes, std::io::Error>>>>;

/// A body that is whole, or comes in chunks.
pub enum LocalBody {
    /// All bytes at once.
    Full(Option<Bytes>),
    /// Chunks as they come.
    Chunks(ChunkStream),
}

impl LocalBody {
    /// Returns a body of these bytes.
    pub fn full(bytes: impl Into<Bytes>) -> LocalBody {
        LocalBody::Full(Some(bytes.into()))
    }

    /// Returns a body without bytes.
    pub fn empty() -> LocalBody {
        LocalBody::Full(None)
    }

    /// Returns a body of the chunks of a stream.
    pub fn chunks(
        stream: impl Stream<Item = Result<Bytes, std::io::Error>> + 'static,
    ) -> LocalBody {
        LocalBody::Chunks(Box::pin(stream))
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
