//! Tests of `mgw group-keys`: processes can load the created files, and no file is overwritten.

#![allow(clippy::unwrap_used)]

#[allow(dead_code, reason = "each test file uses only some of it")]
mod support;

use std::os::unix::fs::PermissionsExt;

use mgw_peer::{GroupFiles, GroupIdentity};
use support::{run_mgw, stderr};

#[test]
fn files_can_be_used_and_keys_are_private() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().to_str().unwrap();
    let output = run_mgw(&[], &["group-keys", path, "control-1", "entry-1"]);
    assert_eq!(output.status.code(), Some(0), "{}", stderr(&output));
    for name in ["control-1", "entry-1"] {
        let files = GroupFiles {
            authority: folder.path().join("authority.crt"),
            certificate: folder.path().join(format!("{name}.crt")),
            key: folder.path().join(format!("{name}.key")),
        };
        GroupIdentity::load(&files).unwrap();
        let mode = std::fs::metadata(&files.key).unwrap().permissions().mode();
        assert_eq!(mode & 0o777, 0o600);
    }
}

#[test]
fn later_process_gets_a_certificate_of_the_same_authority() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().to_str().unwrap();
    assert_eq!(
        run_mgw(&[], &["group-keys", path, "entry-1"]).status.code(),
        Some(0)
    );
    let authority = std::fs::read(folder.path().join("authority.crt")).unwrap();
    assert_eq!(
        run_mgw(&[], &["group-keys", path, "entry-2"]).status.code(),
        Some(0)
    );
    assert_eq!(
        std::fs::read(folder.path().join("authority.crt")).unwrap(),
        authority
    );
}

#[test]
fn files_are_never_written_over() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().to_str().unwrap();
    assert_eq!(
        run_mgw(&[], &["group-keys", path, "entry-1"]).status.code(),
        Some(0)
    );
    let key = std::fs::read(folder.path().join("entry-1.key")).unwrap();
    let second_output = run_mgw(&[], &["group-keys", path, "entry-1"]);
    assert_eq!(second_output.status.code(), Some(2));
    assert!(
        stderr(&second_output).contains("entry-1.crt"),
        "{}",
        stderr(&second_output)
    );
    assert_eq!(
        std::fs::read(folder.path().join("entry-1.key")).unwrap(),
        key
    );
}
