//! Prompts made of the words that the users' tools send.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::settings::Settings;

/// Stream of the generator that prompts are drawn from.
const PROMPT_STREAM: u64 = u64::MAX;
/// Stream of the generator that shared starts are drawn from, less the group's number.
const GROUP_STREAM: u64 = u64::MAX / 2;

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

/// Makes prompts one after another.
#[derive(Debug, Clone)]
pub struct PromptMaker {
    fixed: Option<String>,
    groups: Vec<Vec<&'static str>>,
    own_words: u32,
    random: ChaCha8Rng,
}

impl PromptMaker {
    /// A maker whose prompts follow from the settings' seed.
    #[must_use]
    pub fn new(settings: &Settings) -> Self {
        let prompts = settings.prompts;
        let shared_words = prompts.shared_words.min(prompts.words);
        let groups = (0..u64::from(prompts.groups.max(1))).map(|group| {
            let mut random = ChaCha8Rng::seed_from_u64(settings.seed);
            random.set_stream(GROUP_STREAM - group);
            draw_words(shared_words, &mut random)
        });
        let mut random = ChaCha8Rng::seed_from_u64(settings.seed);
        random.set_stream(PROMPT_STREAM);
        Self {
            fixed: settings.prompt.clone(),
            groups: groups.collect(),
            own_words: prompts.words - shared_words,
            random,
        }
    }

    /// The next prompt.
    pub fn next_prompt(&mut self) -> String {
        if let Some(fixed) = &self.fixed {
            return fixed.clone();
        }
        let group = self.random.random_range(0..self.groups.len());
        let mut words = self.groups[group].clone();
        words.extend(draw_words(self.own_words, &mut self.random));
        words.join(" ")
    }
}

fn draw_words(count: u32, random: &mut ChaCha8Rng) -> Vec<&'static str> {
    let words = (0..count).map(|_| WORDS[random.random_range(0..WORDS.len())]);
    words.collect()
}
