//! Polling with generous limits. No test asserts how long something took.

use std::future::Future;
use std::time::Duration;

const MAX_POLLS: u32 = 1_200;
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Polls until `poll` returns a value; panics after `MAX_POLLS` attempts.
pub async fn wait_for_some<T, F: Future<Output = Option<T>>>(
    what: &str,
    mut poll: impl FnMut() -> F,
) -> T {
    for _ in 0..MAX_POLLS {
        if let Some(value) = poll().await {
            return value;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    panic!("not seen: {what}");
}

/// Polls until a condition is true; panics after `MAX_POLLS` attempts.
pub async fn wait_for<F: Future<Output = bool>>(what: &str, mut poll: impl FnMut() -> F) {
    wait_for_some(what, || {
        let polled = poll();
        async { polled.await.then_some(()) }
    })
    .await;
}
