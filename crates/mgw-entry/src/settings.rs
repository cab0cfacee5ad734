//! Settings of an entry.

use std::net::SocketAddr;

use mgw_peer::GroupFiles;
use mgw_pipe::{MoveSettings, PaceSettings, PipeSettings, TimeSettings};
use mgw_route::PrefixRule;
use mgw_settings::LogSettings;
use mgw_world::{EntryName, Millis, NodeName, PlaceName, RegionName, VmName};
use serde::Deserialize;

use crate::engines::EngineSettings;

/// Name and address of another process of the system.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Peer {
    /// Name of the node.
    pub name: NodeName,
    /// Address at which it accepts calls of other nodes (its `peer_listen`).
    pub address: SocketAddr,
}

/// Limits for the requests of callers at this entry.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct CallerLimits {
    /// Maximum number of tokens buffered for a caller that has not read them yet.
    pub stream_tokens: usize,
    /// How long the buffer of a caller may stay full before its request is cancelled.
    pub slow_reader_ms: Millis,
    /// Time limit for a call to a plain service.
    pub service_limit_ms: Millis,
    /// Maximum number of tokens in an answer.
    pub max_tokens: u32,
    /// Maximum number of tokens in a prompt.
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

/// Time limits of a graceful shutdown.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LeavingSettings {
    /// How long other entries may still name this one to callers after it announced that it leaves.
    pub hear_ms: Millis,
    /// Maximum duration of a graceful shutdown; requests that run on are aborted then.
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

/// Settings of an entry, read from TOML.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntrySettings {
    /// Name of this entry.
    pub name: EntryName,
    /// Machine that the entry runs on.
    pub vm: VmName,
    /// Availability zone of that machine.
    pub place: PlaceName,
    /// Region of that availability zone.
    pub region: RegionName,
    /// Address at which callers, targets and operators are served.
    pub listen: SocketAddr,
    /// Base URL given to callers; derived from `listen` if absent.
    #[serde(default)]
    pub url: Option<String>,
    /// Address at which other nodes of the system are served.
    pub peer_listen: SocketAddr,
    /// Folder in which the highest revision seen is stored; absent on a machine without a disk.
    #[serde(default)]
    pub data: Option<std::path::PathBuf>,
    /// Weight of this entry when callers are distributed over the entries.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// Other entries with which the exchange of views starts.
    #[serde(default)]
    pub peers: Vec<Peer>,
    /// Control nodes of the system.
    #[serde(default)]
    pub controls: Vec<Peer>,
    /// Files with which this process authenticates to the others as a member of the group.
    #[serde(default)]
    pub group: Option<GroupFiles>,
    /// Format and filter of the log lines.
    #[serde(default)]
    pub log: LogSettings,
    /// Settings of the pipelines.
    #[serde(default)]
    pub pipe: PipeSettings,
    /// Maximum bytes of stage inputs kept for all requests together.
    #[serde(default = "default_activation_bytes")]
    pub activation_bytes: u64,
    /// Rule by which requests follow cached prefixes of their prompts.
    #[serde(default)]
    pub prefix_rule: PrefixRule,
    /// Limits on moving running requests to other targets when targets fail.
    #[serde(default)]
    pub moves: MoveSettings,
    /// Detection of targets that became slower.
    #[serde(default)]
    pub paces: PaceSettings,
    /// Time limits of steps.
    #[serde(default)]
    pub times: TimeSettings,
    /// Settings of the engine client.
    #[serde(default)]
    pub engines: EngineSettings,
    /// Limits for the requests of callers.
    #[serde(default)]
    pub callers: CallerLimits,
    /// Time limits of a graceful shutdown.
    #[serde(default)]
    pub leaving: LeavingSettings,
}

/// Bytes of stage inputs that fit into the memory of a small machine.
const fn default_activation_bytes() -> u64 {
    256 * 1024 * 1024
}

const fn default_weight() -> u32 {
    1
}

impl EntrySettings {
    /// Base URL given to callers: `url`, or one derived from `listen`.
    #[must_use]
    pub fn url(&self) -> String {
        self.url
            .clone()
            .unwrap_or_else(|| format!("http://{}", self.listen))
    }
}
