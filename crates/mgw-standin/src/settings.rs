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

/// What a stand-in stands in for.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize, derive_more::Display,
)]
#[serde(rename_all = "snake_case")]
#[display(rename_all = "snake_case")]
pub enum Role {
    /// A model engine.
    #[default]
    Engine,
    /// A plain service.
    Plain,
    /// The weight store.
    Weights,
}

/// Settings of a stand-in; every key has a default.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(default)]
pub struct Settings {
    /// What it stands in for.
    pub role: Role,
    /// Name of the target.
    pub name: TargetName,
    /// Machine that it runs on.
    pub vm: VmName,
    /// Zone of the machine.
    pub place: PlaceName,
    /// Where it takes calls; port zero takes a free one.
    pub listen: SocketAddr,
    /// Entries to announce to, tried in turn; none means that it isn't announced.
    pub entries: Vec<String>,
    /// File of the journal; in memory if there is none.
    pub journal: Option<PathBuf>,
    /// Time after SIGTERM within which sessions and calls may end.
    pub leave_limit_ms: Millis,
    /// Log.
    pub log: LogSettings,
    /// What it says of itself, and how late.
    pub reports: ReportSettings,
    /// For the role `engine`.
    pub engine: EngineSettings,
    /// For the role `plain`.
    pub plain: PlainSettings,
    /// For the role `weights`.
    pub weights: WeightsSettings,
    /// Faults from the start on.
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

/// Lag and loss of load reports and cache events.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(default)]
pub struct ReportSettings {
    /// Age of the load that is reported.
    pub load_lag_ms: Millis,
    /// Share of load reports, in percent, that repeat the one before.
    pub load_lost_percent: u32,
    /// Share of cache events, in percent, that are lost.
    pub events_lost_percent: u32,
    /// Seed of the choice of what is lost.
    pub seed: u64,
    /// Time between announcements until an entry asks for another.
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
    /// Model held.
    pub model: ModelName,
    /// Version held.
    pub version: ModelVersion,
    /// Adapter held.
    pub adapter: Option<AdapterName>,
    /// Layers of the whole model.
    pub model_layers: u16,
    /// Layers held; the whole model if not given.
    pub layers: Option<LayerRange>,
    /// Kind of accelerator.
    pub accelerator: AcceleratorKind,
    /// Bytes of one token's activation between two layers.
    pub activation_bytes: u32,
    /// Bytes of KV cache that one token takes in one layer.
    pub kv_bytes_per_layer: u32,
    /// Shortest time of one batch iteration.
    pub step_ms: Millis,
    /// Positions a second at full batch.
    pub tokens_per_s: u32,
    /// Most positions in one iteration; a longer step runs alone.
    pub batch_positions: u32,
    /// Most sessions at once.
    pub max_requests: u32,
    /// Bytes of KV cache.
    pub kv_bytes: u64,
    /// Time without a step after which a session is freed.
    pub session_idle_ms: Millis,
    /// Blocks of the prefix cache; zero for none.
    pub prefix_blocks: u32,
    /// Time that a load takes after an order, beside the weight store's time.
    pub load_ms: Millis,
    /// Base URL of the weight store to load from.
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
    /// Layers held at the start; none if the model has none.
    #[must_use]
    pub fn held_layers(&self) -> Option<LayerRange> {
        self.layers
            .or_else(|| LayerRange::new(0, self.model_layers).ok())
    }

    /// Limits as announced.
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
    /// Service answered for.
    pub service: ServiceName,
    /// Time that a call takes.
    pub call_ms: Millis,
    /// Most calls at once, as announced.
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
    /// Bytes of one layer.
    pub layer_bytes: u64,
    /// Bytes a second for all readers together.
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

/// A setting that doesn't fit the others.
#[derive(Debug, Clone, PartialEq, Eq, derive_more::Display)]
#[display("{key}: {message}")]
pub struct SettingError {
    /// Key, such as `engine.layers`.
    pub key: &'static str,
    /// What would be right.
    pub message: &'static str,
}

/// Finds all settings that don't fit one another.
#[must_use]
pub fn find_setting_errors(settings: &Settings) -> Vec<SettingError> {
    let engine = &settings.engine;
    let last_layer = engine.held_layers().map_or(0, LayerRange::end);
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
    let faulty = checks.into_iter().filter(|(wrong, ..)| *wrong);
    faulty
        .map(|(_, key, message)| SettingError { key, message })
        .collect()
}
