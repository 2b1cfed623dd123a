//! Signals that the process answers for all of its life.
//!
//! The runtime gives a signal its default back once nothing waits for it, and
//! the default ends the process, with all its requests. The invariant: a signal
//! that is heard here never does that, also while the process stops.

use futures_channel::mpsc;

/// The number of the signal that tells of changed settings (POSIX).
const SIGHUP: i32 = 1;

/// The number of the signal that asks for a planned stop (POSIX).
const SIGTERM: i32 = 15;

/// What the process was told by signals. Those that come faster than they are
/// taken count once.
pub(crate) struct Signals {
    /// To stop as planned.
    pub(crate) stop: mpsc::Receiver<()>,
    /// That settings have changed.
    pub(crate) reload: mpsc::Receiver<()>,
}

impl Signals {
    /// Hears signals from now on, for ever: what is dropped is not told any
    /// more, and still ends nothing.
    pub(crate) fn install() -> Signals {
        Signals { stop: install(SIGTERM), reload: install(SIGHUP) }
    }
}

fn install(signal: i32) -> mpsc::Receiver<()> {
    let (mut tx, rx) = mpsc::channel(0);
    compio::runtime::spawn(listen(signal, move || {
        // A signal before this one has not been heard yet, or nothing hears.
        let _ = tx.try_send(());
    }))
    .detach();
    // Between two turns of a listener the other one holds the signal.
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
                // Not told is not the same as told to stop.
                std::future::pending::<()>().await;
            }
        }
    }
}
