//! Which control a newer routing document is fetched from.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use mgw_world::{Millis, RoutingVersion};

/// How long a control that gave no document stands behind those that haven't failed.
const FAILURE_PENALTY_MS: Millis = Millis(1_000);

/// A control with a version that it holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RoutingSource {
    /// The control.
    pub control: SocketAddr,
    /// Version held there.
    pub version: RoutingVersion,
}

#[derive(Debug, Clone, Copy)]
struct SourceState {
    version: RoutingVersion,
    failed_at: Option<Millis>,
}

/// Versions that controls hold. A control that can't be reached stays listed: it is told only once
/// which version it holds, and may be the only one that is heard again after a partition.
#[derive(Debug, Default)]
pub struct RoutingSources {
    sources: BTreeMap<SocketAddr, SourceState>,
}

impl RoutingSources {
    /// Notes the version that a control holds.
    pub fn record_version(&mut self, control: SocketAddr, version: RoutingVersion) {
        let state = SourceState {
            version,
            failed_at: None,
        };
        self.sources.insert(control, state);
    }

    /// Notes that a control gave no document.
    pub fn record_failure(&mut self, control: SocketAddr, now: Millis) {
        if let Some(state) = self.sources.get_mut(&control) {
            state.failed_at = Some(now);
        }
    }

    /// The control to fetch a document newer than `have` from: one that hasn't failed lately before
    /// all others, then the highest version, then one that is near.
    #[must_use]
    pub fn choose(
        &self,
        current: RoutingVersion,
        same_zone: &[SocketAddr],
        now: Millis,
    ) -> Option<RoutingSource> {
        let newer = self
            .sources
            .iter()
            .filter(|(_, state)| state.version > current);
        let (control, state) = newer.max_by_key(|(control, state)| {
            let is_healthy = state
                .failed_at
                .is_none_or(|at| now - at >= FAILURE_PENALTY_MS);
            (is_healthy, state.version, same_zone.contains(control))
        })?;
        Some(RoutingSource {
            control: *control,
            version: state.version,
        })
    }
}
