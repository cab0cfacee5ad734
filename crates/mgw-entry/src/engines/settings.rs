//! Settings of the engine client.

use serde::Deserialize;

/// Settings of the engine client.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineSettings {
    /// Maximum number of steps of different requests in one message; with 1, each step is sent in a
    /// message of its own.
    pub shared_steps: usize,
    /// Number of steps that may always be in flight at an engine, however slow it is.
    pub least_steps_out: u32,
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self {
            shared_steps: 64,
            least_steps_out: 4,
        }
    }
}
