//! List of the entries to announce to.

/// Entries that are tried in turn: those of the settings, then the alternatives that an entry
/// named in its last reply.
///
/// ```
/// use mgw_standin::EntryList;
/// let mut entries = EntryList::new(vec!["http://a".to_owned()]);
/// entries.set_alternatives(vec!["http://b".to_owned()]);
/// assert_eq!(entries.current(), Some("http://a"));
/// entries.select_next();
/// assert_eq!(entries.current(), Some("http://b"));
/// entries.select_next();
/// assert_eq!(entries.current(), Some("http://a"));
/// ```
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EntryList {
    configured: Vec<String>,
    alternatives: Vec<String>,
    index: usize,
}

impl EntryList {
    /// Creates a list of the entries of the settings, with the first one selected.
    #[must_use]
    pub fn new(configured: Vec<String>) -> Self {
        Self {
            configured,
            ..Self::default()
        }
    }

    /// Number of entries, configured and alternative.
    #[must_use]
    pub fn len(&self) -> usize {
        self.configured.len() + self.alternatives.len()
    }

    /// Whether the list is empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// URL of the selected entry.
    #[must_use]
    pub fn current(&self) -> Option<&str> {
        let mut all = self.configured.iter().chain(&self.alternatives);
        all.nth(self.index).map(String::as_str)
    }

    /// Selects the next entry; the first one follows the last.
    pub fn select_next(&mut self) {
        self.index = (self.index + 1) % self.len().max(1);
    }

    /// Replaces the alternatives. The selected entry stays in the list and selected.
    pub fn set_alternatives(&mut self, alternatives: Vec<String>) {
        let current = self.current().map(str::to_owned);
        let configured = &self.configured;
        let mut alternatives: Vec<String> = alternatives
            .into_iter()
            .filter(|url| !configured.contains(url))
            .collect();
        if let Some(current) = &current
            && !configured.contains(current)
            && !alternatives.contains(current)
        {
            alternatives.push(current.clone());
        }
        self.alternatives = alternatives;
        let mut all = self.configured.iter().chain(&self.alternatives);
        self.index = all
            .position(|url| Some(url) == current.as_ref())
            .unwrap_or_default();
    }
}
