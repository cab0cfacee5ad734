//! Settings of a run, read from an experiment file and the command line.

use std::collections::BTreeMap;
use std::path::PathBuf;

use mgw_standin::Fault;
use mgw_standin::settings::Settings as StandinSettings;
use mgw_world::{Millis, ModelName, ModelVersion, WorkspaceName};
use serde::{Deserialize, Serialize};

/// Distribution of the times between arrivals.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize, clap::ValueEnum)]
#[serde(rename_all = "snake_case")]
pub enum Spacing {
    /// Independent arrivals, with exponentially distributed times between them.
    #[default]
    Poisson,
    /// Equal times between arrivals.
    Fixed,
}

/// Load of one workspace. A workspace may have several loads, which may overlap in time.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct WorkspaceLoad {
    /// Name of the workspace.
    pub name: WorkspaceName,
    /// Requests per second.
    pub rate: f64,
    /// Time of the first request since the start of the run.
    #[serde(default)]
    pub from_ms: Millis,
    /// End of the arrivals since the start of the run; the end of the run if not given.
    #[serde(default)]
    pub until_ms: Option<Millis>,
}

/// Settings of a run; every key has a default.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Settings {
    /// Base URLs of entries to ask for addresses.
    pub entries: Vec<String>,
    /// Requests per second if there are no `workspaces`. On the command line, workspaces without a
    /// rate of their own share it.
    pub rate: f64,
    /// Distribution of the times between arrivals.
    pub spacing: Spacing,
    /// Time during which requests arrive.
    pub duration_ms: Millis,
    /// Warm-up, counted from the start of the run; tokens received during it don't count as
    /// goodput.
    pub warmup_ms: Millis,
    /// Maximum number of requests.
    pub requests: Option<u64>,
    /// Loads of workspaces; if empty, requests without a workspace arrive at `rate`.
    pub workspaces: Vec<WorkspaceLoad>,
    /// Number of callers, each with its own entry addresses; requests are spread over them in turn.
    pub callers: u32,
    /// Maximum number of times that one request is sent.
    pub tries: u32,
    /// Pause before a retry, used in place of the one that the final answer asks for. Models
    /// callers that ignore the requested backoff.
    pub impatient_ms: Option<Millis>,
    /// Whether a request whose connection or stream broke off is sent again from the start, to
    /// another entry if there is one. Its outcome is unknown, but a completion is harmless to
    /// repeat.
    pub repeat_cut: bool,
    /// Deadline of a request, counted from its planned arrival.
    pub deadline_ms: Millis,
    /// Number of tokens that each request asks for.
    pub max_tokens: u32,
    /// Prompt of all requests; if not given, prompts are generated.
    pub prompt: Option<String>,
    /// Settings of generated prompts.
    pub prompts: PromptSettings,
    /// Seed of the random arrivals and prompts.
    pub seed: u64,
    /// Whether answers are compared with the reference answers of the toy model.
    pub verify: bool,
    /// Model that requests ask for.
    pub model: ModelName,
    /// Model version that the reference answers are computed for.
    pub model_version: ModelVersion,
    /// Number of layers of the model.
    pub model_layers: u16,
    /// File to which whole answers are written, for `mgw-standin check-journals --answers`.
    pub answers: Option<PathBuf>,
    /// Throughput bound that goodput is compared with: the largest token rate that the placement
    /// allows. If not given, it is fetched from an entry.
    pub bound_tokens_per_s: Option<u64>,
    /// Folder of a local run, with `NAME.pid` for each process and `NAME.toml` for each stand-in.
    pub run_folder: Option<PathBuf>,
    /// Process id files by process name; they take precedence over those of the run folder.
    pub processes: BTreeMap<String, PathBuf>,
    /// Base URLs of stand-ins by name; they take precedence over those of the run folder.
    pub standins: BTreeMap<String, String>,
    /// Faults to inject during the run.
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
            impatient_ms: None,
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
    /// Returns the file that holds the id of a process, or `None` if neither `processes` nor a run
    /// folder is set for it.
    #[must_use]
    pub fn pid_file(&self, name: &str) -> Option<PathBuf> {
        let folder = self.run_folder.as_ref();
        let configured = self.processes.get(name).cloned();
        configured.or_else(|| folder.map(|folder| folder.join(format!("{name}.pid"))))
    }

    /// Returns the base URL of a stand-in. A name that is neither in `standins` nor in the run
    /// folder is taken as a URL.
    #[must_use]
    pub fn standin_url(&self, name: &str) -> String {
        if let Some(url) = self.standins.get(name) {
            return url.clone();
        }
        let folder = self.run_folder.as_ref();
        let file = folder.map(|folder| folder.join(format!("{name}.toml")));
        let settings = file.and_then(|file| mgw_settings::load::<StandinSettings>(&file).ok());
        settings.map_or_else(
            || name.to_owned(),
            |settings| format!("http://{}", settings.listen),
        )
    }
}

/// Settings of generated prompts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct PromptSettings {
    /// Number of words of a prompt.
    pub words: u32,
    /// Number of words at the start of a prompt that all prompts of the same group share.
    pub shared_words: u32,
    /// Number of groups; each prompt belongs to a random one.
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

/// A fault that is injected at a set time.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TimelineEvent {
    /// Time since the start of the run.
    pub at_ms: Millis,
    /// The fault to inject.
    #[serde(flatten)]
    pub action: Action,
}

/// A fault that the tool can inject.
///
/// In TOML: `fault = { standin = "e1", change = { slow = 10 } }` or
/// `signal = { process = "entry-1", signal = "kill" }`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Action {
    /// Sets a fault of a stand-in.
    Fault {
        /// Name of the stand-in, resolved by [`Settings::standin_url`], or its base URL.
        standin: String,
        /// The fault to set.
        change: Fault,
    },
    /// Sends a signal to a process.
    Signal {
        /// Name of the process, resolved by [`Settings::pid_file`].
        process: String,
        /// Signal to send.
        signal: SignalName,
    },
}

/// Signals that a timeline may send.
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

/// Checks the settings and returns a message for each error found.
#[must_use]
pub fn find_errors(settings: &Settings) -> Vec<String> {
    let mut errors = Vec::new();
    if settings.entries.is_empty() {
        errors.push(
            "entries: none given; name at least one, such as --entry http://127.0.0.1:7001"
                .to_owned(),
        );
    }
    let rates = settings.workspaces.iter().map(|load| load.rate);
    for rate in rates.chain([settings.rate]) {
        if !rate.is_finite() || rate <= 0.0 {
            errors.push(format!("rate: {rate} is not a positive, finite number"));
        }
    }
    if settings.callers == 0 || settings.tries == 0 {
        errors.push("callers and tries: both must be 1 or more".to_owned());
    }
    for event in &settings.timeline {
        if let Action::Signal { process, .. } = &event.action
            && settings.pid_file(process).is_none()
        {
            errors.push(format!(
                "timeline: no process id file for {process}; use --process {process}=FILE or --run-folder"
            ));
        }
    }
    errors
}
