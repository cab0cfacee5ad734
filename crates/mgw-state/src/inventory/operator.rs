//! Operators and the check of their keys.

use std::fmt;

use mgw_world::OperatorName;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// An operator; only the hash of the key is stored.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Operator {
    /// Name, which the audit trail records.
    pub name: OperatorName,
    /// SHA-256 of the key, in 64 hexadecimal digits.
    pub key_sha256: String,
}

impl Operator {
    /// Whether the hash of the key is the operator's. The comparison takes the same time wherever
    /// the hashes differ.
    #[must_use]
    pub fn accepts(&self, key: &str) -> bool {
        let offered_hash = hash_key(key);
        let expected_hash = self.key_sha256.to_ascii_lowercase();
        if offered_hash.len() != expected_hash.len() {
            return false;
        }
        let pairs = offered_hash.bytes().zip(expected_hash.bytes());
        let difference = pairs.fold(0, |difference, (left, right)| difference | (left ^ right));
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

/// Returns the SHA-256 hash of an operator's key in hexadecimal digits.
///
/// ```
/// assert!(mgw_state::hash_key("abc").starts_with("ba7816bf"));
/// ```
#[must_use]
pub fn hash_key(key: &str) -> String {
    let digest = Sha256::digest(key.as_bytes());
    digest.iter().map(|byte| format!("{byte:02x}")).collect()
}
