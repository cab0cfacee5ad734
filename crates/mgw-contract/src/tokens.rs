//! Tokens of prompts and answers, so that entries, engines and load tools agree on them.

/// Number of tokens that a model knows.
pub const VOCABULARY: u32 = 32_000;

/// Token of a prompt without words.
const EMPTY_PROMPT_TOKEN: u32 = 0;
/// Syllables in the text of a token.
const SYLLABLES: u32 = 3;
const CONSONANTS: &[u8; 8] = b"bdklmnrt";
const VOWELS: &[u8; 4] = b"aeio";
/// Syllables to choose from.
const SYLLABLE_KINDS: u32 = 32;

/// Splits a prompt at white space and gives each word a token; never empty.
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
        .map(|word| crc32fast::hash(word.as_bytes()) % VOCABULARY)
        .collect();
    if tokens.is_empty() {
        tokens.push(EMPTY_PROMPT_TOKEN);
    }
    tokens
}

/// Text of a token: a word of its own and a space.
///
/// ```
/// use mgw_contract::tokens::token_text;
/// assert_eq!(token_text(0), "bababa ");
/// assert_ne!(token_text(1), token_text(32));
/// ```
#[must_use]
pub fn token_text(token: u32) -> String {
    let mut text = String::new();
    let mut rest = token % VOCABULARY;
    for _ in 0..SYLLABLES {
        let kind = (rest % SYLLABLE_KINDS) as usize;
        rest /= SYLLABLE_KINDS;
        text.push(char::from(CONSONANTS[kind / VOWELS.len()]));
        text.push(char::from(VOWELS[kind % VOWELS.len()]));
    }
    text.push(' ');
    text
}

/// Tokens in one block of a prefix cache.
pub const PREFIX_BLOCK_TOKENS: usize = 16;

/// Digest of a prefix that is one block longer than the prefix with digest `shorter`; the empty
/// prefix has digest zero.
///
/// ```
/// use mgw_contract::tokens::extend_prefix;
/// let one = extend_prefix(0, &[1, 2]);
/// assert_ne!(one, extend_prefix(0, &[2, 1]));
/// assert_ne!(one, extend_prefix(one, &[1, 2]));
/// ```
#[must_use]
pub fn extend_prefix(shorter: u64, block: &[u32]) -> u64 {
    let mut low = crc32fast::Hasher::new();
    low.update(&shorter.to_le_bytes());
    for token in block {
        low.update(&token.to_le_bytes());
    }
    let low = low.finalize();
    let mut high = crc32fast::Hasher::new_with_initial(low);
    high.update(&shorter.to_be_bytes());
    for token in block {
        high.update(&token.to_be_bytes());
    }
    u64::from(high.finalize()) << u32::BITS | u64::from(low)
}

/// Digests of all prefixes of whole blocks, shortest first.
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
