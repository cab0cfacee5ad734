//! Which entries a caller uses: the answer to its address call, kept while it is valid.

use mgw_contract::caller::{AddressesReply, EntryAddress};
use mgw_world::Millis;

/// Time for which an entry that failed is left alone if there is another.
const AVOID_MS: Millis = Millis(5000);

#[derive(Debug, Clone, PartialEq, Eq)]
struct Failure {
    url: String,
    until: Millis,
}

/// A caller's knowledge of entries.
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
    known: Vec<String>,
    failed: Vec<Failure>,
    valid_until: Millis,
    turn: usize,
}

impl AddressBook {
    /// A book that knows only the entries it was given; `turn` says which it asks first.
    #[must_use]
    pub fn new(configured: Vec<String>, turn: usize) -> Self {
        Self {
            configured,
            turn,
            ..Self::default()
        }
    }

    /// The entry to use; none when the entries have to be asked first.
    #[must_use]
    pub fn choose(&self, now: Millis) -> Option<&str> {
        if now >= self.valid_until {
            return None;
        }
        let mut known = self.known.iter();
        known.find(|url| !self.avoids(url)).map(String::as_str)
    }

    /// URLs to ask for addresses, in the order to try them: given ones and known ones, those that
    /// failed last.
    #[must_use]
    pub fn urls_to_ask(&self) -> Vec<String> {
        let mut urls = self.configured.clone();
        if !urls.is_empty() {
            let turn = self.turn % urls.len();
            urls.rotate_left(turn);
        }
        for url in &self.known {
            if !urls.contains(url) {
                urls.push(url.clone());
            }
        }
        urls.sort_by_key(|url| self.avoids(url));
        urls
    }

    /// Takes the answer to an address call.
    pub fn learn(&mut self, reply: &AddressesReply, now: Millis) {
        let urls = reply.entries.iter().map(|entry| entry.url.clone());
        self.known = urls.collect();
        self.valid_until = now + reply.valid_ms;
        self.failed.retain(|failure| now < failure.until);
        if self.known.iter().all(|url| self.avoids(url)) {
            self.failed.clear();
        }
    }

    /// Notes that an entry can't be reached.
    pub fn note_failure(&mut self, url: &str, now: Millis) {
        self.failed.retain(|failure| failure.url != url);
        self.failed.push(Failure {
            url: url.to_owned(),
            until: now + AVOID_MS,
        });
    }

    /// Notes that an entry sent the caller elsewhere.
    pub fn note_redirect(&mut self, from: &str, retry_at: &[EntryAddress], now: Millis) {
        if retry_at.is_empty() {
            return;
        }
        if retry_at.iter().all(|entry| entry.url != from) {
            self.note_failure(from, now);
        }
        for entry in retry_at.iter().rev() {
            self.known.retain(|url| *url != entry.url);
            self.known.insert(0, entry.url.clone());
        }
    }

    fn avoids(&self, url: &str) -> bool {
        self.failed.iter().any(|failure| failure.url == url)
    }
}
