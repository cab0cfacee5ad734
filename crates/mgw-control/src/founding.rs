//! Check before a group is founded: refused when another control already has a log.

use mgw_peer::{CallFailure, FoundingState, PeerPool};
use mgw_world::Millis;
use tokio::time::sleep;
use tracing::info;

use crate::settings::ControlSettings;

/// Timeout of a call to another control.
const RESPONSE_TIMEOUT_MS: Millis = Millis(1000);
/// Pause before a control is called again.
const RETRY_PAUSE_MS: Millis = Millis(200);

/// Waits until every other control has responded that its log is empty.
///
/// # Errors
/// Returns the replica identity of the first control that already has a log.
pub async fn check_other_logs_empty(
    settings: &ControlSettings,
    pool: &PeerPool,
) -> Result<(), String> {
    for peer in settings
        .controls
        .iter()
        .filter(|peer| peer.name != settings.name)
    {
        loop {
            let response = pool
                .call(
                    peer.address,
                    RESPONSE_TIMEOUT_MS,
                    |client, context| async move { client.founding(context).await },
                )
                .await;
            match response {
                Ok(Ok(FoundingState { is_empty: true, .. })) => break,
                Ok(Ok(FoundingState { replica, .. })) => return Err(replica.to_string()),
                Ok(Err(_)) | Err(CallFailure::Refused(_)) => {}
                Err(_) => info!(control = %peer.name, "waiting for the control to respond"),
            }
            sleep(RETRY_PAUSE_MS.to_duration()).await;
        }
    }
    Ok(())
}
