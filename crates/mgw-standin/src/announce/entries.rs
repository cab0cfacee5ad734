//! The entries to announce to.

/// Entries tried in turn: those of the settings, and those that entries told of.
///
/// ```
/// use mgw_standin::EntryList;
/// let mut entries = EntryList::new(vec!["http://a".to_owned()]);
/// entries.learn(vec!["http://b".to_owned()]);
/// assert_eq!(entries.current(), Some("http://a"));
/// entries.skip();
/// assert_eq!(entries.current(), Some("http://b"));
/// entries.skip();
/// assert_eq!(entries.current(), Some("http://a"));
/// ```
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EntryList {
    configured: Vec<String>,
    learned: Vec<String>,
    index: usize,
}

impl EntryList {
    /// Starts with the entries of the settings.
    #[must_use]
    pub fn new(configured: Vec<String>) -> Self {
        Self {
            configured,
            ..Self::default()
        }
    }

    /// Number of entries.
    #[must_use]
    pub fn len(&self) -> usize {
        self.configured.len() + self.learned.len()
    }

    /// Whether there is none.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// The entry to speak to.
    #[must_use]
    pub fn current(&self) -> Option<&str> {
        let mut all = self.configured.iter().chain(&self.learned);
        all.nth(self.index).map(String::as_str)
    }

    /// Goes on to the next entry.
    pub fn skip(&mut self) {
        self.index = (self.index + 1) % self.len().max(1);
    }

    /// Replaces the entries told of before; the present one stays present.
    pub fn learn(&mut self, alternatives: Vec<String>) {
        let current = self.current().map(str::to_owned);
        let configured = &self.configured;
        let mut learned: Vec<String> = alternatives
            .into_iter()
            .filter(|url| !configured.contains(url))
            .collect();
        if let Some(current) = &current
            && !configured.contains(current)
            && !learned.contains(current)
        {
            learned.push(current.clone());
        }
        self.learned = learned;
        let mut all = self.configured.iter().chain(&self.learned);
        self.index = all
            .position(|url| Some(url) == current.as_ref())
            .unwrap_or_default();
    }
}
