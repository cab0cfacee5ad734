//! Settings of the calls to engines.

use serde::Deserialize;

/// Settings of the calls to engines.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineSettings {
    /// Most steps of different requests in one message; one sends each step by itself.
    pub shared_steps: usize,
    /// Steps that may be out at an engine at once however slow it is.
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
