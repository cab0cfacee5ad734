//! Faults found in a settings file.

use std::fmt;

/// One fault and its position in a settings file.
#[derive(Debug, Clone, PartialEq, Eq, derive_more::Display)]
#[display("{file}:{line}: {key}: {message}")]
pub struct Finding {
    /// Path of the file that has the fault.
    pub file: String,
    /// Line number, starting at 1; 0 for the file as a whole.
    pub line: u32,
    /// Path of the key, such as `vms[2].place`; empty if the fault belongs to no key.
    pub key: String,
    /// What is wrong and what was expected.
    pub message: String,
}

/// All faults of a file.
#[derive(Debug, Clone, Default, PartialEq, Eq, derive_more::Error, derive_more::IntoIterator)]
pub struct Findings {
    /// The faults, sorted by line.
    #[error(not(source))]
    #[into_iterator(owned, ref)]
    pub all: Vec<Finding>,
}

impl fmt::Display for Findings {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, finding) in self.all.iter().enumerate() {
            if index > 0 {
                writeln!(formatter)?;
            }
            write!(formatter, "{finding}")?;
        }
        Ok(())
    }
}
