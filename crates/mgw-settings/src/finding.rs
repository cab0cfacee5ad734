//! Faults found in a settings file.

use std::fmt;

/// One fault and its place.
#[derive(Debug, Clone, PartialEq, Eq, derive_more::Display)]
#[display("{file}:{line}: {key}: {message}")]
pub struct Finding {
    /// File that holds the fault.
    pub file: String,
    /// Line, from one; zero for the file as a whole.
    pub line: u32,
    /// Key, such as `vms[2].place`.
    pub key: String,
    /// What is wrong and what would be right.
    pub message: String,
}

/// All faults of a file.
#[derive(Debug, Clone, Default, PartialEq, Eq, derive_more::Error, derive_more::IntoIterator)]
pub struct Findings {
    /// The faults in the order of their lines.
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
