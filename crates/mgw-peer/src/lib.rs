//! RPC between the system's own processes: `tarpc` over TCP, with mutual TLS where it is
//! configured.

mod codec;
mod gossip;
mod pool;
mod rpc;
mod serve;
mod tls;
mod tunnel;
mod view_server;
mod watch;

pub use codec::Postcard;
pub use gossip::{Gossip, run_gossip};
pub use pool::{CallFailure, PeerPool};
pub use rpc::{
    ConfigRequest, ConfigResponse, EntryReport, FoundingState, JoinRequest, OthersReport,
    PeerError, PeerRpc, PeerRpcClient, PeerRpcRequest, PeerRpcResponse, RoutingPartRequest,
    RoutingPartResponse, RoutingRequest, WatchRequest, WatchResponse,
};
pub use serve::{
    PeerChannel, PeerTransport, TunnelHandler, bind_peer_listener, serve_peers,
    serve_peers_and_tunnels,
};
pub use tls::{GROUP_NAME, GroupError, GroupFiles, GroupIdentity, PeerStream};
pub use tunnel::{ByteStream, IncomingTunnel, TunnelFailure, TunnelRefusal, TunnelRequest};
pub use view_server::ViewServer;
pub use watch::{ControlsCallback, Watch, watch_control};

/// Items that the expansion of [`channel_handler`] refers to.
#[doc(hidden)]
pub mod reexport {
    pub use futures::StreamExt;
    pub use tarpc::server::Channel;
}
