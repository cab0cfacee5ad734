//! RPC interfaces between the system's own processes, by `tarpc` over TCP.

mod codec;
mod pool;
mod rpc;
mod serve;
mod spread;

pub use pool::{CallFailure, PeerPool};
pub use rpc::{
    ConfigAnswer, ConfigQuestion, FoundingState, JoinRequest, PeerError, PeerRpc, PeerRpcClient,
    PeerRpcRequest, PeerRpcResponse,
};
pub use serve::{bind_peer_listener, serve_peers};
pub use spread::{Spread, run_spread};
