//! Selection of the entry that a caller uses: caches the reply to its address call while that is
//! valid.

use mgw_contract::caller::{AddressesReply, EntryAddress};
use mgw_world::Millis;

/// Time for which an entry that failed is avoided if there is another.
const AVOID_MS: Millis = Millis(5000);

/// An entry that failed, and when it is no longer avoided.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Failure {
    url: String,
    until: Millis,
}

/// The entry addresses that one caller has, and the entries that it avoids after a failure.
///
/// ```
/// use mgw_load::addresses::AddressBook;
/// use mgw_world::Millis;
/// let mut book = AddressBook::new(vec!["http://a".to_owned()], 0);
/// assert!(book.choose(Millis(0)).is_none());
/// assert_eq!(book.urls_to_ask(), ["http://a"]);
/// ```
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct AddressBook {
    configured: Vec<String>,
    /// Entries of the last reply and of redirects, in order of preference.
    discovered: Vec<String>,
    failures: Vec<Failure>,
    valid_until: Millis,
    first_index: usize,
}

impl AddressBook {
    /// Creates an address book that holds only the configured entries. `first_index`, modulo their
    /// number, is the index of the one that is asked for addresses first.
    #[must_use]
    pub fn new(configured: Vec<String>, first_index: usize) -> Self {
        Self {
            configured,
            first_index,
            ..Self::default()
        }
    }

    /// Returns the entry to send requests to, or `None` when addresses have to be requested first.
    #[must_use]
    pub fn choose(&self, now: Millis) -> Option<&str> {
        if now >= self.valid_until {
            return None;
        }
        let mut discovered = self.discovered.iter();
        discovered
            .find(|url| !self.is_avoided(url))
            .map(String::as_str)
    }

    /// Returns the URLs to ask for addresses, in the order to try them: configured entries, then
    /// discovered ones, with entries that failed moved to the end.
    #[must_use]
    pub fn urls_to_ask(&self) -> Vec<String> {
        let mut urls = self.configured.clone();
        if !urls.is_empty() {
            let first_index = self.first_index % urls.len();
            urls.rotate_left(first_index);
        }
        for url in &self.discovered {
            if !urls.contains(url) {
                urls.push(url.clone());
            }
        }
        urls.sort_by_key(|url| self.is_avoided(url));
        urls
    }

    /// Replaces the discovered entries by those of a reply to an address call. If all of them are
    /// avoided, the failures are forgotten.
    pub fn update(&mut self, reply: &AddressesReply, now: Millis) {
        let urls = reply.entries.iter().map(|entry| entry.url.clone());
        self.discovered = urls.collect();
        self.valid_until = now + reply.valid_ms;
        self.failures.retain(|failure| now < failure.until);
        if self.discovered.iter().all(|url| self.is_avoided(url)) {
            self.failures.clear();
        }
    }

    /// Records that an entry can't be reached.
    pub fn record_failure(&mut self, url: &str, now: Millis) {
        self.failures.retain(|failure| failure.url != url);
        self.failures.push(Failure {
            url: url.to_owned(),
            until: now + AVOID_MS,
        });
    }

    /// Records that the entry `from` redirected the caller: the entries of `retry_at` are preferred
    /// from now on, and `from` is avoided unless it is one of them.
    pub fn record_redirect(&mut self, from: &str, retry_at: &[EntryAddress], now: Millis) {
        if retry_at.is_empty() {
            return;
        }
        if retry_at.iter().all(|entry| entry.url != from) {
            self.record_failure(from, now);
        }
        for entry in retry_at.iter().rev() {
            self.discovered.retain(|url| *url != entry.url);
            self.discovered.insert(0, entry.url.clone());
        }
    }

    fn is_avoided(&self, url: &str) -> bool {
        self.failures.iter().any(|failure| failure.url == url)
    }
}
