//! Graceful shutdown at SIGTERM or SIGINT.

use tokio::signal::unix;
use tokio::sync::watch;

/// Returns a flag that becomes true at SIGTERM or SIGINT, and the task that sets it.
///
/// # Panics
///
/// Panics if the operating system refuses to register the signal handlers.
pub fn on_signal() -> (watch::Receiver<bool>, tokio::task::JoinHandle<()>) {
    let (tx, rx) = watch::channel(false);
    let mut term = unix::signal(unix::SignalKind::terminate()).expect("SIGTERM can be caught");
    let mut int = unix::signal(unix::SignalKind::interrupt()).expect("SIGINT can be caught");
    let task = tokio::spawn(async move {
        tokio::select! {
            _ = term.recv() => {}
            _ = int.recv() => {}
        }
        tx.send_replace(true);
    });
    (rx, task)
}

/// Waits until the flag is true or its sender is dropped.
pub async fn requested(mut stop: watch::Receiver<bool>) {
    let _ = stop.wait_for(|stop| *stop).await;
}
