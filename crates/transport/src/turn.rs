//! The turn of a connection's task in the event loop.
//!
//! A parser reads for as long as bytes arrive, so that a peer which sends faster
//! than it is read would keep its task running, and no other task or timer would
//! ever run. The invariant: a task reads a bounded number of bytes in a turn,
//! whatever it reads them for, and then waits until all other tasks that are
//! ready have had theirs.

use std::{
    cell::{Cell, RefCell},
    future::{Future, poll_fn},
    io,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
};

use compio::net::TcpStream;
use cyper_core::HyperStream;
use hyper::rt::{ReadBufCursor, Write};

/// The number of bytes that a connection may read in a turn.
const MAX_TURN_LEN: usize = 64 << 10;

/// The number of bytes that a read counts for at least, as short reads take
/// time too.
const MIN_READ_COST: usize = 512;

/// The size of the buffer through which bytes pass to the parser.
pub(crate) const READ_BUF_LEN: usize = 16 << 10;

thread_local! {
    /// The buffer through which bytes pass. hyper's own cannot be seen without
    /// unsafe code.
    static READ_BUF: RefCell<Vec<u8>> = RefCell::new(vec![0; READ_BUF_LEN]);
}

/// What a connection may still read in the current turn of its task.
#[derive(Debug, Default)]
pub(crate) struct Turn {
    left: Cell<usize>,
}

impl Turn {
    /// Polls the future that drives the connection, in turns.
    pub(crate) async fn drive<F: Future>(
        self: Rc<Turn>,
        future: F,
    ) -> F::Output {
        let mut future = Box::pin(future);
        poll_fn(|cx| {
            self.begin();
            future.as_mut().poll(cx)
        })
        .await
    }

    /// Begins the next turn.
    pub(crate) fn begin(&self) {
        self.left.set(MAX_TURN_LEN);
    }

    /// Returns how many bytes may be read now. If none, the task is woken for
    /// its next turn.
    fn poll_left(&self, cx: &mut Context<'_>) -> Poll<usize> {
        match self.left.get() {
            0 => {
                cx.waker().wake_by_ref();
                Poll::Pending
            }
            left => Poll::Ready(left),
        }
    }

    fn record_read(&self, len: usize) {
        let cost = len.max(MIN_READ_COST);
        self.left.set(self.left.get().saturating_sub(cost));
    }
}

/// A stream that reads a bounded number of bytes in a turn of its task.
pub(crate) struct TurnStream {
    inner: HyperStream<TcpStream>,
    turn: Rc<Turn>,
}

/// The outcome of a read that did not fail.
pub(crate) enum Read<T> {
    /// The stream has nothing for now.
    Empty,
    /// The turn is over, and the stream may have more.
    TurnOver,
    /// What the observer returned for the bytes that were read.
    Done(T),
}

impl TurnStream {
    pub(crate) fn new(stream: TcpStream, turn: Rc<Turn>) -> TurnStream {
        TurnStream { inner: HyperStream::new_plain(stream), turn }
    }

    /// Reads into `buf`, and has `observe` look at the bytes. They are handed
    /// over unless it fails.
    pub(crate) fn poll_read_observed<T>(
        &mut self,
        cx: &mut Context<'_>,
        buf: &mut ReadBufCursor<'_>,
        observe: impl FnOnce(&[u8]) -> io::Result<T>,
    ) -> io::Result<Read<T>> {
        let Poll::Ready(left) = self.turn.poll_left(cx) else {
            return Ok(Read::TurnOver);
        };
        READ_BUF.with_borrow_mut(|bytes| {
            let len = bytes.len().min(buf.remaining()).min(left);
            let bytes = &mut bytes[..len];
            let inner = Pin::new(&mut self.inner);
            let read = futures_util::AsyncRead::poll_read(inner, cx, bytes);
            let Poll::Ready(read_len) = read? else {
                return Ok(Read::Empty);
            };
            self.turn.record_read(read_len);
            let observed = observe(&bytes[..read_len])?;
            buf.put_slice(&bytes[..read_len]);
            Ok(Read::Done(observed))
        })
    }
}

impl Write for TurnStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Write::poll_write(Pin::new(&mut self.inner), cx, buf)
    }

    fn poll_flush(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<io::Result<()>> {
        Write::poll_flush(Pin::new(&mut self.inner), cx)
    }

    fn poll_shutdown(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<io::Result<()>> {
        Write::poll_shutdown(Pin::new(&mut self.inner), cx)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Write::poll_write_vectored(Pin::new(&mut self.inner), cx, bufs)
    }
}
