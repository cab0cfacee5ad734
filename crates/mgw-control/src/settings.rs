//! Settings of a control.

use std::net::SocketAddr;
use std::path::PathBuf;

use mgw_member::MemberSettings;
use mgw_peer::GroupFiles;
use mgw_quorum::Settings;
use mgw_settings::LogSettings;
use mgw_world::{Millis, NodeName, PlaceName, RegionName, VmName};
use serde::Deserialize;

/// Another process of the system.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Peer {
    /// Its name.
    pub name: NodeName,
    /// Where it takes calls of the system's own processes.
    pub address: SocketAddr,
}

/// Timeouts and sizes of the replicated log.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct QuorumSettings {
    /// Time between two heartbeats of a leader.
    pub heartbeat_ms: Millis,
    /// Shortest time without a leader before an election.
    pub election_min_ms: Millis,
    /// Longest time without a leader before an election.
    pub election_max_ms: Millis,
    /// Entries after which the log is replaced by a snapshot.
    pub snapshot_entries: u64,
    /// Time within which a command must be committed.
    pub commit_limit_ms: Millis,
}

impl Default for QuorumSettings {
    fn default() -> Self {
        let library = Settings::default();
        Self {
            heartbeat_ms: library.heartbeat_ms,
            election_min_ms: library.election_min_ms,
            election_max_ms: library.election_max_ms,
            snapshot_entries: 10_000,
            commit_limit_ms: Millis(4_000),
        }
    }
}

impl QuorumSettings {
    /// The settings in the form that the replicated log takes.
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
    /// Machine that it runs on.
    pub vm: VmName,
    /// Zone of that machine.
    pub place: PlaceName,
    /// Region of that zone.
    pub region: RegionName,
    /// Where operators are served.
    pub listen: SocketAddr,
    /// Where the system's own processes are served.
    pub peer_listen: SocketAddr,
    /// Data folder.
    pub data: PathBuf,
    /// All controls, this one included.
    pub controls: Vec<Peer>,
    /// Files that prove to the other processes that this one belongs to the group.
    #[serde(default)]
    pub group: Option<GroupFiles>,
    /// Replicated log.
    #[serde(default)]
    pub quorum: QuorumSettings,
    /// How others name this control's address for operators; empty for none.
    #[serde(default)]
    pub url: String,
    /// Whether a control that these settings don't name may join, under its address as name.
    #[serde(default)]
    pub open_group: bool,
    /// View of nodes and targets.
    #[serde(default)]
    pub members: MemberSettings,
    /// What is logged and how.
    #[serde(default)]
    pub log: LogSettings,
}

impl ControlSettings {
    /// Address of a control by name.
    #[must_use]
    pub fn address_of(&self, name: &str) -> Option<SocketAddr> {
        let peer = self.controls.iter().find(|peer| peer.name.as_str() == name);
        peer.map(|peer| peer.address)
    }
}
