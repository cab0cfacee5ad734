//! A change of configuration as it goes into the log.

use std::fmt;

use mgw_contract::operator::ConfigFinding;
use mgw_settings::Findings;
use mgw_world::{OperatorName, Revision};
use serde::{Deserialize, Serialize};
use sha2::Digest as _;
use sha2::Sha256;

use crate::{Inventory, encode};

/// A SHA-256 digest; shown as hexadecimal digits.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
pub struct Digest(pub [u8; 32]);

impl Digest {
    /// Digest of bytes.
    #[must_use]
    pub fn of(bytes: &[u8]) -> Self {
        Self(Sha256::digest(bytes).into())
    }

    /// Digest of a configuration, the same on every process that holds it.
    #[must_use]
    pub fn of_inventory(inventory: &Inventory) -> Self {
        Self::of(&encode(inventory))
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0
            .iter()
            .try_for_each(|byte| write!(formatter, "{byte:02x}"))
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "Digest({self})")
    }
}

/// A change of configuration with the result of its check.
///
/// The leader checks before it proposes and the result travels with the change, so that replicas
/// of another program version still come to the same state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigChange {
    /// Operator who asks.
    pub operator: OperatorName,
    /// Names the change, so that a resend is recognised.
    pub change_id: String,
    /// Revision that the change is based on.
    pub base: Revision,
    /// The whole new configuration as the operator wrote it.
    pub text: String,
    /// The configuration that the text means, or its faults.
    pub checked: Result<Inventory, Vec<ConfigFinding>>,
}

impl ConfigChange {
    /// Parses and checks the text; `file` is a name for the findings.
    #[must_use]
    pub fn check(
        operator: OperatorName,
        change_id: String,
        base: Revision,
        text: String,
        file: &str,
    ) -> Self {
        let checked = Inventory::parse(file, &text).map_err(to_config_findings);
        Self {
            operator,
            change_id,
            base,
            text,
            checked,
        }
    }

    /// Digest of what the operator sent: base and text.
    #[must_use]
    pub fn digest(&self) -> Digest {
        Digest::of(&encode(&(self.base, &self.text)))
    }
}

fn to_config_findings(findings: Findings) -> Vec<ConfigFinding> {
    let convert = |finding: mgw_settings::Finding| ConfigFinding {
        line: finding.line,
        key: finding.key,
        message: finding.message,
    };
    findings.all.into_iter().map(convert).collect()
}
