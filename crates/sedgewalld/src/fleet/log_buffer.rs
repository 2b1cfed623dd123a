//! Structured log lines on standard output that never wait for the reader.
//!
//! Lines go into a bounded buffer, and the event loop writes as much of it as
//! the reader accepts. When the buffer is full, lines are dropped and counted.

use std::{
    io::{self, Write},
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use rustix::event::{PollFd, PollFlags, Timespec, poll};
use sedgewall_protocol::settings::LogLevel;
use tracing_subscriber::{filter::LevelFilter, fmt::MakeWriter};

/// The capacity of the buffer in bytes; some 1,000 lines.
const BUFFER_BYTES: usize = 256 << 10;

/// The number of bytes that a writable pipe takes without blocking (POSIX
/// `PIPE_BUF` on Linux).
const CHUNK_BYTES: usize = 4_096;

/// The interval between writes. One write carries many lines.
const FLUSH_EVERY: Duration = Duration::from_millis(200);

#[derive(Debug, Default)]
struct Buffer {
    bytes: Vec<u8>,
    dropped: u64,
}

/// The buffer for all log lines.
#[derive(Clone, Debug, Default)]
pub(crate) struct LogBuffer(Arc<Mutex<Buffer>>);

/// A writer that appends log lines to the buffer.
pub(crate) struct LineWriter(Arc<Mutex<Buffer>>);

impl Write for LineWriter {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let mut buffer = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if buffer.bytes.len() + line.len() > BUFFER_BYTES {
            buffer.dropped += 1;
        } else {
            buffer.bytes.extend_from_slice(line);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl<'a> MakeWriter<'a> for LogBuffer {
    type Writer = LineWriter;

    fn make_writer(&'a self) -> LineWriter {
        LineWriter(self.0.clone())
    }
}

impl LogBuffer {
    /// Installs a new buffer as the global log subscriber's output.
    pub(crate) fn install(level: &str) -> LogBuffer {
        let buffer = LogBuffer::default();
        let filter = match level.parse() {
            Ok(LogLevel::Error) => LevelFilter::ERROR,
            Ok(LogLevel::Warn) => LevelFilter::WARN,
            Ok(LogLevel::Debug) => LevelFilter::DEBUG,
            Ok(LogLevel::Info) | Err(()) => LevelFilter::INFO,
        };
        // Fails if a global subscriber is already set, which then stays.
        let _ = tracing::subscriber::set_global_default(
            tracing_subscriber::fmt()
                .json()
                .flatten_event(true)
                .with_target(false)
                .with_current_span(false)
                .with_span_list(false)
                .with_max_level(filter)
                .with_writer(buffer.clone())
                .finish(),
        );
        buffer
    }

    /// Writes out buffered lines periodically. Never returns.
    pub(crate) async fn run(self) {
        loop {
            compio::time::sleep(FLUSH_EVERY).await;
            self.flush();
        }
    }

    /// Writes as much of the buffer as the reader accepts now.
    pub(crate) fn flush(&self) {
        let mut buffer = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if buffer.dropped > 0 {
            let line = format!(
                "{{\"level\":\"WARN\",\"event\":\"log_dropped\",\"lines\":{}}}\n",
                buffer.dropped
            );
            buffer.bytes.extend_from_slice(line.as_bytes());
            buffer.dropped = 0;
        }
        let mut written = 0;
        while written < buffer.bytes.len() && is_writable() {
            let end = buffer.bytes.len().min(written + CHUNK_BYTES);
            match io::stdout().write(&buffer.bytes[written..end]) {
                Ok(0) => break,
                Ok(len) => written += len,
                // The reader is gone, and there is nowhere to report that.
                Err(_) => {
                    written = buffer.bytes.len();
                    break;
                }
            }
        }
        buffer.bytes.drain(..written);
        // Standard output is line-buffered; this writes an incomplete last
        // line.
        let _ = io::stdout().flush();
    }
}

fn is_writable() -> bool {
    let stdout = rustix::stdio::stdout();
    let mut fds = [PollFd::new(&stdout, PollFlags::OUT)];
    let at_once = Timespec { tv_sec: 0, tv_nsec: 0 };
    matches!(poll(&mut fds, Some(&at_once)), Ok(1))
}
