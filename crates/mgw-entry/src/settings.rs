//! Settings of an entry.

use std::net::SocketAddr;

use mgw_peer::GroupFiles;
use mgw_pipe::{MoveSettings, PaceSettings, PipeSettings, TimeSettings};
use mgw_settings::LogSettings;
use mgw_world::{EntryName, Millis, NodeName, PlaceName, RegionName, VmName};
use serde::Deserialize;

use crate::engines::EngineSettings;

/// Another process of the system.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Peer {
    /// Its name.
    pub name: NodeName,
    /// Where it takes calls of the system's own processes.
    pub address: SocketAddr,
}

/// Limits on what callers may hold at this entry.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct CallerLimits {
    /// Tokens that wait for a caller to read them.
    pub stream_tokens: usize,
    /// How long a caller may leave its stream unread.
    pub slow_reader_ms: Millis,
    /// Time that a call to a plain service may take.
    pub service_limit_ms: Millis,
    /// Most tokens of one answer.
    pub max_tokens: u32,
    /// Most tokens of a prompt.
    pub max_prompt_tokens: usize,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            stream_tokens: 64,
            slow_reader_ms: Millis(5_000),
            service_limit_ms: Millis(30_000),
            max_tokens: 4096,
            max_prompt_tokens: 32_768,
        }
    }
}

/// Limits of a shutdown.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LeavingSettings {
    /// How long other entries may still name this one after it said that it leaves.
    pub hear_ms: Millis,
    /// Longest time that a graceful shutdown takes.
    pub limit_ms: Millis,
}

impl Default for LeavingSettings {
    fn default() -> Self {
        Self {
            hear_ms: Millis(4_000),
            limit_ms: Millis(120_000),
        }
    }
}

/// Settings of an entry.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntrySettings {
    /// Name of the entry.
    pub name: EntryName,
    /// Machine that it runs on.
    pub vm: VmName,
    /// Zone of that machine.
    pub place: PlaceName,
    /// Region of that zone.
    pub region: RegionName,
    /// Where callers, targets and operators are served.
    pub listen: SocketAddr,
    /// Base URL given to callers; made from `listen` if absent.
    #[serde(default)]
    pub url: Option<String>,
    /// Where the system's own processes are served.
    pub peer_listen: SocketAddr,
    /// Folder for the revision last in force; none on a machine without a disk.
    #[serde(default)]
    pub data: Option<std::path::PathBuf>,
    /// Share of callers that this entry takes, relative to the other entries.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// Other entries to start the exchange of views with.
    #[serde(default)]
    pub peers: Vec<Peer>,
    /// Controls.
    #[serde(default)]
    pub controls: Vec<Peer>,
    /// Files that prove to the other processes that this one belongs to the group.
    #[serde(default)]
    pub group: Option<GroupFiles>,
    /// What is logged and how.
    #[serde(default)]
    pub log: LogSettings,
    /// Pipelines.
    #[serde(default)]
    pub pipe: PipeSettings,
    /// Most bytes of stage inputs held for all requests together.
    #[serde(default = "default_activation_bytes")]
    pub activation_bytes: u64,
    /// Moves of running requests when targets fail.
    #[serde(default)]
    pub moves: MoveSettings,
    /// Judgement of targets that became slower.
    #[serde(default)]
    pub paces: PaceSettings,
    /// Step deadlines.
    #[serde(default)]
    pub times: TimeSettings,
    /// Calls to engines.
    #[serde(default)]
    pub engines: EngineSettings,
    /// Callers.
    #[serde(default)]
    pub callers: CallerLimits,
    /// Shutdown.
    #[serde(default)]
    pub leaving: LeavingSettings,
}

/// Bytes of stage inputs that a small machine holds.
const fn default_activation_bytes() -> u64 {
    256 * 1024 * 1024
}

const fn default_weight() -> u32 {
    1
}

impl EntrySettings {
    /// Base URL given to callers.
    #[must_use]
    pub fn url(&self) -> String {
        self.url
            .clone()
            .unwrap_or_else(|| format!("http://{}", self.listen))
    }
}
