//! Mutual TLS between processes: who holds a certificate of the group's authority belongs to it.

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

/// Name that every certificate of a group carries; which process it is doesn't matter.
pub const GROUP_NAME: &str = "mgw-group";

/// A connection between two processes, with or without TLS.
pub type PeerStream = Either<TcpStream, TlsStream<TcpStream>>;

/// Files that prove that a process belongs to the group, in PEM.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GroupFiles {
    /// Certificate of the group's authority.
    pub authority: PathBuf,
    /// Certificate of this process, signed by the authority.
    pub certificate: PathBuf,
    /// Private key of that certificate.
    pub key: PathBuf,
}

/// Why the files can't be used.
#[derive(Debug, displaydoc::Display, derive_more::Error)]
pub enum GroupError {
    /// can't read {path}: {message}; make the files with `mgw group-keys`
    File {
        /// The file.
        path: String,
        /// What is wrong with it.
        message: String,
    },
    /// the files don't fit one another: {message}; make them anew with `mgw group-keys`
    Mismatch {
        /// What is wrong.
        message: String,
    },
}

/// Proves to others that this process belongs to the group, and checks that they do.
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
    /// Reads the files.
    ///
    /// # Errors
    /// When a file is missing or damaged, or the key isn't that of the certificate.
    pub fn load(files: &GroupFiles) -> Result<Self, GroupError> {
        let mut roots = RootCertStore::empty();
        for certificate in read_certificates(&files.authority)? {
            roots.add(certificate).map_err(|error| mismatch(&error))?;
        }
        let roots = Arc::new(roots);
        let chain = read_certificates(&files.certificate)?;
        let client = ClientConfig::builder_with_provider(Arc::new(ring::default_provider()))
            .with_safe_default_protocol_versions()
            .map_err(|error| mismatch(&error))?
            .with_root_certificates(Arc::clone(&roots))
            .with_client_auth_cert(chain.clone(), read_key(&files.key)?)
            .map_err(|error| mismatch(&error))?;
        let provider = Arc::new(ring::default_provider());
        let verifier = WebPkiClientVerifier::builder_with_provider(roots, Arc::clone(&provider))
            .build()
            .map_err(|error| mismatch(&error))?;
        let server = ServerConfig::builder_with_provider(provider)
            .with_safe_default_protocol_versions()
            .map_err(|error| mismatch(&error))?
            .with_client_cert_verifier(verifier)
            .with_single_cert(chain, read_key(&files.key)?)
            .map_err(|error| mismatch(&error))?;
        Ok(Self {
            connector: TlsConnector::from(Arc::new(client)),
            acceptor: TlsAcceptor::from(Arc::new(server)),
        })
    }

    /// Proves both sides of a connection that this process opened.
    pub(crate) async fn connect(&self, stream: TcpStream) -> std::io::Result<PeerStream> {
        let name = ServerName::try_from(GROUP_NAME).map_err(std::io::Error::other)?;
        let stream = self.connector.connect(name, stream).await?;
        Ok(Either::Right(TlsStream::Client(stream)))
    }

    /// Proves both sides of a connection that another process opened.
    pub(crate) async fn accept(&self, stream: TcpStream) -> std::io::Result<PeerStream> {
        let stream = self.acceptor.accept(stream).await?;
        Ok(Either::Right(TlsStream::Server(stream)))
    }
}

fn read_certificates(path: &Path) -> Result<Vec<CertificateDer<'static>>, GroupError> {
    let certificates =
        CertificateDer::pem_file_iter(path).map_err(|error| unreadable(path, &error))?;
    let read: Result<Vec<_>, _> = certificates.collect();
    let read = read.map_err(|error| unreadable(path, &error))?;
    if read.is_empty() {
        return Err(unreadable(path, &"the file holds no certificate"));
    }
    Ok(read)
}

fn read_key(path: &Path) -> Result<PrivateKeyDer<'static>, GroupError> {
    PrivateKeyDer::from_pem_file(path).map_err(|error| unreadable(path, &error))
}

fn unreadable(path: &Path, error: &impl ToString) -> GroupError {
    GroupError::File {
        path: path.display().to_string(),
        message: error.to_string(),
    }
}

fn mismatch(error: &impl ToString) -> GroupError {
    GroupError::Mismatch {
        message: error.to_string(),
    }
}
