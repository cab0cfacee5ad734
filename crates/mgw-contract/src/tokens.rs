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
