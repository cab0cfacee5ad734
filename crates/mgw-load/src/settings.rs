//! Settings of a run, from an experiment file or the command line.

use std::collections::BTreeMap;
use std::path::PathBuf;

use mgw_standin::Fault;
use mgw_standin::settings::Settings as StandinSettings;
use mgw_world::{Millis, ModelName, ModelVersion, WorkspaceName};
use serde::{Deserialize, Serialize};

/// How arrivals are spread over time.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize, clap::ValueEnum)]
#[serde(rename_all = "snake_case")]
pub enum Spacing {
    /// Independent arrivals.
    #[default]
    Poisson,
    /// Equal distances.
    Fixed,
}

/// Requests of one workspace.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WorkspaceLoad {
    /// Name of the workspace.
    pub name: WorkspaceName,
    /// Requests a second.
    pub rate: f64,
}

/// Settings of a run; every key has a default.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Settings {
    /// Base URLs of entries to ask for addresses.
    pub entries: Vec<String>,
    /// Requests a second, shared by `workspaces` that name no rate of their own.
    pub rate: f64,
    /// Spacing of arrivals.
    pub spacing: Spacing,
    /// Span in which requests arrive.
    pub duration_ms: Millis,
    /// Start of the span, after the first arrival, from which goodput is counted.
    pub warmup_ms: Millis,
    /// Most requests.
    pub requests: Option<u64>,
    /// Workspaces; none means requests without a workspace at `rate`.
    pub workspaces: Vec<WorkspaceLoad>,
    /// Callers that ask for addresses, each on its own.
    pub callers: u32,
    /// Most times that one request is sent.
    pub tries: u32,
    /// Whether a request whose stream broke off is sent again from the start, to another entry:
    /// its outcome is unknown, and a completion is harmless to repeat.
    pub repeat_cut: bool,
    /// Time that a caller gives a request.
    pub deadline_ms: Millis,
    /// Tokens asked for.
    pub max_tokens: u32,
    /// Prompt of all requests; generated if there is none.
    pub prompt: Option<String>,
    /// Generated prompts.
    pub prompts: PromptSettings,
    /// Seed of arrivals and prompts.
    pub seed: u64,
    /// Whether answers are compared with the toy model's.
    pub verify: bool,
    /// Model asked for.
    pub model: ModelName,
    /// Version that answers are compared with.
    pub model_version: ModelVersion,
    /// Layers of the model.
    pub model_layers: u16,
    /// File to write whole answers to, for `mgw-standin check-journals --answers`.
    pub answers: Option<PathBuf>,
    /// Largest token rate that the placement allows, to compare with; an entry is asked if there is
    /// none.
    pub bound_tokens_per_s: Option<u64>,
    /// Folder of a local run, with `NAME.pid` for each process and `NAME.toml` for each stand-in.
    pub run_folder: Option<PathBuf>,
    /// Files with process numbers, by name; they go before those of the run folder.
    pub processes: BTreeMap<String, PathBuf>,
    /// Base URLs of stand-ins, by name; they go before those of the run folder.
    pub standins: BTreeMap<String, String>,
    /// Faults.
    pub timeline: Vec<TimelineEvent>,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            entries: Vec::new(),
            rate: 10.0,
            spacing: Spacing::default(),
            duration_ms: Millis(10_000),
            warmup_ms: Millis::ZERO,
            requests: None,
            workspaces: Vec::new(),
            callers: 8,
            tries: 3,
            repeat_cut: false,
            deadline_ms: Millis(30_000),
            max_tokens: 32,
            prompt: None,
            prompts: PromptSettings::default(),
            seed: 1,
            verify: false,
            model: ModelName::from("drill"),
            model_version: ModelVersion::from("v1"),
            model_layers: 12,
            answers: None,
            bound_tokens_per_s: None,
            run_folder: None,
            processes: BTreeMap::new(),
            standins: BTreeMap::new(),
            timeline: Vec::new(),
        }
    }
}

impl Settings {
    /// File with the number of a process.
    #[must_use]
    pub fn find_process(&self, name: &str) -> Option<PathBuf> {
        let folder = self.run_folder.as_ref();
        let named = self.processes.get(name).cloned();
        named.or_else(|| folder.map(|folder| folder.join(format!("{name}.pid"))))
    }

    /// Base URL of a stand-in; a name that is known nowhere is taken for a URL.
    #[must_use]
    pub fn find_standin(&self, name: &str) -> String {
        if let Some(url) = self.standins.get(name) {
            return url.clone();
        }
        let folder = self.run_folder.as_ref();
        let file = folder.map(|folder| folder.join(format!("{name}.toml")));
        let standin = file.and_then(|file| mgw_settings::load::<StandinSettings>(&file).ok());
        standin.map_or_else(
            || name.to_owned(),
            |found| format!("http://{}", found.listen),
        )
    }
}

/// Generated prompts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct PromptSettings {
    /// Words of a prompt.
    pub words: u32,
    /// Of them, words that prompts of the same group share at their start.
    pub shared_words: u32,
    /// Number of groups.
    pub groups: u32,
}

impl Default for PromptSettings {
    fn default() -> Self {
        Self {
            words: 16,
            shared_words: 0,
            groups: 1,
        }
    }
}

/// A fault at a point of the run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TimelineEvent {
    /// Time since the start of the run.
    pub at_ms: Millis,
    /// What happens.
    #[serde(flatten)]
    pub action: Action,
}

/// What happens at a point of the run.
///
/// In TOML: `fault = { standin = "e1", change = { slow = 10 } }` or
/// `signal = { process = "entry-1", signal = "kill" }`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Action {
    /// A stand-in is told of a fault.
    Fault {
        /// Name known to [`Settings::find_standin`], or a base URL.
        standin: String,
        /// The fault.
        change: Fault,
    },
    /// A process gets a signal.
    Signal {
        /// Name known to [`Settings::find_process`].
        process: String,
        /// Signal.
        signal: SignalName,
    },
}

/// Signals that a run may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SignalName {
    /// SIGTERM.
    Term,
    /// SIGKILL.
    Kill,
    /// SIGSTOP.
    Stop,
    /// SIGCONT.
    Cont,
}

/// Finds all settings that don't fit one another, in words.
#[must_use]
pub fn find_faults(settings: &Settings) -> Vec<String> {
    let mut faults = Vec::new();
    if settings.entries.is_empty() {
        faults.push("entries: name at least one, such as --entry http://127.0.0.1:7001".to_owned());
    }
    let rates = settings.workspaces.iter().map(|load| load.rate);
    for rate in rates.chain([settings.rate]) {
        if !rate.is_finite() || rate <= 0.0 {
            faults.push(format!("rate: {rate} is not a positive number"));
        }
    }
    if settings.callers == 0 || settings.tries == 0 {
        faults.push("callers and tries: must be 1 or more".to_owned());
    }
    for event in &settings.timeline {
        if let Action::Signal { process, .. } = &event.action
            && settings.find_process(process).is_none()
        {
            faults.push(format!(
                "timeline: no process {process}; name its file with --process {process}=FILE or --run-folder"
            ));
        }
    }
    faults
}
