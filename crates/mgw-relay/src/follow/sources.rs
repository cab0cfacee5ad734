//! Which control a newer routing document is fetched from.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use mgw_world::{Millis, RoutingVersion};

/// How long a control that gave no document stands behind those that haven't failed.
const FAILED_MS: Millis = Millis(1_000);

/// A control with a version that it holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RoutingSource {
    /// The control.
    pub control: SocketAddr,
    /// Version held there.
    pub version: RoutingVersion,
}

#[derive(Debug, Clone, Copy)]
struct Held {
    version: RoutingVersion,
    failed_at: Option<Millis>,
}

/// Versions that controls hold. A control that can't be reached stays listed: it is told only once
/// which version it holds, and may be the only one that is heard again after a partition.
#[derive(Debug, Default)]
pub struct RoutingSources {
    held: BTreeMap<SocketAddr, Held>,
}

impl RoutingSources {
    /// Notes the version that a control holds.
    pub fn hear(&mut self, control: SocketAddr, version: RoutingVersion) {
        let held = Held {
            version,
            failed_at: None,
        };
        self.held.insert(control, held);
    }

    /// Notes that a control gave no document.
    pub fn note_failure(&mut self, control: SocketAddr, now: Millis) {
        if let Some(held) = self.held.get_mut(&control) {
            held.failed_at = Some(now);
        }
    }

    /// The control to fetch a document newer than `have` from: one that hasn't failed lately before
    /// all others, then the highest version, then one that is near.
    #[must_use]
    pub fn choose(
        &self,
        have: RoutingVersion,
        near: &[SocketAddr],
        now: Millis,
    ) -> Option<RoutingSource> {
        let newer = self.held.iter().filter(|(_, held)| held.version > have);
        let (control, held) = newer.max_by_key(|(control, held)| {
            let is_sound = held.failed_at.is_none_or(|at| now - at >= FAILED_MS);
            (is_sound, held.version, near.contains(control))
        })?;
        Some(RoutingSource {
            control: *control,
            version: held.version,
        })
    }
}
