//! Mutual TLS between processes: a process belongs to the group if it has a certificate signed by
//! the group's certificate authority.

use std::path::{Path, PathBuf};
use std::sync::Arc;

use serde::Deserialize;
use tokio::net::TcpStream;
use tokio_rustls::rustls::crypto::ring;
use tokio_rustls::rustls::pki_types::pem::PemObject;
use tokio_rustls::rustls::pki_types::{CertificateDer, PrivateKeyDer, ServerName};
use tokio_rustls::rustls::server::WebPkiClientVerifier;
use tokio_rustls::rustls::{ClientConfig, RootCertStore, ServerConfig};
use tokio_rustls::{TlsAcceptor, TlsConnector, TlsStream};
use tokio_util::either::Either;

/// DNS name in every certificate of a group. All processes share it: a certificate proves that its
/// holder belongs to the group, not which process it is.
pub const GROUP_NAME: &str = "mgw-group";

/// A connection between two processes, with or without TLS.
pub type PeerStream = Either<TcpStream, TlsStream<TcpStream>>;

/// PEM files with which a process proves that it belongs to the group.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GroupFiles {
    /// Certificate of the group's certificate authority.
    pub authority: PathBuf,
    /// Certificate of this process, signed by the authority.
    pub certificate: PathBuf,
    /// Private key of that certificate.
    pub key: PathBuf,
}

/// Why the group's files can't be used.
#[derive(Debug, displaydoc::Display, derive_more::Error)]
pub enum GroupError {
    /// can't read {path}: {message}; create the files with `mgw group-keys`
    File {
        /// Path of the file.
        path: String,
        /// What is wrong with the file.
        message: String,
    },
    /// certificates and key don't match: {message}; create new ones with `mgw group-keys`
    Mismatch {
        /// What doesn't match.
        message: String,
    },
}

/// TLS configuration with which this process proves that it belongs to the group and checks that
/// its peers do.
#[derive(Clone)]
pub struct GroupIdentity {
    connector: TlsConnector,
    acceptor: TlsAcceptor,
}

impl std::fmt::Debug for GroupIdentity {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("GroupIdentity")
    }
}

impl GroupIdentity {
    /// Reads the authority's certificate, this process's certificate and its key.
    ///
    /// # Errors
    /// When a file is missing or damaged, or the key isn't that of the certificate.
    pub fn load(files: &GroupFiles) -> Result<Self, GroupError> {
        let mut roots = RootCertStore::empty();
        for certificate in read_certificates(&files.authority)? {
            roots
                .add(certificate)
                .map_err(|error| mismatch_error(&error))?;
        }
        let roots = Arc::new(roots);
        let chain = read_certificates(&files.certificate)?;
        let client = ClientConfig::builder_with_provider(Arc::new(ring::default_provider()))
            .with_safe_default_protocol_versions()
            .map_err(|error| mismatch_error(&error))?
            .with_root_certificates(Arc::clone(&roots))
            .with_client_auth_cert(chain.clone(), read_key(&files.key)?)
            .map_err(|error| mismatch_error(&error))?;
        let provider = Arc::new(ring::default_provider());
        let verifier = WebPkiClientVerifier::builder_with_provider(roots, Arc::clone(&provider))
            .build()
            .map_err(|error| mismatch_error(&error))?;
        let server = ServerConfig::builder_with_provider(provider)
            .with_safe_default_protocol_versions()
            .map_err(|error| mismatch_error(&error))?
            .with_client_cert_verifier(verifier)
            .with_single_cert(chain, read_key(&files.key)?)
            .map_err(|error| mismatch_error(&error))?;
        Ok(Self {
            connector: TlsConnector::from(Arc::new(client)),
            acceptor: TlsAcceptor::from(Arc::new(server)),
        })
    }

    /// Performs the TLS handshake on a connection that this process opened; both sides
    /// authenticate.
    pub(crate) async fn connect(&self, stream: TcpStream) -> std::io::Result<PeerStream> {
        let name = ServerName::try_from(GROUP_NAME).map_err(std::io::Error::other)?;
        let stream = self.connector.connect(name, stream).await?;
        Ok(Either::Right(TlsStream::Client(stream)))
    }

    /// Performs the TLS handshake on a connection that another process opened; both sides
    /// authenticate.
    pub(crate) async fn accept(&self, stream: TcpStream) -> std::io::Result<PeerStream> {
        let stream = self.acceptor.accept(stream).await?;
        Ok(Either::Right(TlsStream::Server(stream)))
    }
}

fn read_certificates(path: &Path) -> Result<Vec<CertificateDer<'static>>, GroupError> {
    let certificates =
        CertificateDer::pem_file_iter(path).map_err(|error| file_error(path, &error))?;
    let read: Result<Vec<_>, _> = certificates.collect();
    let read = read.map_err(|error| file_error(path, &error))?;
    if read.is_empty() {
        return Err(file_error(path, &"the file holds no certificate"));
    }
    Ok(read)
}

fn read_key(path: &Path) -> Result<PrivateKeyDer<'static>, GroupError> {
    PrivateKeyDer::from_pem_file(path).map_err(|error| file_error(path, &error))
}

fn file_error(path: &Path, error: &impl ToString) -> GroupError {
    GroupError::File {
        path: path.display().to_string(),
        message: error.to_string(),
    }
}

fn mismatch_error(error: &impl ToString) -> GroupError {
    GroupError::Mismatch {
        message: error.to_string(),
    }
}
