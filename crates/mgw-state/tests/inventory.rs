//! Faulty inventories, each with its expected findings, and the example inventory.

use std::path::Path;

use mgw_state::Inventory;

fn check_findings(path: &Path) -> datatest_stable::Result<()> {
    let file = path.file_name().expect("a file").to_string_lossy();
    let text = std::fs::read_to_string(path)?;
    let expected = std::fs::read_to_string(path.with_extension("expected"))?;
    let findings = Inventory::parse(&file, &text).expect_err("the inventory is faulty");
    let findings = findings.to_string();
    if findings.trim_end() != expected.trim_end() {
        return Err(format!("found:\n{findings}\nexpected:\n{expected}").into());
    }
    Ok(())
}

fn check_example(path: &Path) -> datatest_stable::Result<()> {
    let text = std::fs::read_to_string(path)?;
    let inventory =
        Inventory::parse("inventory.toml", &text).map_err(|findings| findings.to_string())?;
    let reparsed = Inventory::parse("reparsed.toml", &inventory.to_toml())?;
    assert_eq!(reparsed, inventory);
    assert_eq!(inventory.targets.len(), 12);
    assert_eq!(inventory.workspaces.len(), 10);
    assert!(inventory.authenticate("anika", "example-key-anika-not-for-production"));
    assert!(!inventory.authenticate("anika", "example-key-ravi-not-for-production"));
    assert!(!inventory.authenticate("nobody", "example-key-anika-not-for-production"));
    let debug_text = format!("{:?}", inventory.operators);
    assert!(!debug_text.contains(&inventory.operators[0].key_sha256));
    Ok(())
}

datatest_stable::harness! {
    { test = check_findings, root = "tests/bad", pattern = r"\.toml$" },
    { test = check_example, root = "../../examples", pattern = r"^.*inventory\.toml$" },
}
