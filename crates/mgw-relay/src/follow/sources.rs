//! Chooses the control from which a newer routing document is fetched.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use mgw_world::{Millis, RoutingVersion};

/// How long a control from which no document could be fetched ranks behind those that haven't
/// failed.
const FAILURE_PENALTY_MS: Millis = Millis(1_000);

/// A control and the version of the routing document that it has.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RoutingSource {
    /// Peer address of the control.
    pub control: SocketAddr,
    /// Version of the control's document.
    pub version: RoutingVersion,
}

#[derive(Debug, Clone, Copy)]
struct SourceState {
    version: RoutingVersion,
    failed_at: Option<Millis>,
}

/// The versions that controls have. A control that can't be reached stays in the list: a control
/// reports a version only once, and it may be the only one that can be reached after a partition.
#[derive(Debug, Default)]
pub struct RoutingSources {
    sources: BTreeMap<SocketAddr, SourceState>,
}

impl RoutingSources {
    /// Records the version that a control has.
    pub fn record_version(&mut self, control: SocketAddr, version: RoutingVersion) {
        let state = SourceState {
            version,
            failed_at: None,
        };
        self.sources.insert(control, state);
    }

    /// Records that a control which reported a version has only an older one. A report that came in
    /// meanwhile stays.
    pub fn correct_version(&mut self, reported: RoutingSource, actual: RoutingVersion) {
        if let Some(state) = self.sources.get_mut(&reported.control)
            && state.version == reported.version
        {
            state.version = actual;
        }
    }

    /// Highest version that any control has; zero while none is known.
    #[must_use]
    pub fn newest_version(&self) -> RoutingVersion {
        let versions = self.sources.values().map(|state| state.version);
        versions.max().unwrap_or_default()
    }

    /// Records that no document could be fetched from a control.
    pub fn record_failure(&mut self, control: SocketAddr, now: Millis) {
        if let Some(state) = self.sources.get_mut(&control) {
            state.failed_at = Some(now);
        }
    }

    /// The control from which to fetch a document newer than `current`. Controls that haven't
    /// failed recently come first, then the highest version, then those in the same zone.
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
