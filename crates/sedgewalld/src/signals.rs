//! Signal handlers that stay installed for the lifetime of the process.
//!
//! The runtime restores a signal's default action once no task waits for the
//! signal, and the default action ends the process with all its requests.
//! Invariant: a signal that is handled here never does that, not even while
//! the process stops.

use futures_channel::mpsc;

/// The number of SIGHUP (POSIX), by convention a request to reload settings;
/// the daemon only logs it.
const SIGHUP: i32 = 1;

/// The number of the signal that requests a graceful stop (POSIX).
const SIGTERM: i32 = 15;

/// The signals that were received. Those that arrive faster than they are read
/// count once.
pub(crate) struct Signals {
    /// Requests for a graceful stop.
    pub(crate) stop: mpsc::Receiver<()>,
    /// Requests to reload the settings, which the daemon only logs.
    pub(crate) reload: mpsc::Receiver<()>,
}

impl Signals {
    /// Installs the handlers for the lifetime of the process.
    ///
    /// Once a receiver is dropped, its signals are no longer reported, and
    /// still do not end the process.
    pub(crate) fn install() -> Signals {
        Signals { stop: install(SIGTERM), reload: install(SIGHUP) }
    }
}

fn install(signal: i32) -> mpsc::Receiver<()> {
    let (mut tx, rx) = mpsc::channel(0);
    compio::runtime::spawn(listen(signal, move || {
        // The channel is full as an earlier signal was not read yet, or the
        // receiver was dropped.
        let _ = tx.try_send(());
    }))
    .detach();
    // Between two waits of one listener the other one keeps the signal's
    // handler installed.
    compio::runtime::spawn(listen(signal, || {})).detach();
    rx
}

async fn listen(signal: i32, mut act: impl FnMut()) {
    loop {
        match compio::signal::unix::signal(signal).await {
            Ok(()) => act(),
            Err(err) => {
                let cause = err.to_string();
                tracing::error!(event = "signal_not_heard", signal, cause);
                // A handler that failed to install must not count as a
                // received signal.
                std::future::pending::<()>().await;
            }
        }
    }
}
