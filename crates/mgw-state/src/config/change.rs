//! [`ConfigChange`], a change of configuration with its whole text, and [`Digest`].

use std::fmt;

use mgw_contract::operator::ConfigFinding;
use mgw_settings::Findings;
use mgw_world::{OperatorName, Revision};
use serde::{Deserialize, Serialize};
use sha2::Digest as _;
use sha2::Sha256;

use crate::{Inventory, encode};

/// A SHA-256 digest, displayed as hexadecimal digits.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
pub struct Digest(pub [u8; 32]);

impl Digest {
    /// Computes the digest of bytes.
    #[must_use]
    pub fn of(bytes: &[u8]) -> Self {
        Self(Sha256::digest(bytes).into())
    }

    /// Computes the digest of a configuration; it is the same in every process that holds this
    /// configuration.
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
/// The leader checks the text before it proposes the change, and the result is replicated with it.
/// Replicas that run another program version, whose check may differ, thus reach the same state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigChange {
    /// Operator who asks for the change.
    pub operator: OperatorName,
    /// Identifies the change, so that a resend is recognised.
    pub change_id: String,
    /// Revision that the change is based on.
    pub base: Revision,
    /// The whole new configuration as the operator wrote it.
    pub text: String,
    /// The configuration parsed from the text, or the faults found in it.
    pub checked: Result<Inventory, Vec<ConfigFinding>>,
}

impl ConfigChange {
    /// Parses and checks the text; `file` is the file name that findings are reported for.
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

    /// Computes the digest of what the operator sent: base and text. A resend has the same digest.
    #[must_use]
    pub fn digest(&self) -> Digest {
        Digest::of(&encode(&(self.base, &self.text)))
    }
}

fn to_config_findings(findings: Findings) -> Vec<ConfigFinding> {
    let to_config_finding = |finding: mgw_settings::Finding| ConfigFinding {
        line: finding.line,
        key: finding.key,
        message: finding.message,
    };
    findings.all.into_iter().map(to_config_finding).collect()
}
