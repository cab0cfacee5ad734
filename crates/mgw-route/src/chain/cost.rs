//! What a request costs at a target.

use mgw_world::{Accelerator, PipelineModel};

use super::fleet::{Elsewhere, Member};
use super::router::ChainSettings;

/// What a request needs of each target on its chain.
#[derive(Debug, Clone, Copy)]
pub(super) struct Work {
    pub prompt_tokens: f64,
    pub answer_tokens: f64,
}

impl Work {
    /// Tokens whose KV cache the request takes at its end.
    pub fn kv_tokens(self) -> f64 {
        self.prompt_tokens + self.answer_tokens
    }
}

/// What is known of the other entries' use.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum Others {
    /// Their words were heard lately.
    Known {
        /// Other entries that choose much as this one does.
        alike: f64,
    },
    /// Nothing was heard.
    Guessed,
}

/// Room at a target as this process sees it.
#[derive(Debug, Clone, Copy)]
pub(super) struct Room {
    /// Part of the KV cache in use, with the requests of all entries.
    pub used_share: f64,
    /// Requests of all entries that pass through.
    pub requests: f64,
    /// Part of the requests that it takes at once as the first of their chains.
    pub received_share: f64,
}

impl Room {
    /// The use of this entry and of the others. Since their last words, the entries of this zone are
    /// taken to have chosen as this one did; where nothing was heard of them, all are taken to use a
    /// target as much as this one does.
    pub fn of(member: &Member, others: Others, settings: &ChainSettings) -> Self {
        let own = member.used_token_layers;
        let requests = f64::from(member.requests);
        let further = f64::from(settings.entries.max(1)) - 1.0;
        let received = f64::from(member.received);
        let others = match others {
            Others::Known { alike } => Elsewhere {
                token_layers: member.elsewhere.token_layers + member.taken_since * alike,
                requests: member.elsewhere.requests,
                received: member.elsewhere.received + member.received_since * alike,
            },
            Others::Guessed => Elsewhere {
                token_layers: own * further,
                requests: requests * further,
                received: received * further,
            },
        };
        let max_received = f64::from(member.target.max_received.max(1));
        Self {
            used_share: (own + others.token_layers) / member.capacity_token_layers.max(1.0),
            requests: requests + others.requests,
            received_share: (received + others.received) / max_received,
        }
    }
}

/// Milliseconds that a request spends at a target for a number of layers.
pub(super) fn request_ms(
    model: &PipelineModel,
    accelerator: &Accelerator,
    layers: u16,
    work: Work,
    batch: f64,
) -> f64 {
    let prefill_ms = work.prompt_tokens / model.prefill_tokens_per_ms.max(f64::MIN_POSITIVE);
    let context = model.context_step_ms * work.kv_tokens() / 1_000.0;
    let step_ms = model.step_ms + batch * (model.request_step_ms + context);
    let decode_ms = work.answer_tokens * step_ms * accelerator.step_factor;
    model.share(layers) * (prefill_ms * accelerator.prefill_factor + decode_ms)
}

/// Factor on the cost of a target whose memory fills: a request there is likelier to be preempted
/// and read again.
pub(super) fn crowding(used_share: f64, full_share: f64) -> f64 {
    let filled = used_share / full_share.max(f64::MIN_POSITIVE);
    1.0 / (1.0 - filled * filled).clamp(0.05, 1.0)
}
