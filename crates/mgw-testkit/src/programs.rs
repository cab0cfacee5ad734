//! Programs of other crates that a test runs.

use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::OnceLock;

/// The folder of all programs of the workspace, built if need be. `own` is a program of the test's
/// own crate, which cargo has built already.
///
/// # Panics
/// When they can't be built.
pub fn build_programs(own: &Path) -> PathBuf {
    static FOLDER: OnceLock<PathBuf> = OnceLock::new();
    FOLDER.get_or_init(|| build_beside(own)).clone()
}

fn build_beside(own: &Path) -> PathBuf {
    let folder = own.parent().map(PathBuf::from).unwrap_or_default();
    let mut cargo = Command::new(env!("CARGO"));
    cargo.args(["build", "--quiet", "--locked", "--workspace", "--bins"]);
    if folder.ends_with("release") {
        cargo.arg("--release");
    }
    if let Some(target) = folder.parent() {
        cargo.arg("--target-dir").arg(target);
    }
    // Tests run in the folder of their crate, from which cargo finds the workspace.
    let status = cargo.status();
    assert!(
        status.is_ok_and(|status| status.success()),
        "can't build the programs"
    );
    folder
}
