//! Settings of the placer.

use mgw_world::Millis;

/// Delays and timeouts of the placer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlacerSettings {
    /// Whether empty engines are placed, and others moved, by what can flow through the zone. Otherwise empty
    /// engines get the layers whose holders are the slowest, and others move into gaps only.
    pub by_flow: bool,
    /// How long the number of engines must stay the same before a leader makes its first plan.
    pub settle_ms: Millis,
    /// Longest time that the first plan is delayed by `settle_ms`, from the start of the leader's term.
    pub settle_limit_ms: Millis,
    /// How long a zone must have had a gap (layers that no engine holds) before engines that hold
    /// layers are moved into it: an engine that restarts takes its layers back sooner than a move
    /// would help.
    pub move_delay_ms: Millis,
    /// How long an empty engine without former layers waits for an engine of its zone to leave, if none has
    /// left lately. A replacement starts before the engine that it replaces says that it leaves.
    pub spare_delay_ms: Millis,
    /// Used instead of `spare_delay_ms` if some layers would have a single holder even with the planned
    /// layers: there a wrong choice leaves a gap.
    pub fragile_delay_ms: Millis,
    /// How long a move must have been worth its cost before it is ordered.
    pub rebalance_delay_ms: Millis,
    /// Number of engines of a zone that move at the same time.
    pub moves_at_once: usize,
    /// How long an engine isn't moved to the narrowest layers again after such a move was ordered.
    pub move_rest_ms: Millis,
    /// How long the layers of an absent target are kept for one that starts at its address, and how long its
    /// zone counts it as one to replace.
    pub former_ms: Millis,
    /// Number of orders in a row that a target's report shows as not carried out, after which it gets no
    /// orders for `failed_pause_ms`.
    pub failed_loads: u32,
    /// How long a target whose loads failed gets no orders.
    pub failed_pause_ms: Millis,
    /// Time, in addition to the load itself, within which an order's effect must be announced. After
    /// that the target is asked for its state.
    pub announce_timeout_ms: Millis,
}

impl Default for PlacerSettings {
    fn default() -> Self {
        Self {
            by_flow: true,
            settle_ms: Millis(1_300),
            settle_limit_ms: Millis(4_000),
            move_delay_ms: Millis(2_500),
            spare_delay_ms: Millis(1_200),
            fragile_delay_ms: Millis(2_500),
            rebalance_delay_ms: Millis(500),
            moves_at_once: 2,
            move_rest_ms: Millis(10_000),
            former_ms: Millis(15_000),
            failed_loads: 3,
            failed_pause_ms: Millis(30_000),
            announce_timeout_ms: Millis(3_000),
        }
    }
}
