//! Founding a group, once: refused when any control already holds a log.

use mgw_peer::{CallFailure, FoundingState, PeerPool};
use mgw_world::Millis;
use tokio::time::sleep;
use tracing::info;

use crate::settings::ControlSettings;

/// Time that a control gets to answer.
const ANSWER_LIMIT_MS: Millis = Millis(1000);
/// Pause before a control is asked again.
const AGAIN_MS: Millis = Millis(200);

/// Waits until every other control answered that its log is empty.
///
/// # Errors
/// Names the control that holds a log already.
pub async fn check_others_empty(settings: &ControlSettings, pool: &PeerPool) -> Result<(), String> {
    for peer in settings
        .controls
        .iter()
        .filter(|peer| peer.name != settings.name)
    {
        loop {
            let answer = pool
                .call(
                    peer.address,
                    ANSWER_LIMIT_MS,
                    |client, context| async move { client.founding(context).await },
                )
                .await;
            match answer {
                Ok(Ok(FoundingState { is_empty: true, .. })) => break,
                Ok(Ok(FoundingState { replica, .. })) => return Err(replica.to_string()),
                Ok(Err(_)) | Err(CallFailure::Refused(_)) => {}
                Err(_) => info!(control = %peer.name, "waiting for the control to answer"),
            }
            sleep(AGAIN_MS.to_duration()).await;
        }
    }
    Ok(())
}
