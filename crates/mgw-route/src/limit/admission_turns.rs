//! Turns of refused requests: when they come back, and who goes first then.

use std::collections::HashMap;

use mgw_world::{EMPTY_HASH, Millis, RequestDigest, WorkspaceName, extend_hash, hash_bytes};

use super::level::RETURN_CYCLE_MS;

/// How long a turn lasts: a caller comes back within it after `Retry-After`.
const TURN_MS: Millis = Millis(400);
/// Shortest time until a caller comes back.
const MIN_RETURN_MS: Millis = Millis(300);
/// Most cycles that less urgent requests wait in addition.
const MAX_EXTRA_CYCLES: u64 = 1;
/// Requests after which counts are halved, so that they follow the load.
const COUNTED_REQUESTS: f64 = 64.0;
/// Lowest bits of a hash, which are the least mixed.
const HASH_SHIFT: u32 = 16;
/// Spreads the seeds of entries over all bits.
const SEED_SPREAD: u64 = 0x0100_0000_01b3;
/// Requests that the usual fraction of turns weighs at the start.
const PRIOR_REQUESTS: f64 = 6.0;

/// Time since the turn of a request began, at a position in the cycle. The digest is the same in each
/// attempt, so that every entry finds the same turn.
fn since_turn_ms(digest: &RequestDigest, phase_ms: Millis) -> Millis {
    let hash = hash_bytes(digest.0);
    let cycle = RETURN_CYCLE_MS.0;
    let turn_ms = (hash >> HASH_SHIFT) % cycle;
    Millis((phase_ms.0 % cycle + cycle - turn_ms) % cycle)
}

/// Whether a request has its turn.
pub(super) fn has_turn(digest: &RequestDigest, phase_ms: Millis) -> bool {
    since_turn_ms(digest, phase_ms) < TURN_MS
}

/// Time until the next turn of a request that is `ranks` less urgent than the level.
pub(super) fn return_ms(digest: &RequestDigest, phase_ms: Millis, ranks: u8) -> Millis {
    let extra = u64::from(ranks).min(MAX_EXTRA_CYCLES);
    let wait_ms = RETURN_CYCLE_MS - since_turn_ms(digest, phase_ms);
    let wait_ms = if wait_ms < MIN_RETURN_MS {
        wait_ms + RETURN_CYCLE_MS
    } else {
        wait_ms
    };
    wait_ms + RETURN_CYCLE_MS.times(extra)
}

/// Divides the admitted share of one urgency: those that have their turn go first, and each workspace
/// gets the same fraction of what it asks for, whatever its size.
#[derive(Debug, Clone)]
pub(super) struct FairShare {
    requests: f64,
    turns: f64,
    /// Admissions that a workspace has earned and not used, by whether its requests have their turn.
    earned: HashMap<(Option<WorkspaceName>, bool), f64>,
    seed: u64,
}

impl FairShare {
    /// Creates the state; `seed` differs between entries, so that not all of them admit together.
    pub(super) fn new(seed: u64) -> Self {
        Self {
            requests: PRIOR_REQUESTS,
            turns: PRIOR_REQUESTS * TURN_MS.0 as f64 / RETURN_CYCLE_MS.0 as f64,
            earned: HashMap::new(),
            seed,
        }
    }

    /// Whether a request is admitted, where `share` of all are.
    pub(super) fn admit(
        &mut self,
        workspace: Option<&WorkspaceName>,
        has_turn: bool,
        share: f64,
    ) -> bool {
        let share = self.share_of(has_turn, share);
        self.count(has_turn);
        let seed = self.seed;
        let key = (workspace.cloned(), has_turn);
        let first = || start_of(seed, workspace, has_turn);
        let earned = self.earned.entry(key).or_insert_with(first);
        *earned = (*earned + share).min(2.0);
        if *earned < 1.0 {
            return false;
        }
        *earned -= 1.0;
        true
    }

    /// The share of those that have their turn or of the others; both together have `share`.
    fn share_of(&self, has_turn: bool, share: f64) -> f64 {
        let turns = (self.turns / self.requests).clamp(0.0, 1.0);
        if has_turn {
            return (share / turns.max(f64::MIN_POSITIVE)).min(1.0);
        }
        ((share - turns) / (1.0 - turns).max(f64::MIN_POSITIVE)).clamp(0.0, 1.0)
    }

    fn count(&mut self, has_turn: bool) {
        self.requests += 1.0;
        self.turns += f64::from(u8::from(has_turn));
        if self.requests > COUNTED_REQUESTS {
            self.requests /= 2.0;
            self.turns /= 2.0;
        }
    }
}

/// What a workspace has earned at its first request: evenly distributed over entries and workspaces.
fn start_of(seed: u64, workspace: Option<&WorkspaceName>, has_turn: bool) -> f64 {
    let name = workspace.map(WorkspaceName::as_str).unwrap_or_default();
    let bytes = name.bytes().chain([u8::from(has_turn)]);
    let hash = extend_hash(EMPTY_HASH ^ seed.wrapping_mul(SEED_SPREAD), bytes);
    let mixed = (hash ^ (hash >> 32)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    (mixed >> 11) as f64 / (1_u64 << 53) as f64
}
