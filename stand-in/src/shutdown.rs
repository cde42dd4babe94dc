//! Waits for the signal that ends a process.

use tokio::signal::unix;
use tokio::sync::watch;

/// Returns a flag that turns true, and the task that turns it at SIGTERM or SIGINT.
///
/// # Panics
///
/// If the operating system refuses to register the signals.
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

/// Returns once the flag is true or its sender is gone.
pub async fn requested(mut stop: watch::Receiver<bool>) {
    let _ = stop.wait_for(|stop| *stop).await;
}
