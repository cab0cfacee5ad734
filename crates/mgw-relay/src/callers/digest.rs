//! Digest of a whole request, by which repeats of it are recognized.

use hyper::Method;
use mgw_world::{RequestDigest, WorkspaceName};
use sha2::{Digest, Sha256};

/// What identifies a request, whichever attempt of its caller it is. Ids, deadlines and other header
/// fields change with each attempt.
#[derive(Debug, Clone, Copy)]
pub struct RequestIdentity<'a> {
    /// HTTP method.
    pub method: &'a Method,
    /// Host that the caller named.
    pub host: &'a str,
    /// Path and query.
    pub path: &'a str,
    /// Workspace of the caller.
    pub workspace: Option<&'a WorkspaceName>,
    /// Whole body.
    pub body: &'a [u8],
}

impl RequestIdentity<'_> {
    /// Computes the digest. Each field is preceded by its length, so that bytes which move from one field
    /// to the next give another digest.
    #[must_use]
    pub fn digest(&self) -> RequestDigest {
        let workspace = self.workspace.map(WorkspaceName::as_str);
        let fields = [
            self.method.as_str().as_bytes(),
            self.host.as_bytes(),
            self.path.as_bytes(),
            workspace.unwrap_or_default().as_bytes(),
            self.body,
        ];
        let mut hasher = Sha256::new();
        for field in fields {
            hasher.update((field.len() as u64).to_be_bytes());
            hasher.update(field);
        }
        let mut digest = RequestDigest::default();
        let length = digest.0.len();
        digest.0.copy_from_slice(&hasher.finalize()[..length]);
        digest
    }
}
