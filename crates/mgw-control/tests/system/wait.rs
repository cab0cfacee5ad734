//! Polling with generous limits; no test asserts how long something took.

use std::future::Future;
use std::time::Duration;

const LOOKS: u32 = 1_200;
const PAUSE: Duration = Duration::from_millis(50);

/// Polls until there is a value.
pub async fn wait_some<T, F: Future<Output = Option<T>>>(
    what: &str,
    mut look: impl FnMut() -> F,
) -> T {
    for _ in 0..LOOKS {
        if let Some(value) = look().await {
            return value;
        }
        tokio::time::sleep(PAUSE).await;
    }
    panic!("not seen: {what}");
}

/// Polls until something holds.
pub async fn wait_for<F: Future<Output = bool>>(what: &str, mut look: impl FnMut() -> F) {
    wait_some(what, || {
        let looked = look();
        async { looked.await.then_some(()) }
    })
    .await;
}
