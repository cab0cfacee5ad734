//! Settings of a stand-in.

use std::net::SocketAddr;
use std::path::PathBuf;

use mgw_settings::LogSettings;
use mgw_world::{
    AcceleratorKind, AdapterName, LayerRange, Limits, Millis, ModelName, ModelVersion, PlaceName,
    ServiceName, TargetName, VmName,
};
use serde::{Deserialize, Serialize};

use crate::faults::Faults;
use crate::model::VALUE_BYTES;

/// Role of a stand-in: the service that it replaces.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize, derive_more::Display,
)]
#[serde(rename_all = "snake_case")]
#[display(rename_all = "snake_case")]
pub enum Role {
    /// Runs steps of a model as an engine does.
    #[default]
    Engine,
    /// Answers calls of any path.
    Plain,
    /// Serves the weights of layers that engines load.
    Weights,
}

/// Settings of a stand-in; every key has a default.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(default)]
pub struct Settings {
    /// Service that the stand-in replaces.
    pub role: Role,
    /// Name of the target that is announced.
    pub name: TargetName,
    /// Machine that the stand-in runs on.
    pub vm: VmName,
    /// Zone of the machine.
    pub place: PlaceName,
    /// Address to listen on; port zero picks a free port.
    pub listen: SocketAddr,
    /// URLs of the entries to announce to, tried in turn; with none the stand-in isn't announced.
    pub entries: Vec<String>,
    /// File to append the journal to; without one the journal is kept in memory.
    pub journal: Option<PathBuf>,
    /// Time after SIGTERM within which sessions and calls may complete.
    pub leave_limit_ms: Millis,
    /// Format and filter of the log.
    pub log: LogSettings,
    /// Interval, lag and loss of announced reports.
    pub reports: ReportSettings,
    /// Settings for the role `engine`.
    pub engine: EngineSettings,
    /// Settings for the role `plain`.
    pub plain: PlainSettings,
    /// Settings for the role `weights`.
    pub weights: WeightsSettings,
    /// Faults that are active from the start.
    pub faults: Faults,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            role: Role::default(),
            name: TargetName::from("standin"),
            vm: VmName::from("local"),
            place: PlaceName::from("local"),
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            entries: Vec::new(),
            journal: None,
            leave_limit_ms: Millis(30_000),
            log: LogSettings::default(),
            reports: ReportSettings::default(),
            engine: EngineSettings::default(),
            plain: PlainSettings::default(),
            weights: WeightsSettings::default(),
            faults: Faults::default(),
        }
    }
}

/// Interval, lag and loss of load reports and cache events.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(default)]
pub struct ReportSettings {
    /// Minimum age of the load that is reported.
    pub load_lag_ms: Millis,
    /// Share of load reports, in percent, that are lost: the previous load is reported again.
    pub load_lost_percent: u32,
    /// Share of cache events, in percent, that are lost.
    pub events_lost_percent: u32,
    /// Seed of the random choice of lost reports and events.
    pub seed: u64,
    /// Interval between announcements until an entry sets another.
    pub renew_ms: Millis,
}

impl Default for ReportSettings {
    fn default() -> Self {
        Self {
            load_lag_ms: Millis::ZERO,
            load_lost_percent: 0,
            events_lost_percent: 0,
            seed: 0,
            renew_ms: Millis(500),
        }
    }
}

/// Settings of a stand-in for a model engine.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(default)]
pub struct EngineSettings {
    /// Name of the model.
    pub model: ModelName,
    /// Version of the model.
    pub version: ModelVersion,
    /// Adapter loaded on top of the model, if any.
    pub adapter: Option<AdapterName>,
    /// Number of layers of the whole model.
    pub model_layers: u16,
    /// Layers loaded at the start; the whole model if not given.
    pub layers: Option<LayerRange>,
    /// Kind of accelerator.
    pub accelerator: AcceleratorKind,
    /// Size of the activation of one token between two layers.
    pub activation_bytes: u32,
    /// Size of the KV cache of one token in one layer.
    pub kv_bytes_per_layer: u32,
    /// Minimum duration of a batch iteration.
    pub step_ms: Millis,
    /// Positions per second at full batch.
    pub tokens_per_s: u32,
    /// Maximum number of positions in an iteration; a longer step runs alone.
    pub batch_positions: u32,
    /// Maximum number of open sessions.
    pub max_requests: u32,
    /// Size of the KV cache of all sessions.
    pub kv_bytes: u64,
    /// Time without a step after which a session is freed.
    pub session_idle_ms: Millis,
    /// Capacity of the prefix cache in blocks; zero turns it off.
    pub prefix_blocks: u32,
    /// Time that a load takes after an order, in addition to fetching from the weight store.
    pub load_ms: Millis,
    /// Base URL of the weight store to fetch from; without one nothing is fetched.
    pub weights_url: Option<String>,
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self {
            model: ModelName::from("drill"),
            version: ModelVersion::from("v1"),
            adapter: None,
            model_layers: 12,
            layers: None,
            accelerator: AcceleratorKind::from("toy"),
            activation_bytes: 1024,
            kv_bytes_per_layer: 256,
            step_ms: Millis(5),
            tokens_per_s: 2000,
            batch_positions: 256,
            max_requests: 64,
            kv_bytes: 64 * 1024 * 1024,
            session_idle_ms: Millis(60_000),
            prefix_blocks: 0,
            load_ms: Millis(1000),
            weights_url: None,
        }
    }
}

impl EngineSettings {
    /// Layers loaded at the start; `None` if no layers are given and the model has none.
    #[must_use]
    pub fn initial_layers(&self) -> Option<LayerRange> {
        self.layers
            .or_else(|| LayerRange::new(0, self.model_layers).ok())
    }

    /// Limits that are announced.
    #[must_use]
    pub const fn limits(&self) -> Limits {
        Limits {
            max_requests: self.max_requests,
            kv_bytes: self.kv_bytes,
            tokens_per_s: self.tokens_per_s,
        }
    }
}

/// Settings of a stand-in for a plain service.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(default)]
pub struct PlainSettings {
    /// Name of the service.
    pub service: ServiceName,
    /// Duration of a call.
    pub call_ms: Millis,
    /// Maximum number of concurrent calls that is announced; it is not enforced.
    pub max_requests: u32,
}

impl Default for PlainSettings {
    fn default() -> Self {
        Self {
            service: ServiceName::from("train-app"),
            call_ms: Millis(1),
            max_requests: 64,
        }
    }
}

/// Settings of a stand-in for the weight store.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(default)]
pub struct WeightsSettings {
    /// Size of one layer.
    pub layer_bytes: u64,
    /// Bytes per second for all readers together.
    pub bytes_per_s: u64,
}

impl Default for WeightsSettings {
    fn default() -> Self {
        Self {
            layer_bytes: 1024 * 1024,
            bytes_per_s: 16 * 1024 * 1024,
        }
    }
}

/// A setting with an invalid value, and why it is invalid.
#[derive(Debug, Clone, PartialEq, Eq, derive_more::Display)]
#[display("{key}: {message}")]
pub struct SettingError {
    /// Key of the setting, such as `engine.layers`.
    pub key: &'static str,
    /// Constraint that the setting violates.
    pub message: &'static str,
}

/// Returns all settings that are out of range or contradict one another.
#[must_use]
pub fn find_setting_errors(settings: &Settings) -> Vec<SettingError> {
    let engine = &settings.engine;
    let last_layer = engine.initial_layers().map_or(0, LayerRange::end);
    let checks = [
        (
            (engine.activation_bytes as usize) < VALUE_BYTES,
            "engine.activation_bytes",
            "must be 8 or more",
        ),
        (
            engine.model_layers == 0,
            "engine.model_layers",
            "must be 1 or more",
        ),
        (
            last_layer > engine.model_layers,
            "engine.layers",
            "must end within engine.model_layers",
        ),
        (
            engine.tokens_per_s == 0,
            "engine.tokens_per_s",
            "must be 1 or more",
        ),
        (
            settings.weights.bytes_per_s == 0,
            "weights.bytes_per_s",
            "must be 1 or more",
        ),
    ];
    let failed = checks.into_iter().filter(|(invalid, ..)| *invalid);
    failed
        .map(|(_, key, message)| SettingError { key, message })
        .collect()
}
