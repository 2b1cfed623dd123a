//! Signal handlers that stay installed for the lifetime of the process.
//!
//! A handler runs in whatever thread the kernel picks, in the middle of
//! whatever that thread does, so that it only writes to a pipe, which the event
//! loop reads. Invariant: a signal that is handled here never ends the process,
//! not even while it stops or starts a thread; the exception is a second
//! interrupt from a terminal.

use std::{
    io,
    sync::{Arc, atomic::AtomicBool},
};

use compio::runtime::fd::PollFd;
use futures_channel::mpsc;
use rustix::{
    io::Errno,
    pipe::{PipeFlags, pipe_with},
};
use signal_hook::{
    consts::{SIGHUP, SIGINT, SIGTERM},
    flag,
    low_level::pipe,
};

/// The number of notifications that are read from a pipe at once.
const READ_LEN: usize = 64;

/// The signals that were received. Those that arrive faster than they are read
/// count once.
pub(crate) struct Signals {
    /// Requests for a graceful stop: SIGTERM and SIGINT.
    pub(crate) stop: mpsc::Receiver<()>,
    /// Requests to reload the settings, which the daemon only logs: SIGHUP, by
    /// convention.
    pub(crate) reload: mpsc::Receiver<()>,
}

impl Signals {
    /// Installs the handlers for the lifetime of the process.
    ///
    /// Once a receiver is dropped, its signals are no longer reported, and
    /// still do not end the process.
    ///
    /// # Errors
    ///
    /// If a pipe cannot be created or a handler cannot be installed.
    pub(crate) fn install() -> io::Result<Signals> {
        // A second interrupt has the default action.
        let is_interrupted = Arc::new(AtomicBool::new(false));
        flag::register_conditional_default(SIGINT, is_interrupted.clone())?;
        flag::register(SIGINT, is_interrupted)?;
        let stop = install(&[SIGTERM, SIGINT])?;
        let reload = install(&[SIGHUP])?;
        Ok(Signals { stop, reload })
    }
}

fn install(signals: &[i32]) -> io::Result<mpsc::Receiver<()>> {
    let (mut tx, rx) = mpsc::channel(0);
    let flags = PipeFlags::CLOEXEC | PipeFlags::NONBLOCK;
    let (reader, writer) = pipe_with(flags)?;
    for signal in signals {
        pipe::register(*signal, writer.try_clone()?)?;
    }
    let reader = PollFd::new(reader)?;
    compio::runtime::spawn(async move {
        loop {
            if let Err(err) = read(&reader).await {
                let cause = err.to_string();
                tracing::error!(event = "signal_not_heard", cause);
                return;
            }
            // The channel is full as an earlier signal was not read yet, or
            // the receiver was dropped.
            let _ = tx.try_send(());
        }
    })
    .detach();
    Ok(rx)
}

/// Waits for notifications, and reads those that have come.
async fn read(reader: &PollFd<std::os::fd::OwnedFd>) -> io::Result<()> {
    loop {
        match rustix::io::read(&**reader, &mut [0; READ_LEN]) {
            Ok(_) => return Ok(()),
            Err(Errno::AGAIN) => reader.read_ready().await?,
            Err(Errno::INTR) => {}
            Err(err) => return Err(err.into()),
        }
    }
}
