//! The byte stream of a connection to an endpoint.
//!
//! It tells the end of a connection from a failure, because the body of a
//! response may end with its connection. The kernel reports a reset to one
//! call only: if that is a write, the reads after it return the bytes that have
//! arrived, and then an end as if the endpoint had closed the connection. The
//! invariant: a read finds an end only if the endpoint has closed its side.

use std::{
    cell::Cell,
    io::{self, ErrorKind},
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
};

use hyper::rt::{Read, ReadBufCursor, Write};

use crate::turn::{self, TurnStream};

/// The number of bytes that an endpoint may send without a response head or a
/// part of a body in them, such as interim responses or the framing of chunks.
/// More than a connection buffers ahead of what its user takes.
const MAX_OVERHEAD_LEN: usize = 2 << 20;

/// What a connection has read since its user was given anything.
#[derive(Debug, Default)]
pub(crate) struct Overhead {
    len: Cell<usize>,
    is_exceeded: Cell<bool>,
}

impl Overhead {
    fn record_read(&self, len: usize) -> io::Result<()> {
        self.len.set(self.len.get() + len);
        if self.len.get() <= MAX_OVERHEAD_LEN {
            return Ok(());
        }
        self.is_exceeded.set(true);
        Err(io::Error::other(Overhead::cause()))
    }

    /// Records that the user of the connection was given a head or a part of a
    /// body.
    pub(crate) fn reset(&self) {
        self.len.set(0);
    }

    /// Returns whether the connection has failed because of its overhead.
    pub(crate) fn is_exceeded(&self) -> bool {
        self.is_exceeded.get()
    }

    pub(crate) fn cause() -> String {
        format!("{MAX_OVERHEAD_LEN} bytes without a head or a part of a body")
    }
}

/// The stream of a connection to an endpoint.
pub(crate) struct EndpointStream {
    inner: TurnStream,
    overhead: Rc<Overhead>,
    /// The kind of the first error of a write.
    write_failure: Option<ErrorKind>,
}

impl EndpointStream {
    pub(crate) fn new(
        inner: TurnStream,
        overhead: Rc<Overhead>,
    ) -> EndpointStream {
        EndpointStream { inner, overhead, write_failure: None }
    }

    fn record_write<T>(
        &mut self,
        written: Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        if let Poll::Ready(Err(err)) = &written {
            self.write_failure.get_or_insert(err.kind());
        }
        written
    }

    /// Returns an error if the connection has not ended by the endpoint's
    /// close, although a read has found an end.
    fn check_end(&mut self, cx: &mut Context<'_>) -> io::Result<()> {
        if self.write_failure.is_none() {
            // A write may have failed whose outcome nobody has asked for yet.
            let _ = Pin::new(&mut *self).poll_flush(cx);
        }
        match self.write_failure {
            // A write after the endpoint's close fails with a broken pipe, also
            // if a reset followed the close.
            None | Some(ErrorKind::BrokenPipe) => Ok(()),
            Some(kind) => Err(kind.into()),
        }
    }
}

impl Read for EndpointStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let stream = self.get_mut();
        let overhead = &stream.overhead;
        let read = stream.inner.poll_read_observed(cx, &mut buf, |bytes| {
            overhead.record_read(bytes.len())?;
            Ok(bytes.is_empty())
        })?;
        match read {
            turn::Read::Done(is_end) => {
                if is_end {
                    stream.check_end(cx)?;
                }
                Poll::Ready(Ok(()))
            }
            turn::Read::Empty | turn::Read::TurnOver => Poll::Pending,
        }
    }
}

impl Write for EndpointStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.inner).poll_write(cx, buf);
        self.record_write(written)
    }

    fn poll_flush(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<io::Result<()>> {
        let flushed = Pin::new(&mut self.inner).poll_flush(cx);
        self.record_write(flushed)
    }

    fn poll_shutdown(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.inner).poll_write_vectored(cx, bufs);
        self.record_write(written)
    }
}
