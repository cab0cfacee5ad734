//! Changes of configuration: concurrent changes, resends, faulty changes, differences, and the view
//! of an entry.

mod common;

use common::{StateDriver, accepted, change, inventory_text};
use mgw_contract::operator::ApplyReply;
use mgw_state::{Action, AuditFilter, ConfigUpdate, ConfigView, Reply, State, StateError};
use mgw_world::Revision;

fn conflict(current: u64, winner_change_id: &str) -> ApplyReply {
    ApplyReply::Conflict {
        current: Revision(current),
        winner_change_id: winner_change_id.to_owned(),
        winner: "anika".into(),
    }
}

/// Applies changes `(id, base, workspace)` one after another and compares the replies.
macro_rules! change_cases {
    ($($name:ident: $rules:expr, [$(($id:expr, $base:expr, $workspace:expr) => $reply:expr),* $(,)?];)*) => {
        $(#[test]
        fn $name() {
            let mut driver = StateDriver::default();
            $(
                let text = inventory_text($workspace, $rules);
                assert_eq!(driver.apply_change($id, $base, &text), $reply, "{} on {}", $id, $base);
            )*
        })*
    };
}

change_cases! {
    one_of_two_changes_on_the_same_base_wins: "", [
        ("a", 0, "one") => accepted(1),
        ("b", 0, "two") => conflict(1, "a"),
    ];
    conflict_names_the_change_accepted_on_its_base: "", [
        ("a", 0, "one") => accepted(1),
        ("b", 1, "two") => accepted(2),
        ("c", 0, "three") => conflict(2, "a"),
    ];
    resend_gets_the_first_answer: "", [
        ("a", 0, "one") => accepted(1),
        ("a", 0, "one") => accepted(1),
        ("b", 1, "two") => accepted(2),
        ("a", 0, "one") => accepted(1),
    ];
    resend_of_a_rejected_change_gets_the_first_answer: "", [
        ("a", 0, "one") => accepted(1),
        ("b", 0, "two") => conflict(1, "a"),
        ("c", 1, "three") => accepted(2),
        ("b", 0, "two") => conflict(1, "a"),
    ];
    resend_of_a_change_no_longer_remembered_changes_nothing: "rules = { remembered_changes = 2 }", [
        ("a", 0, "one") => accepted(1),
        ("b", 1, "two") => accepted(2),
        ("c", 2, "three") => accepted(3),
        ("a", 0, "one") => conflict(3, "c"),
    ];
    base_newer_than_the_current_revision_is_refused: "", [
        ("a", 0, "one") => accepted(1),
        ("b", 5, "two") => conflict(1, "a"),
    ];
}

#[test]
fn reused_change_id_with_other_text_or_base_is_an_error() {
    let mut driver = StateDriver::with_rules("");
    let other_text = driver.apply_change("first", 0, &inventory_text("other", ""));
    let ApplyReply::Invalid { findings } = other_text else {
        panic!("accepted: {other_text:?}");
    };
    assert_eq!(findings[0].key, "change_id");
    let other_base = driver.apply_change("first", 1, &inventory_text("w", ""));
    assert!(matches!(other_base, ApplyReply::Invalid { .. }));
    assert_eq!(driver.state.revision(), Revision(1));
}

#[test]
fn faulty_change_is_refused_and_its_id_stays_free() {
    let mut driver = StateDriver::default();
    let refused = driver.apply_change("a", 0, "regions = 1\nworkspaces = 3");
    let ApplyReply::Invalid { findings } = refused else {
        panic!("accepted: {refused:?}");
    };
    let keys: Vec<_> = findings
        .iter()
        .map(|finding| (finding.line, finding.key.as_str()))
        .collect();
    assert_eq!(keys, [(1, "regions"), (2, "workspaces")]);
    assert_eq!(
        driver.apply_change("a", 0, &inventory_text("w", "")),
        accepted(1)
    );
}

#[test]
fn hundreds_of_changes_survive_a_restart_and_catch_up_by_differences() {
    let mut driver = StateDriver::with_rules("rules = { kept_diffs = 100 }");
    let mut recent_view = ConfigView::new(Revision(0));
    let mut old_view = ConfigView::new(Revision(0));
    old_view
        .apply(driver.state.config().full_update())
        .expect("newer");
    for number in 1..=400 {
        let text = inventory_text(&format!("w{number}"), "rules = { kept_diffs = 100 }");
        assert_eq!(
            driver.apply_change(&format!("c{number}"), number, &text),
            accepted(number + 1)
        );
        if number == 350 {
            recent_view
                .apply(driver.state.config().full_update())
                .expect("newer");
        }
    }
    let restored = State::restore(&driver.state.snapshot()).expect("whole");
    assert_eq!(restored, driver.state);
    let config = restored.config();
    let update = config.update_since(recent_view.held_revision());
    assert!(matches!(&update, ConfigUpdate::Diffs(diffs) if diffs.len() == 50));
    assert_eq!(recent_view.apply(update), Ok(true));
    let update = config.update_since(old_view.held_revision());
    assert!(matches!(update, ConfigUpdate::Full { .. }));
    assert_eq!(old_view.apply(update), Ok(true));
    assert_eq!(recent_view.inventory(), config.inventory());
    assert_eq!(old_view.inventory(), config.inventory());
    let update = config.update_since(recent_view.held_revision());
    assert_eq!(recent_view.apply(update), Ok(false));
    assert_eq!(
        driver.apply_change(
            "c7",
            7,
            &inventory_text("w7", "rules = { kept_diffs = 100 }")
        ),
        accepted(8)
    );
}

#[test]
fn view_refuses_older_and_mismatched_updates() {
    let mut driver = StateDriver::with_rules("");
    let first = driver.state.config().full_update();
    driver.apply_change("b", 1, &inventory_text("two", ""));
    let second = driver.state.config().update_since(Revision(1));
    driver.apply_change("c", 2, &inventory_text("three", ""));
    let third = driver.state.config().update_since(Revision(2));
    let newest = driver.state.config().full_update();

    let mut view = ConfigView::new(Revision(3));
    assert_eq!(
        view.apply(first.clone()),
        Err(StateError::Older {
            held: Revision(3),
            offered: Revision(1)
        })
    );
    assert!(!view.is_ready());
    assert_eq!(
        view.apply(third.clone()),
        Err(StateError::WrongBase {
            held: Revision(0),
            base: Revision(2)
        })
    );
    assert_eq!(view.apply(newest), Ok(true));
    assert!(view.is_ready());
    assert_eq!(view.apply(third.clone()), Ok(false));
    assert!(view.apply(second).is_err());
    view.record_accepted(Revision(4));
    assert!(!view.is_ready());

    let mut outdated_view = ConfigView::new(Revision(0));
    outdated_view.apply(first).expect("the first");
    assert!(matches!(
        outdated_view.apply(third.clone()),
        Err(StateError::WrongBase { .. })
    ));
    let ConfigUpdate::Diffs(mut diffs) = third else {
        panic!("not a difference");
    };
    diffs[0].base = Revision(1);
    diffs[0].digest.0[0] ^= 1;
    assert_eq!(
        outdated_view.apply(ConfigUpdate::Diffs(diffs)),
        Err(StateError::WrongDigest)
    );
    assert_eq!(outdated_view.held_revision(), Revision(1));
}

#[test]
fn audit_trail_has_accepted_and_refused_changes_with_their_difference() {
    let mut driver = StateDriver::with_rules("rules = { audit_records = 3 }");
    driver.now_ms = 50;
    let text = "operators = [{ name = \"anika\", key_sha256 = \"";
    let text = format!("{text}{}\" }}]\n", "ab".repeat(32));
    let text = format!(
        "{text}workspaces = [{{ name = \"w\", weight = 9 }}, {{ name = \"x\", weight = 1 }}]\nrules = {{ audit_records = 3 }}"
    );
    driver.apply_change("second", 1, &text);
    driver.apply_change("loser", 1, &text);
    driver.apply(change("loser", 1, &text));
    driver.apply_change("faulty", 2, "");
    let audit = driver.state.audit();
    assert_eq!(audit.total(), 4);
    let numbers: Vec<_> = audit
        .iter()
        .map(|record| (record.number, record.accepted))
        .collect();
    assert_eq!(numbers, [(2, true), (3, false), (4, false)]);
    let filter = AuditFilter {
        accepted: Some(true),
        ..AuditFilter::default()
    };
    let records = audit.select(&filter);
    assert_eq!(records.len(), 1);
    assert_eq!(records[0].base, Some(Revision(1)));
    assert_eq!(records[0].revision, Some(Revision(2)));
    assert_eq!(records[0].at_unix_ms.0, 50);
    assert_eq!(
        records[0].detail,
        "~workspaces.w: weight 1 -> 9; +workspaces.x; ~operators.anika: key_sha256 changed"
    );
    let filter = AuditFilter {
        subject: Some("loser".to_owned()),
        ..AuditFilter::default()
    };
    assert!(
        audit.select(&filter)[0]
            .detail
            .contains("`second` of anika won")
    );
    let filter = AuditFilter {
        limit: Some(1),
        ..AuditFilter::default()
    };
    assert_eq!(audit.select(&filter)[0].subject, "faulty");
    let filter = AuditFilter {
        operator: Some("ravi".into()),
        ..AuditFilter::default()
    };
    assert!(audit.select(&filter).is_empty());
}

#[test]
fn change_applied_as_a_difference_gives_the_same_configuration() {
    let texts = [
        "# ä\n",
        "# äé\n",
        "",
        "# é\n# é\n",
        "# é\n",
        "# ä\nrules = { kept_diffs = 1 }",
    ];
    let (mut whole, mut patched) = (StateDriver::default(), StateDriver::default());
    for (base, extra) in (0..).zip(texts) {
        let text = inventory_text("w", extra);
        let action = change(&format!("c{base}"), base, &text);
        let Action::ApplyConfig(config_change) = action.clone() else {
            panic!("not a change: {action:?}");
        };
        let patch = patched.state.plan_change(*config_change);
        assert!(matches!(patch, Action::PatchConfig(_)));
        assert_eq!(patched.apply(patch.clone()), whole.apply(action));
        assert_eq!(patched.state.config().text(), text);
        assert_eq!(patched.state, whole.state);
        assert_eq!(
            patched.apply(patch),
            whole.apply(change(&format!("c{base}"), base, &text))
        );
    }
}

#[test]
fn of_two_concurrent_differences_exactly_one_is_accepted() {
    let mut driver = StateDriver::with_rules("");
    let plan = |driver: &StateDriver, id: &str| match change(id, 1, &inventory_text(id, "")) {
        Action::ApplyConfig(config_change) => driver.state.plan_change(*config_change),
        other => other,
    };
    let (left, right) = (plan(&driver, "left"), plan(&driver, "right"));
    assert_eq!(driver.apply(left), Reply::Config(accepted(2)));
    assert_eq!(driver.apply(right), Reply::Config(conflict(2, "left")));
}
