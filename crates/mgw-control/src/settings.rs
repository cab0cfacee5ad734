//! Settings of a control.

use std::net::SocketAddr;
use std::path::PathBuf;

use mgw_member::MemberSettings;
use mgw_peer::GroupFiles;
use mgw_quorum::Settings;
use mgw_settings::LogSettings;
use mgw_world::{Millis, NodeName, PlaceName, RegionName, VmName};
use serde::Deserialize;

/// Name and address of a control.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Peer {
    /// Name of the control.
    pub name: NodeName,
    /// Address at which it serves the calls of the system's own processes.
    pub address: SocketAddr,
}

/// Timeouts and the snapshot interval of the replicated log.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct QuorumSettings {
    /// Interval of the leader's heartbeats.
    pub heartbeat_ms: Millis,
    /// Lower bound of the randomized election timeout.
    pub election_min_ms: Millis,
    /// Upper bound of the randomized election timeout.
    pub election_max_ms: Millis,
    /// Number of applied entries after which the log is compacted into a snapshot.
    pub snapshot_entries: u64,
    /// Time within which a command must be committed or a read confirmed.
    pub commit_limit_ms: Millis,
}

impl Default for QuorumSettings {
    fn default() -> Self {
        let defaults = Settings::default();
        Self {
            heartbeat_ms: defaults.heartbeat_ms,
            election_min_ms: defaults.election_min_ms,
            election_max_ms: defaults.election_max_ms,
            snapshot_entries: 10_000,
            commit_limit_ms: Millis(4_000),
        }
    }
}

impl QuorumSettings {
    /// Converts to the settings of `mgw-quorum`.
    #[must_use]
    pub fn to_settings(&self) -> Settings {
        Settings {
            heartbeat_ms: self.heartbeat_ms,
            election_min_ms: self.election_min_ms,
            election_max_ms: self.election_max_ms,
            ..Settings::default()
        }
    }
}

/// Settings of a control.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ControlSettings {
    /// Name of the control.
    pub name: NodeName,
    /// Machine that the control runs on.
    pub vm: VmName,
    /// Availability zone of that machine.
    pub place: PlaceName,
    /// Region of that zone.
    pub region: RegionName,
    /// Address at which operators are served (HTTP).
    pub listen: SocketAddr,
    /// Address at which the system's own processes are served.
    pub peer_listen: SocketAddr,
    /// Folder that holds the replica's identity, log and snapshot.
    pub data: PathBuf,
    /// All controls, this one included.
    pub controls: Vec<Peer>,
    /// Certificate files with which the processes of the group authenticate one another; none for
    /// no TLS.
    #[serde(default)]
    pub group: Option<GroupFiles>,
    /// Settings of the replicated log.
    #[serde(default)]
    pub quorum: QuorumSettings,
    /// URL of this control for operators, as other processes show it; empty for none.
    #[serde(default)]
    pub url: String,
    /// Whether controls that aren't in these settings may join the group, named by their addresses.
    #[serde(default)]
    pub open_group: bool,
    /// How many machines of an open group may be lost at once with their disks: lost voters are removed only while
    /// twice as many and one more remain.
    #[serde(default = "default_tolerated_losses")]
    pub tolerated_losses: usize,
    /// Settings of the view of nodes and targets.
    #[serde(default)]
    pub members: MemberSettings,
    /// Settings of the log output.
    #[serde(default)]
    pub log: LogSettings,
}

const fn default_tolerated_losses() -> usize {
    1
}

impl ControlSettings {
    /// Address of the control of this name, if it is in the settings.
    #[must_use]
    pub fn address_of(&self, name: &str) -> Option<SocketAddr> {
        let peer = self.controls.iter().find(|peer| peer.name.as_str() == name);
        peer.map(|peer| peer.address)
    }
}
