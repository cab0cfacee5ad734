//! Messages of the placer: what engines announce, orders, their outcomes, and decisions for the log.

use std::net::SocketAddr;

use mgw_world::{AcceleratorKind, Incarnation, LayerRange, PlaceName, TargetName};

/// The state that an engine announced.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AnnouncedEngine {
    /// Name of the target.
    pub name: TargetName,
    /// Start of the target's process; differs after each restart.
    pub incarnation: Incarnation,
    /// Address at which the target accepts calls.
    pub address: SocketAddr,
    /// Availability zone of the target.
    pub place: PlaceName,
    /// Kind of accelerator.
    pub accelerator: AcceleratorKind,
    /// Layers that the engine holds; `None` if it holds none.
    pub layers: Option<LayerRange>,
}

/// An order to a target to hold a range of layers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlacementOrder {
    /// Name of the target that receives the order.
    pub target: TargetName,
    /// Start of the target's process for which the order was planned.
    pub incarnation: Incarnation,
    /// Address at which the target accepts calls.
    pub address: SocketAddr,
    /// Layers that the target holds once the order is carried out.
    pub layers: LayerRange,
    /// Precondition: number of orders that the target has accepted so far. A target with another
    /// number refuses the order.
    pub accepted_orders: u64,
}

/// A target's answer to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The target started to carry the order out.
    Begun,
    /// The target already holds these layers.
    Holds,
    /// The target refused: it has accepted another number of orders than stated, or can't carry the
    /// order out in its state.
    Refused,
    /// No answer arrived: the target may still carry the order out at any time.
    Unknown,
}

/// Why an engine gets an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DecisionCause {
    /// It holds no layers.
    Empty,
    /// It moves to layers that no other engine holds.
    Gap,
    /// It moves to the narrowest layers of its zone.
    Rebalance,
}

/// A decision of the placer, for the log.
#[derive(Debug, Clone, PartialEq)]
pub struct Decision {
    /// Zone of the target.
    pub place: PlaceName,
    /// Name of the target.
    pub target: TargetName,
    /// Layers that it shall hold.
    pub layers: LayerRange,
    /// Why it gets the order.
    pub cause: DecisionCause,
    /// Tokens that can flow through the zone before its orders of this round.
    pub flow_before_tokens: f64,
    /// Tokens that can flow once they are carried out.
    pub flow_after_tokens: f64,
    /// Narrowest layers before the orders.
    pub narrowest: Option<LayerRange>,
}
