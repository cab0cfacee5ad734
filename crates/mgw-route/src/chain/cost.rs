//! Estimated cost of running a request on a target.

use mgw_world::{Accelerator, PipelineModel};

use super::fleet::{Member, OthersLoad};
use super::router::ChainSettings;

/// Size of a request, from which its load on each target of a chain follows.
#[derive(Debug, Clone, Copy)]
pub(super) struct RequestSize {
    pub prompt_tokens: f64,
    pub answer_tokens: f64,
}

impl RequestSize {
    /// Tokens in the request's KV cache once the answer is complete.
    pub fn kv_tokens(self) -> f64 {
        self.prompt_tokens + self.answer_tokens
    }
}

/// What this entry knows about the load that the other entries put on targets.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum OtherEntries {
    /// Their load was received recently.
    Known {
        /// Mean number of other entries in a zone; those of this entry's zone are expected to
        /// choose much as it does.
        per_place: f64,
    },
    /// No recent report; each is assumed to load a target as much as this entry does.
    Assumed,
}

/// Utilization of a target by the requests of all entries, as estimated by this one.
#[derive(Debug, Clone, Copy)]
pub(super) struct Utilization {
    /// Fraction of the KV cache in use.
    pub kv_share: f64,
    /// Requests whose chains include the target.
    pub requests: f64,
    /// Requests whose chains start at the target, as a fraction of its limit for these.
    pub received_share: f64,
}

impl Utilization {
    /// The larger of the two fractions: the one that lets the target refuse a request first.
    pub fn max_share(&self) -> f64 {
        self.kv_share.max(self.received_share)
    }

    /// Adds this entry's load to that of the other entries. The entries of this zone are assumed to
    /// have chosen as this one did since their last report. Without a recent report, every other
    /// entry is assumed to load the target as much as this one does.
    pub fn of(member: &Member, other_entries: OtherEntries, settings: &ChainSettings) -> Self {
        let own = member.used_token_layers;
        let requests = f64::from(member.requests);
        let other_count = f64::from(settings.entries.max(1)) - 1.0;
        let received = f64::from(member.received);
        let other_entries = match other_entries {
            OtherEntries::Known { per_place } => OthersLoad {
                token_layers: member.others_load.token_layers
                    + member.token_layers_since_report * per_place,
                requests: member.others_load.requests,
                received: member.others_load.received + member.received_since_report * per_place,
            },
            OtherEntries::Assumed => OthersLoad {
                token_layers: own * other_count,
                requests: requests * other_count,
                received: received * other_count,
            },
        };
        let max_received = f64::from(member.target.max_received.max(1));
        Self {
            kv_share: (own + other_entries.token_layers) / member.capacity_token_layers.max(1.0),
            requests: requests + other_entries.requests,
            received_share: (received + other_entries.received) / max_received,
        }
    }
}

/// Milliseconds that a request spends at a target that runs `layers` layers of it.
pub(super) fn request_ms(
    model: &PipelineModel,
    accelerator: &Accelerator,
    layers: u16,
    size: RequestSize,
    batch: f64,
) -> f64 {
    let prefill_ms = size.prompt_tokens / model.prefill_tokens_per_ms.max(f64::MIN_POSITIVE);
    let context = model.context_step_ms * size.kv_tokens() / 1_000.0;
    let step_ms = model.step_ms + batch * (model.request_step_ms + context);
    let decode_ms = size.answer_tokens * step_ms * accelerator.step_factor;
    model.share(layers) * (prefill_ms * accelerator.prefill_factor + decode_ms)
}

/// Factor on the cost of a target that grows as its memory fills: a request there is more likely to
/// be preempted and to have its prefill repeated.
pub(crate) fn utilization_factor(utilization: f64, max_utilization: f64) -> f64 {
    let filled = utilization / max_utilization.max(f64::MIN_POSITIVE);
    1.0 / (1.0 - filled * filled).clamp(0.05, 1.0)
}
