//! A deterministic toy model. A layer that is skipped, repeated or run out of order changes all
//! later output.

use bytes::Bytes;
use mgw_contract::tokens::VOCABULARY_SIZE;
use mgw_world::{LayerRange, ModelName, ModelVersion, Position};
use sha2::{Digest, Sha256};

/// Size of the value that an activation carries.
pub const VALUE_BYTES: usize = size_of::<u64>();

/// Derives the seed of a model's weights from its name and version.
#[must_use]
pub fn model_seed(model: &ModelName, version: &ModelVersion) -> u64 {
    let mut hasher = Sha256::new();
    hasher.update(model.as_str().as_bytes());
    hasher.update([0]);
    hasher.update(version.as_str().as_bytes());
    let digest = hasher.finalize();
    let mut seed = [0; VALUE_BYTES];
    seed.copy_from_slice(&digest[..VALUE_BYTES]);
    u64::from_le_bytes(seed)
}

/// Hashes two words into one; the result depends on their order.
const fn mix(left: u64, right: u64) -> u64 {
    let mut word = left.rotate_left(23) ^ right.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    word = (word ^ (word >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    word = (word ^ (word >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    word ^ (word >> 31)
}

/// Returns the value that enters the first layer for a token.
#[must_use]
pub const fn embed(seed: u64, token: u32) -> u64 {
    mix(seed, token as u64)
}

/// Returns the token for a value that leaves the last layer.
#[must_use]
pub const fn pick_token(value: u64) -> u32 {
    (value % VOCABULARY_SIZE as u64) as u32
}

/// Returns the KV states of a session before its first position, one for each layer.
#[must_use]
pub fn initial_states(seed: u64, layers: LayerRange) -> Vec<u64> {
    let layers = layers.first()..layers.end();
    layers.map(|layer| mix(!seed, u64::from(layer))).collect()
}

/// Runs layers on one position: updates their KV states and returns the value that leaves the last
/// layer.
pub fn run_layers(states: &mut [u64], first_layer: u16, position: Position, value: u64) -> u64 {
    let mut value = value;
    for (layer, state) in (u64::from(first_layer)..).zip(states.iter_mut()) {
        let layer_and_position = layer << u32::BITS | u64::from(position.0);
        *state = mix(mix(*state, layer_and_position), value);
        value = mix(value, *state);
    }
    value
}

/// Returns the answer of a model that runs every layer once for each token, in order.
///
/// ```
/// use mgw_standin::model::{model_seed, reference_answer};
/// let seed = model_seed(&"drill".into(), &"v1".into());
/// let long = reference_answer(seed, 12, &[1, 2, 3], 8);
/// assert_eq!(long[..4], reference_answer(seed, 12, &[1, 2, 3], 4));
/// assert_ne!(long, reference_answer(seed, 11, &[1, 2, 3], 8));
/// ```
#[must_use]
pub fn reference_answer(seed: u64, layers: u16, prompt: &[u32], count: u32) -> Vec<u32> {
    let Ok(range) = LayerRange::new(0, layers) else {
        return Vec::new();
    };
    let mut states = initial_states(seed, range);
    let mut position = Position(0);
    let mut value = 0;
    for token in prompt {
        value = run_layers(&mut states, 0, position, embed(seed, *token));
        position = position.advance(1);
    }
    let mut answer = Vec::new();
    for _ in 0..count {
        let token = pick_token(value);
        answer.push(token);
        value = run_layers(&mut states, 0, position, embed(seed, token));
        position = position.advance(1);
    }
    answer
}

/// Encodes the values of consecutive positions as activations of `activation_bytes` each. The value
/// is repeated to fill the activation; a remainder shorter than a value is zero.
#[must_use]
pub fn encode_activations(values: &[u64], activation_bytes: usize) -> Bytes {
    let mut bytes = Vec::with_capacity(values.len() * activation_bytes);
    for value in values {
        let end = bytes.len() + activation_bytes;
        let word = value.to_le_bytes();
        while bytes.len() + VALUE_BYTES <= end {
            bytes.extend_from_slice(&word);
        }
        bytes.resize(end, 0);
    }
    Bytes::from(bytes)
}

/// Decodes the values of `count` activations. Returns `None` when the size is wrong or the last
/// repetition of a value doesn't match the first.
#[must_use]
pub fn decode_activations(bytes: &[u8], count: u32, activation_bytes: usize) -> Option<Vec<u64>> {
    if activation_bytes < VALUE_BYTES || bytes.len() != count as usize * activation_bytes {
        return None;
    }
    let activations = bytes.chunks_exact(activation_bytes);
    activations.map(decode_activation).collect()
}

fn decode_activation(activation: &[u8]) -> Option<u64> {
    let (words, _) = activation.as_chunks::<VALUE_BYTES>();
    let first = words.first()?;
    (words.last()? == first).then(|| u64::from_le_bytes(*first))
}
