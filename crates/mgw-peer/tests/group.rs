//! Mutual TLS between processes: only processes of the same group may call one another.

#![allow(clippy::unwrap_used)]

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

use mgw_member::{Exchange, ExchangeReply, NodeId};
use mgw_peer::{
    CallFailure, ConfigRequest, ConfigResponse, EntryReport, FoundingState, GROUP_NAME, GroupError,
    GroupFiles, GroupIdentity, JoinRequest, OthersReport, PeerError, PeerPool, PeerRpc,
    RoutingPartRequest, RoutingPartResponse, RoutingRequest, WatchRequest, WatchResponse,
    bind_peer_listener, channel_handler, serve_peers,
};
use mgw_quorum::{Envelope, ReplicaId};
use mgw_route::{EvidenceReport, QuarantineUpdate};
use mgw_routing::PackedRouting;
use mgw_state::{Command, Reply};
use mgw_world::{Millis, NodeName};
use rcgen::{BasicConstraints, CertificateParams, IsCa, Issuer, KeyPair};
use tarpc::context::Context;
use tokio_util::sync::CancellationToken;

const CALL_TIMEOUT_MS: Millis = Millis(5_000);

/// Responds to the `founding` call and counts these calls; refuses all others.
#[derive(Clone, Default)]
struct Server {
    founding_calls: Arc<AtomicU32>,
}

impl PeerRpc for Server {
    async fn exchange(self, _: Context, _: Exchange) -> ExchangeReply {
        let from = NodeId::of(&NodeName::from("server"));
        ExchangeReply {
            from,
            buckets: Vec::new(),
            deltas: Vec::new(),
        }
    }

    async fn deliver(self, _: Context, _: Vec<Envelope>) -> Result<(), PeerError> {
        Err(PeerError::NotAControl)
    }

    async fn submit(self, _: Context, _: Command) -> Result<Reply, PeerError> {
        Err(PeerError::NotAControl)
    }

    async fn config(self, _: Context, _: ConfigRequest) -> Result<ConfigResponse, PeerError> {
        Err(PeerError::NotAControl)
    }

    async fn founding(self, _: Context) -> Result<FoundingState, PeerError> {
        self.founding_calls.fetch_add(1, Ordering::SeqCst);
        Ok(FoundingState {
            replica: ReplicaId::new("server", 1),
            is_empty: true,
        })
    }

    async fn join(self, _: Context, _: JoinRequest) -> Result<(), PeerError> {
        Err(PeerError::NotAControl)
    }

    async fn leave(self, _: Context, _: ReplicaId) -> Result<(), PeerError> {
        Err(PeerError::NotAControl)
    }

    async fn watch(self, _: Context, _: WatchRequest) -> Result<WatchResponse, PeerError> {
        Err(PeerError::NotAControl)
    }

    async fn exchange_evidence(
        self,
        _: Context,
        _: NodeName,
        _: EvidenceReport,
    ) -> Result<QuarantineUpdate, PeerError> {
        Err(PeerError::NotAControl)
    }

    async fn copy_evidence(
        self,
        _: Context,
        _: NodeName,
        _: EvidenceReport,
    ) -> Result<(), PeerError> {
        Err(PeerError::NotAControl)
    }

    async fn share_use(
        self,
        _: Context,
        _: NodeName,
        _: EntryReport,
    ) -> Result<OthersReport, PeerError> {
        Err(PeerError::NotAControl)
    }

    async fn routing(
        self,
        _: Context,
        _: RoutingRequest,
    ) -> Result<Option<PackedRouting>, PeerError> {
        Err(PeerError::NotAControl)
    }

    async fn routing_part(
        self,
        _: Context,
        _: RoutingPartRequest,
    ) -> Result<RoutingPartResponse, PeerError> {
        Err(PeerError::NotAControl)
    }
}

/// Creates the certificate authority of a new group and the files of one process in a folder.
fn make_group(folder: &Path) -> GroupFiles {
    std::fs::create_dir_all(folder).unwrap();
    let authority_key = KeyPair::generate().unwrap();
    let mut params = CertificateParams::default();
    params.is_ca = IsCa::Ca(BasicConstraints::Constrained(0));
    let authority = params.self_signed(&authority_key).unwrap();
    let key = KeyPair::generate().unwrap();
    let issuer = Issuer::new(params, authority_key);
    let own = CertificateParams::new(vec![GROUP_NAME.to_owned()]).unwrap();
    let certificate = own.signed_by(&key, &issuer).unwrap();
    let files = GroupFiles {
        authority: folder.join("authority.crt"),
        certificate: folder.join("own.crt"),
        key: folder.join("own.key"),
    };
    std::fs::write(&files.authority, authority.pem()).unwrap();
    std::fs::write(&files.certificate, certificate.pem()).unwrap();
    std::fs::write(&files.key, key.serialize_pem()).unwrap();
    files
}

async fn start_server(identity: Option<GroupIdentity>) -> (SocketAddr, Server) {
    let listener = bind_peer_listener("127.0.0.1:0".parse().unwrap())
        .await
        .unwrap();
    let address = listener.local_addr().unwrap();
    let server = Server::default();
    let handle_channel = channel_handler!(server.clone());
    tokio::spawn(serve_peers(
        listener,
        identity,
        handle_channel,
        CancellationToken::new(),
    ));
    (address, server)
}

async fn call_founding(pool: &PeerPool, address: SocketAddr) -> Result<FoundingState, CallFailure> {
    let response = pool.call(address, CALL_TIMEOUT_MS, |client, context| async move {
        client.founding(context).await
    });
    response.await.map(Result::unwrap)
}

#[tokio::test]
async fn process_of_the_group_is_answered() {
    let folder = tempfile::tempdir().unwrap();
    let identity = GroupIdentity::load(&make_group(folder.path())).unwrap();
    let (address, _) = start_server(Some(identity.clone())).await;
    let response = call_founding(&PeerPool::new(Some(identity)), address).await;
    assert!(response.unwrap().is_empty);
}

#[tokio::test]
async fn process_of_another_group_is_rejected() {
    let folder = tempfile::tempdir().unwrap();
    let ours = GroupIdentity::load(&make_group(&folder.path().join("ours"))).unwrap();
    let theirs = GroupIdentity::load(&make_group(&folder.path().join("theirs"))).unwrap();
    let (address, server) = start_server(Some(ours)).await;
    assert!(
        call_founding(&PeerPool::new(Some(theirs)), address)
            .await
            .is_err()
    );
    assert_eq!(server.founding_calls.load(Ordering::SeqCst), 0);
}

#[tokio::test]
async fn process_without_certificate_is_rejected() {
    let folder = tempfile::tempdir().unwrap();
    let identity = GroupIdentity::load(&make_group(folder.path())).unwrap();
    let (address, server) = start_server(Some(identity)).await;
    assert!(call_founding(&PeerPool::new(None), address).await.is_err());
    assert_eq!(server.founding_calls.load(Ordering::SeqCst), 0);
}

#[tokio::test]
async fn server_without_certificate_is_not_trusted() {
    let folder = tempfile::tempdir().unwrap();
    let identity = GroupIdentity::load(&make_group(folder.path())).unwrap();
    let (address, server) = start_server(None).await;
    assert!(
        call_founding(&PeerPool::new(Some(identity)), address)
            .await
            .is_err()
    );
    assert_eq!(server.founding_calls.load(Ordering::SeqCst), 0);
}

#[tokio::test]
async fn call_to_an_address_without_listener_fails_with_nothing_listens() {
    let probe = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = probe.local_addr().unwrap();
    drop(probe);
    let response = call_founding(&PeerPool::new(None), address).await;
    assert_eq!(response, Err(CallFailure::NothingListens));
}

#[test]
fn missing_key_file_is_named_in_the_error() {
    let folder = tempfile::tempdir().unwrap();
    let mut files = make_group(folder.path());
    files.key = folder.path().join("lost.key");
    let error = GroupIdentity::load(&files).unwrap_err();
    assert!(matches!(error, GroupError::File { .. }));
    assert!(error.to_string().contains("lost.key"), "{error}");
}

#[test]
fn key_that_does_not_match_the_certificate_is_rejected() {
    let folder = tempfile::tempdir().unwrap();
    let mut files = make_group(&folder.path().join("ours"));
    files.key = make_group(&folder.path().join("theirs")).key;
    assert!(matches!(
        GroupIdentity::load(&files),
        Err(GroupError::Mismatch { .. })
    ));
}
