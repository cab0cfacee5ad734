//! Signals: the first to end asks for a graceful shutdown, the second ends the process; a hangup asks
//! for the settings to be read anew.

use std::future::Future;
use std::sync::Arc;

use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;
use tracing::info;

/// Tokens that tell all parts of a process to end.
#[derive(Debug, Clone, Default)]
pub struct Shutdown {
    /// Cancelled when no new work shall be taken and the work in flight shall be ended.
    pub graceful: CancellationToken,
    /// Cancelled when the process shall end at once.
    pub forced: CancellationToken,
    /// Notified when the settings shall be read anew.
    pub reload: Arc<Notify>,
}

impl Shutdown {
    /// Listens for SIGTERM, SIGINT and SIGHUP from now on.
    ///
    /// # Errors
    /// When the signals can't be listened for.
    pub fn listen() -> std::io::Result<Self> {
        let tokens = Self::default();
        let mut terminate = signal(SignalKind::terminate())?;
        let mut interrupt = signal(SignalKind::interrupt())?;
        let mut hangup = signal(SignalKind::hangup())?;
        let reload = Arc::clone(&tokens.reload);
        tokio::spawn(async move {
            while hangup.recv().await.is_some() {
                info!("asked to read the settings anew");
                reload.notify_waiters();
            }
        });
        let listening = tokens.clone();
        tokio::spawn(async move {
            for token in [listening.graceful, listening.forced] {
                tokio::select! {
                    _ = terminate.recv() => {}
                    _ = interrupt.recv() => {}
                }
                token.cancel();
            }
        });
        Ok(tokens)
    }

    /// Runs a future until it is ready or the process shall end at once.
    pub async fn unless_forced<F: Future>(&self, work: F) -> Option<F::Output> {
        self.forced.run_until_cancelled(work).await
    }
}
