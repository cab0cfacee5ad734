//! Operators and their keys.

use std::fmt;

use mgw_world::OperatorName;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// An operator; only the hash of the key is held.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Operator {
    /// Name, as recorded in the audit trail.
    pub name: OperatorName,
    /// SHA-256 of the key, in 64 hexadecimal digits.
    pub key_sha256: String,
}

impl Operator {
    /// Whether the key has the operator's hash. The time taken doesn't depend on the digits.
    #[must_use]
    pub fn accepts(&self, key: &str) -> bool {
        let offered = hash_key(key);
        let held = self.key_sha256.to_ascii_lowercase();
        if offered.len() != held.len() {
            return false;
        }
        let pairs = offered.bytes().zip(held.bytes());
        let difference = pairs.fold(0, |sum, (left, right)| sum | (left ^ right));
        difference == 0
    }
}

impl fmt::Debug for Operator {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("Operator")
            .field("name", &self.name)
            .finish_non_exhaustive()
    }
}

/// SHA-256 of an operator's key in hexadecimal digits.
///
/// ```
/// assert!(mgw_state::hash_key("abc").starts_with("ba7816bf"));
/// ```
#[must_use]
pub fn hash_key(key: &str) -> String {
    let digest = Sha256::digest(key.as_bytes());
    digest.iter().map(|byte| format!("{byte:02x}")).collect()
}
