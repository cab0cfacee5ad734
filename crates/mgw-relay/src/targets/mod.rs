//! Targets: which ones are usable, connections to them, sends and probes.

mod connection_pool;
mod notices;
mod plain_balancer;
mod plain_probe;
mod probe;
mod send;
mod usable;

pub use connection_pool::{ConnectionPool, Dial, PooledConnection, dial_tcp};
pub use plain_balancer::{NoTarget, PlainBalancer, PlainReservation};
pub use plain_probe::probe_plain_after_break;
pub use probe::{probe_after_break, probe_hops};
pub use send::{Answer, OutboundRequest, SendFailure, SentAt, send};
pub use usable::{UsableTarget, UsableTargets};
