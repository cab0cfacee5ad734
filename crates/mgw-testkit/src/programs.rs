//! Builds the programs of other crates that a test runs.

use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::OnceLock;

/// Builds all programs of the workspace, once per process, and returns their folder. `own_program`
/// is a program of the test's own crate, which cargo has already built; the others are built into
/// the same folder.
///
/// # Panics
/// When the build fails.
pub fn build_programs(own_program: &Path) -> PathBuf {
    static FOLDER: OnceLock<PathBuf> = OnceLock::new();
    FOLDER.get_or_init(|| build_beside(own_program)).clone()
}

fn build_beside(own_program: &Path) -> PathBuf {
    let folder = own_program.parent().map(PathBuf::from).unwrap_or_default();
    let mut cargo = Command::new(env!("CARGO"));
    cargo.args(["build", "--quiet", "--locked", "--workspace", "--bins"]);
    if folder.ends_with("release") {
        cargo.arg("--release");
    }
    if let Some(target) = folder.parent() {
        cargo.arg("--target-dir").arg(target);
    }
    // The working directory of a test is the folder of its crate, from which cargo finds the
    // workspace.
    let status = cargo.status();
    assert!(
        status.is_ok_and(|status| status.success()),
        "building the programs of the workspace failed"
    );
    folder
}
