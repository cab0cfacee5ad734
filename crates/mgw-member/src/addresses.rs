//! Selection of the entry addresses that callers receive.

use mgw_contract::caller::{AddressesReply, EntryAddress};
use mgw_world::{EntryName, Millis, PlaceName, hash_bytes, mix_bits};
use serde::{Deserialize, Serialize};

use crate::trust::ramp;
use crate::{NodeInfo, NodePhase, NodeRole, NodeStatus, View};

/// Number of addresses in an answer and how long callers may use them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct AddressSettings {
    /// Maximum number of entries in an answer.
    pub max_entries: usize,
    /// Maximum number of entries in the caller's place while there are enough elsewhere.
    pub max_near: usize,
    /// How long callers may use an answer.
    pub valid_ms: Millis,
    /// How long callers may use an answer of an entry whose availability is not
    /// [`Availability::Full`] or that sees no other entry alive.
    pub unsure_valid_ms: Millis,
}

impl Default for AddressSettings {
    fn default() -> Self {
        Self {
            max_entries: 3,
            max_near: 2,
            valid_ms: Millis(10_000),
            unsure_valid_ms: Millis(2_000),
        }
    }
}

/// Whether a node may serve callers and give out addresses, according to its view.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
pub enum Availability {
    /// It includes itself in address lists and accepts every kind of request.
    #[display("full")]
    Full,
    /// Its view isn't complete: it gives out other entries if it knows any.
    #[display("starting")]
    Starting,
    /// It is leaving: it still serves callers that reach it, and gives out other entries.
    #[display("leaving")]
    Leaving,
    /// More than half of the nodes that are presumed alive are silent here: it gives out other
    /// entries. It completes requests whose targets announce themselves to it or are in a fresh
    /// record; it answers calls that need the quorum "not run" with the addresses of other
    /// entries.
    #[display("cut off")]
    CutOff,
    /// No other node is presumed alive: it includes itself in address lists.
    #[display("alone")]
    Alone,
}

impl Availability {
    /// Whether a node in this state includes itself in address lists while it knows other entries.
    #[must_use]
    pub const fn advertises_itself(self) -> bool {
        matches!(self, Self::Full | Self::Alone)
    }
}

/// Derives the availability of this node from its phase and its view.
#[must_use]
pub fn determine_availability(view: &View, now: Millis) -> Availability {
    if view.own_info().phase == NodePhase::Leaving {
        Availability::Leaving
    } else if view.own_info().phase == NodePhase::Starting || !view.is_complete() {
        Availability::Starting
    } else if view.is_cut_off(now) {
        Availability::CutOff
    } else if view.is_alone(now) {
        Availability::Alone
    } else {
        Availability::Full
    }
}

/// Hashes a caller for [`choose_addresses`]; the result is the same on every entry and in every
/// build.
///
/// A caller that names itself gets the same entries in each answer. For one that doesn't, the hash
/// comes from `draw`, a new random number for each call, so that callers which send the same call
/// aren't all sent to the same entry.
#[must_use]
pub fn hash_caller(workspace: Option<&str>, caller: Option<&str>, draw: u64) -> u64 {
    let Some(caller) = caller else {
        return mix_bits(draw);
    };
    let workspace = hash_bytes(workspace.unwrap_or_default().bytes());
    mix_bits(workspace) ^ mix_bits(hash_bytes(caller.bytes()).rotate_left(32))
}

/// Chooses the entries that a caller should use, in order of preference.
///
/// Callers with the same hash and place get the same entries while the view doesn't change. Over
/// many callers, each entry is chosen in proportion to its weight.
#[must_use]
pub fn choose_addresses(
    view: &View,
    settings: &AddressSettings,
    caller_place: Option<&PlaceName>,
    caller_hash: u64,
    now: Millis,
) -> AddressesReply {
    let availability = determine_availability(view, now);
    let nodes = view.nodes(now);
    let entries = nodes.iter().filter(|node| is_serving_entry(node.info));
    let other_entries = entries.filter(|node| node.info.name != view.own_info().name);
    let mut candidates: Vec<&NodeStatus<'_>> = match availability {
        Availability::CutOff => other_entries
            .filter(|node| view.is_presumed_alive(node))
            .collect(),
        _ => other_entries
            .filter(|node| node.is_alive && !node.refuses_connections)
            .collect(),
    };
    // A process that resumes after a freeze has no fresh record yet: fall back to the entries that
    // are presumed alive from their last record.
    let no_entry_alive = candidates.is_empty();
    if no_entry_alive {
        let entries = nodes.iter().filter(|node| is_serving_entry(node.info));
        let other_entries = entries.filter(|node| node.info.name != view.own_info().name);
        candidates.extend(other_entries.filter(|node| view.is_presumed_alive(node)));
    }
    if availability.advertises_itself() || candidates.is_empty() {
        let own = nodes
            .iter()
            .filter(|node| node.info.name == view.own_info().name);
        candidates.extend(own.filter(|node| node.info.role == NodeRole::Entry));
    }
    let ranked = rank_by_weight(view, &candidates, caller_hash, now);
    let selected = select_entries(&ranked, caller_place, settings);
    AddressesReply {
        entries: selected.into_iter().map(to_address).collect(),
        valid_ms: if availability == Availability::Full && !no_entry_alive {
            settings.valid_ms
        } else {
            settings.unsure_valid_ms
        },
    }
}

fn is_serving_entry(info: &NodeInfo) -> bool {
    info.role == NodeRole::Entry && info.phase == NodePhase::Serving
}

fn to_address(info: &NodeInfo) -> EntryAddress {
    EntryAddress {
        name: EntryName::from(info.name.as_str()),
        url: info.url.clone(),
    }
}

/// Orders entries by weighted rendezvous hashing.
fn rank_by_weight<'a>(
    view: &View,
    candidates: &[&NodeStatus<'a>],
    caller_hash: u64,
    now: Millis,
) -> Vec<&'a NodeInfo> {
    let mut scored: Vec<(f64, &NodeInfo)> = candidates
        .iter()
        .map(|node| {
            let warm_up_share = ramp(now - node.known_since, view.settings().warm_ms, 0.1);
            let warm_up_share = if node.known_since <= view.started_at() {
                1.0
            } else {
                warm_up_share
            };
            let weight = f64::from(node.info.weight.max(1)) * warm_up_share;
            let hash = mix_bits(mix_bits(caller_hash) ^ node.info.id().get());
            (-unit_interval(hash).ln() / weight, node.info)
        })
        .collect();
    scored.sort_by(|a, b| a.0.total_cmp(&b.0).then_with(|| a.1.name.cmp(&b.1.name)));
    scored.into_iter().map(|(_, info)| info).collect()
}

/// Selects up to `max_near` entries in the caller's place first, then entries elsewhere, then the
/// remaining ones in the caller's place.
fn select_entries<'a>(
    ranked: &[&'a NodeInfo],
    caller_place: Option<&PlaceName>,
    settings: &AddressSettings,
) -> Vec<&'a NodeInfo> {
    let is_near = |info: &&NodeInfo| Some(&info.place) == caller_place;
    let near: Vec<&NodeInfo> = ranked.iter().copied().filter(is_near).collect();
    let far: Vec<&NodeInfo> = ranked
        .iter()
        .copied()
        .filter(|info| !is_near(info))
        .collect();
    let first = near.iter().take(settings.max_near);
    let remaining_near = near.iter().skip(settings.max_near);
    let order = first.chain(&far).chain(remaining_near).copied();
    order.take(settings.max_entries.max(1)).collect()
}

/// Maps a hash to a number in the interval (0, 1].
#[expect(clippy::cast_precision_loss, reason = "only 52 bits are used")]
const fn unit_interval(hash: u64) -> f64 {
    ((hash >> 12) + 1) as f64 / (1_u64 << 52) as f64
}
