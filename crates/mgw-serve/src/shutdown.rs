//! Signal handling: the first SIGTERM or SIGINT asks for a graceful shutdown, the second one ends the
//! process; SIGHUP asks for a reload of the settings.

use std::future::Future;
use std::sync::Arc;

use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;
use tracing::info;

/// Tokens that request all parts of a process to shut down or to reload the settings.
#[derive(Debug, Clone, Default)]
pub struct Shutdown {
    /// Cancelled when the process must accept no new work and finish the work in flight.
    pub graceful: CancellationToken,
    /// Cancelled when the process must end at once.
    pub forced: CancellationToken,
    /// Notified when the settings must be reloaded.
    pub reload: Arc<Notify>,
}

impl Shutdown {
    /// Starts to listen for SIGTERM, SIGINT and SIGHUP.
    ///
    /// # Errors
    /// When a signal handler can't be installed.
    pub fn listen() -> std::io::Result<Self> {
        let tokens = Self::default();
        let mut terminate = signal(SignalKind::terminate())?;
        let mut interrupt = signal(SignalKind::interrupt())?;
        let mut hangup = signal(SignalKind::hangup())?;
        let reload = Arc::clone(&tokens.reload);
        tokio::spawn(async move {
            while hangup.recv().await.is_some() {
                info!("SIGHUP received: reloading the settings");
                reload.notify_waiters();
            }
        });
        let tokens_to_cancel = tokens.clone();
        tokio::spawn(async move {
            for token in [tokens_to_cancel.graceful, tokens_to_cancel.forced] {
                tokio::select! {
                    _ = terminate.recv() => {}
                    _ = interrupt.recv() => {}
                }
                token.cancel();
            }
        });
        Ok(tokens)
    }

    /// Runs a future until it completes; returns `None` if the process must end at once before that.
    pub async fn unless_forced<F: Future>(&self, work: F) -> Option<F::Output> {
        self.forced.run_until_cancelled(work).await
    }
}
