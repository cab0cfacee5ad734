//! Termination by signals: the first asks for a graceful shutdown, the second ends the process.

use std::future::Future;

use tokio::signal::unix::{SignalKind, signal};
use tokio_util::sync::CancellationToken;

/// Tokens that tell all parts of a process to end.
#[derive(Debug, Clone, Default)]
pub struct Shutdown {
    /// Cancelled when no new work shall be taken and the work in flight shall be ended.
    pub graceful: CancellationToken,
    /// Cancelled when the process shall end at once.
    pub forced: CancellationToken,
}

impl Shutdown {
    /// Listens for SIGTERM and SIGINT from now on.
    ///
    /// # Errors
    /// When the signals can't be listened for.
    pub fn listen() -> std::io::Result<Self> {
        let tokens = Self::default();
        let mut terminate = signal(SignalKind::terminate())?;
        let mut interrupt = signal(SignalKind::interrupt())?;
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
