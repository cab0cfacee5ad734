//! Settings of a relay.

use std::net::{Ipv4Addr, SocketAddr};

use mgw_member::MemberSettings;
use mgw_route::{ChainSettings, RetryBudgetSettings};
use mgw_world::{Millis, NodeName, PlaceName};

/// Settings of a relay.
#[derive(Debug, Clone, PartialEq)]
pub struct RelaySettings {
    /// Name of the process.
    pub name: NodeName,
    /// Zone of its machine.
    pub place: PlaceName,
    /// Where callers are served.
    pub listen: SocketAddr,
    /// Where the system's own processes are served.
    pub peer_listen: SocketAddr,
    /// Controls known at the start.
    pub controls: Vec<SocketAddr>,
    /// View of nodes and targets.
    pub members: MemberSettings,
    /// Choice of chains.
    pub chains: ChainSettings,
    /// Retries of all entries together for one service: those saved up are split between entries.
    pub retries: RetryBudgetSettings,
    /// Time from the request to end until the process is ended by force.
    pub grace_ms: Millis,
    /// How long callers may keep an address list.
    pub addresses_valid_ms: Millis,
}

impl Default for RelaySettings {
    fn default() -> Self {
        let any = SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0));
        Self {
            name: NodeName::default(),
            place: PlaceName::default(),
            listen: any,
            peer_listen: any,
            controls: Vec::new(),
            members: MemberSettings::default(),
            chains: ChainSettings::default(),
            retries: RetryBudgetSettings::default(),
            grace_ms: Millis(8_000),
            addresses_valid_ms: Millis(2_000),
        }
    }
}
