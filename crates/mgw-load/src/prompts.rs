//! Generator of prompts, from words that occur in the requests of users' tools.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::settings::Settings;

/// Random number stream that prompts are drawn from.
const PROMPT_STREAM: u64 = u64::MAX;
/// Random number stream that the shared start of group 0 is drawn from; group N uses the stream N
/// below it.
const FIRST_GROUP_STREAM: u64 = u64::MAX / 2;

const WORDS: [&str; 48] = [
    "draft",
    "an",
    "evacuation",
    "drill",
    "scenario",
    "for",
    "the",
    "office",
    "tower",
    "with",
    "floor",
    "stewards",
    "marshal",
    "quiz",
    "mark",
    "explain",
    "extinguisher",
    "class",
    "in",
    "plain",
    "language",
    "stairwell",
    "smoke",
    "alarm",
    "assembly",
    "point",
    "port",
    "of",
    "spain",
    "logo",
    "concept",
    "palette",
    "rationale",
    "brand",
    "voice",
    "blurb",
    "prairie",
    "co-op",
    "brewery",
    "clinic",
    "wheat",
    "amber",
    "serif",
    "client",
    "review",
    "session",
    "copper",
    "morning",
];

/// Generates the prompts of a run, in order of arrival.
#[derive(Debug, Clone)]
pub struct PromptGenerator {
    fixed_prompt: Option<String>,
    /// The words that the prompts of each group share at their start.
    group_prefixes: Vec<Vec<&'static str>>,
    /// Number of words that follow the shared ones.
    unshared_words: u32,
    rng: ChaCha8Rng,
}

impl PromptGenerator {
    /// Creates a generator whose prompts depend only on the settings.
    #[must_use]
    pub fn new(settings: &Settings) -> Self {
        let prompts = settings.prompts;
        let shared_words = prompts.shared_words.min(prompts.words);
        let group_prefixes = (0..u64::from(prompts.groups.max(1))).map(|group| {
            let mut rng = ChaCha8Rng::seed_from_u64(settings.seed);
            rng.set_stream(FIRST_GROUP_STREAM - group);
            draw_words(shared_words, &mut rng)
        });
        let mut rng = ChaCha8Rng::seed_from_u64(settings.seed);
        rng.set_stream(PROMPT_STREAM);
        Self {
            fixed_prompt: settings.prompt.clone(),
            group_prefixes: group_prefixes.collect(),
            unshared_words: prompts.words - shared_words,
            rng,
        }
    }

    /// Returns the next prompt.
    pub fn next_prompt(&mut self) -> String {
        if let Some(prompt) = &self.fixed_prompt {
            return prompt.clone();
        }
        let group = self.rng.random_range(0..self.group_prefixes.len());
        let mut words = self.group_prefixes[group].clone();
        words.extend(draw_words(self.unshared_words, &mut self.rng));
        words.join(" ")
    }
}

fn draw_words(count: u32, rng: &mut ChaCha8Rng) -> Vec<&'static str> {
    let words = (0..count).map(|_| WORDS[rng.random_range(0..WORDS.len())]);
    words.collect()
}
