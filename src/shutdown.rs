//! The signals that ask a daemon to end.

use tokio::signal::unix;
use tokio::sync::watch;

/// Returns a receiver that turns true at the first SIGTERM or SIGINT.
///
/// Must be called within a tokio runtime. The task that waits for the signals ends with it.
pub fn signalled() -> watch::Receiver<bool> {
    let (tx, rx) = watch::channel(false);
    tokio::spawn(async move {
        wait_for_signal().await;
        tx.send_replace(true);
        std::future::pending::<()>().await;
    });
    rx
}

async fn wait_for_signal() {
    let streams = (
        unix::signal(unix::SignalKind::terminate()),
        unix::signal(unix::SignalKind::interrupt()),
    );
    match streams {
        (Ok(mut terminate), Ok(mut interrupt)) => {
            tokio::select! {
                _ = terminate.recv() => {}
                _ = interrupt.recv() => {}
            }
        }
        _ => std::future::pending().await,
    }
}
