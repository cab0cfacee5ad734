//! Tokens of prompts and answers. Entries, engines and load tools share this code, so that they
//! derive the same tokens from the same text.

/// Number of distinct tokens of every model; a token is less than this.
pub const VOCABULARY_SIZE: u32 = 32_000;

/// The only token of a prompt that contains no words.
const EMPTY_PROMPT_TOKEN: u32 = 0;
/// Number of syllables in the text of each token.
const SYLLABLES_PER_TOKEN: u32 = 3;
const CONSONANTS: &[u8; 8] = b"bdklmnrt";
const VOWELS: &[u8; 4] = b"aeio";
/// Number of distinct syllables: each consonant with each vowel.
const DISTINCT_SYLLABLES: u32 = 32;

/// Splits a prompt at white space and maps each word to a token by its hash. The result is never
/// empty.
///
/// ```
/// use mgw_contract::tokens::tokenize;
/// assert_eq!(tokenize("fire drill").len(), 2);
/// assert_eq!(tokenize("fire  drill"), tokenize("fire drill"));
/// assert_eq!(tokenize("").len(), 1);
/// ```
#[must_use]
pub fn tokenize(prompt: &str) -> Vec<u32> {
    let words = prompt.split_whitespace();
    let mut tokens: Vec<u32> = words
        .map(|word| crc32fast::hash(word.as_bytes()) % VOCABULARY_SIZE)
        .collect();
    if tokens.is_empty() {
        tokens.push(EMPTY_PROMPT_TOKEN);
    }
    tokens
}

/// Returns the text of a token: a word that is unique to the token, and a space.
///
/// ```
/// use mgw_contract::tokens::token_text;
/// assert_eq!(token_text(0), "bababa ");
/// assert_ne!(token_text(1), token_text(32));
/// ```
#[must_use]
pub fn token_text(token: u32) -> String {
    let mut text = String::new();
    let mut remainder = token % VOCABULARY_SIZE;
    for _ in 0..SYLLABLES_PER_TOKEN {
        let syllable = (remainder % DISTINCT_SYLLABLES) as usize;
        remainder /= DISTINCT_SYLLABLES;
        text.push(char::from(CONSONANTS[syllable / VOWELS.len()]));
        text.push(char::from(VOWELS[syllable % VOWELS.len()]));
    }
    text.push(' ');
    text
}

/// Number of tokens in one block of a prefix cache.
pub const PREFIX_BLOCK_TOKENS: usize = 16;

/// Returns the digest of the prefix that consists of the prefix with digest `parent_digest`
/// followed by `block`. The digest of the empty prefix is zero.
///
/// ```
/// use mgw_contract::tokens::extend_prefix;
/// let one = extend_prefix(0, &[1, 2]);
/// assert_ne!(one, extend_prefix(0, &[2, 1]));
/// assert_ne!(one, extend_prefix(one, &[1, 2]));
/// ```
#[must_use]
pub fn extend_prefix(parent_digest: u64, block: &[u32]) -> u64 {
    let mut low = crc32fast::Hasher::new();
    low.update(&parent_digest.to_le_bytes());
    for token in block {
        low.update(&token.to_le_bytes());
    }
    let low = low.finalize();
    let mut high = crc32fast::Hasher::new_with_initial(low);
    high.update(&parent_digest.to_be_bytes());
    for token in block {
        high.update(&token.to_be_bytes());
    }
    u64::from(high.finalize()) << u32::BITS | u64::from(low)
}

/// Returns the digests of all prefixes that consist of whole blocks, shortest first. Tokens after
/// the last whole block are ignored.
#[must_use]
pub fn prefix_digests(tokens: &[u32]) -> Vec<u64> {
    let mut digest = 0;
    let blocks = tokens.chunks_exact(PREFIX_BLOCK_TOKENS);
    blocks
        .map(|block| {
            digest = extend_prefix(digest, block);
            digest
        })
        .collect()
}
