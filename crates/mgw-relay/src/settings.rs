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
    /// Address at which callers are served.
    pub listen: SocketAddr,
    /// Address at which the system's own processes are served.
    pub peer_listen: SocketAddr,
    /// Peer addresses of the controls that are known at the start.
    pub controls: Vec<SocketAddr>,
    /// Settings of the view of nodes and targets.
    pub members: MemberSettings,
    /// Settings of the choice of chains.
    pub chains: ChainSettings,
    /// Retry budget of all entries together for one service; the limit on saved retries is divided
    /// among the entries.
    pub retries: RetryBudgetSettings,
    /// Time from the request to shut down until the process is killed.
    pub grace_ms: Millis,
    /// How long callers may use a list of addresses before they fetch it again.
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
