//! Work that would keep the event loop busy for too long.

use std::panic::resume_unwind;

use tokio::task::spawn_blocking;

/// Runs work whose time grows with the size of its input on a thread of its own, so that the event
/// loop goes on meanwhile. A panic of the work is passed on.
pub async fn run_blocking<T: Send + 'static>(work: impl FnOnce() -> T + Send + 'static) -> T {
    match spawn_blocking(work).await {
        Ok(result) => result,
        Err(error) => match error.try_into_panic() {
            Ok(panic) => resume_unwind(panic),
            // The runtime is shutting down and drops this task as well.
            Err(_) => std::future::pending().await,
        },
    }
}
