//! The addresses given to callers.

use mgw_contract::caller::{AddressesReply, EntryAddress};
use mgw_world::{EntryName, Millis, PlaceName};
use serde::{Deserialize, Serialize};

use crate::node::{hash_bytes, mix};
use crate::trust::ramp;
use crate::{NodeInfo, NodePhase, NodeRole, NodeStatus, View};

/// How many addresses are given and for how long they may be kept.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct AddressSettings {
    /// Most entries in an answer.
    pub max_entries: usize,
    /// How many of them may stand in the caller's place.
    pub max_near: usize,
    /// How long an answer may be kept.
    pub valid_ms: Millis,
    /// How long an answer of an entry that is cut off or alone may be kept.
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

/// What a node may still do, as far as its view tells.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
pub enum Availability {
    /// It gives itself out and takes every kind of request.
    #[display("full")]
    Full,
    /// Its view isn't complete: it gives out others if it knows any.
    #[display("starting")]
    Starting,
    /// It leaves: it serves who still comes, and gives out others.
    #[display("leaving")]
    Leaving,
    /// Others are believed alive but not heard: it gives out others. It completes requests whose
    /// targets announce themselves to it or are heard; calls that need the quorum are answered
    /// "not run" with the addresses of others.
    #[display("cut off")]
    CutOff,
    /// No other node is believed alive: it gives itself out.
    #[display("alone")]
    Alone,
}

impl Availability {
    /// Whether a node in this state names itself to callers while it knows others.
    #[must_use]
    pub const fn advertises_itself(self) -> bool {
        matches!(self, Self::Full | Self::Alone)
    }
}

/// Judges what this node may still do.
#[must_use]
pub fn determine_availability(view: &View, now: Millis) -> Availability {
    if view.me().phase == NodePhase::Leaving {
        Availability::Leaving
    } else if view.me().phase == NodePhase::Starting || !view.is_complete() {
        Availability::Starting
    } else if view.is_cut_off(now) {
        Availability::CutOff
    } else if view.is_alone(now) {
        Availability::Alone
    } else {
        Availability::Full
    }
}

/// Hashes a caller for [`choose_addresses`], alike on every entry and in every build.
///
/// A caller that names itself keeps its entries from answer to answer. One that doesn't is spread by
/// `draw`, a new random number for each call, so that callers which send the same call aren't all
/// sent to the same entry.
#[must_use]
pub fn hash_caller(workspace: Option<&str>, caller: Option<&str>, draw: u64) -> u64 {
    let Some(caller) = caller else {
        return mix(draw);
    };
    let workspace = hash_bytes(workspace.unwrap_or_default().as_bytes());
    mix(workspace) ^ mix(hash_bytes(caller.as_bytes()).rotate_left(32))
}

/// Chooses the entries that a caller shall use, best first.
///
/// Callers with the same hash and place get the same entries while the view doesn't change; over
/// many callers the entries are taken in proportion to their weight.
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
    let others = entries.filter(|node| node.info.name != view.me().name);
    let mut usable: Vec<&NodeStatus<'_>> = match availability {
        Availability::CutOff => others.filter(|node| view.is_presumed_alive(node)).collect(),
        _ => others
            .filter(|node| node.is_alive && !node.refuses_connections)
            .collect(),
    };
    // A process that was frozen has heard nobody yet: the others are named as last heard.
    let hears_nobody = usable.is_empty();
    if hears_nobody {
        let entries = nodes.iter().filter(|node| is_serving_entry(node.info));
        let others = entries.filter(|node| node.info.name != view.me().name);
        usable.extend(others.filter(|node| view.is_presumed_alive(node)));
    }
    if availability.advertises_itself() || usable.is_empty() {
        let own = nodes.iter().filter(|node| node.info.name == view.me().name);
        usable.extend(own.filter(|node| node.info.role == NodeRole::Entry));
    }
    let ranked = rank(view, &usable, caller_hash, now);
    let picked = pick(&ranked, caller_place, settings);
    AddressesReply {
        entries: picked.into_iter().map(to_address).collect(),
        valid_ms: if availability == Availability::Full && !hears_nobody {
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
fn rank<'a>(
    view: &View,
    usable: &[&NodeStatus<'a>],
    caller_hash: u64,
    now: Millis,
) -> Vec<&'a NodeInfo> {
    let mut scored: Vec<(f64, &NodeInfo)> = usable
        .iter()
        .map(|node| {
            let warm = ramp(now - node.known_since, view.settings().warm_ms, 0.1);
            let warm = if node.known_since <= view.started_at() {
                1.0
            } else {
                warm
            };
            let weight = f64::from(node.info.weight.max(1)) * warm;
            let hash = mix(mix(caller_hash) ^ node.info.id().get());
            (-unit_interval(hash).ln() / weight, node.info)
        })
        .collect();
    scored.sort_by(|a, b| a.0.total_cmp(&b.0).then_with(|| a.1.name.cmp(&b.1.name)));
    scored.into_iter().map(|(_, info)| info).collect()
}

/// Takes near entries first, but leaves room for one elsewhere.
fn pick<'a>(
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
    let rest = near.iter().skip(settings.max_near);
    let order = first.chain(&far).chain(rest).copied();
    order.take(settings.max_entries.max(1)).collect()
}

/// Maps a hash to a number above 0 and up to 1.
#[expect(clippy::cast_precision_loss, reason = "only 52 bits are used")]
const fn unit_interval(hash: u64) -> f64 {
    ((hash >> 12) + 1) as f64 / (1_u64 << 52) as f64
}
