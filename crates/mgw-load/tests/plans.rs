//! Tests without network I/O: arrivals, prompts, address selection, settings and reports.

#![allow(clippy::unwrap_used)]

use clap::Parser;
use mgw_contract::Outcome;
use mgw_contract::caller::{AddressesReply, EntryAddress, Reason};
use mgw_load::addresses::AddressBook;
use mgw_load::arrivals::plan_arrivals;
use mgw_load::cli::{Cli, read_settings};
use mgw_load::report::build_report;
use mgw_load::results::{RequestResult, Verdict};
use mgw_load::settings::{
    Action, PromptSettings, Settings, SignalName, Spacing, TimelineEvent, WorkspaceLoad,
    find_errors,
};
use mgw_standin::Fault;
use mgw_world::Millis;

fn workspace(name: &str, rate: f64) -> WorkspaceLoad {
    WorkspaceLoad {
        name: name.into(),
        rate,
        ..WorkspaceLoad::default()
    }
}

#[test]
fn arrivals_keep_each_workspace_s_rate_and_follow_the_seed() {
    let settings = Settings {
        workspaces: vec![workspace("large", 100.0), workspace("small", 10.0)],
        duration_ms: Millis(20_000),
        ..Settings::default()
    };
    let arrivals = plan_arrivals(&settings);
    assert!(arrivals.is_sorted_by_key(|arrival| arrival.at_us));
    let count = |name: &str| {
        let workspace_arrivals = arrivals
            .iter()
            .filter(|arrival| arrival.workspace == Some(name.into()));
        workspace_arrivals.count()
    };
    assert!((1800..2200).contains(&count("large")), "{}", count("large"));
    assert!((150..250).contains(&count("small")), "{}", count("small"));
    let other = plan_arrivals(&Settings {
        seed: 2,
        ..settings
    });
    assert_ne!(arrivals, other);
}

#[test]
fn a_load_keeps_to_its_span() {
    let settings = Settings {
        workspaces: vec![
            workspace("steady", 10.0),
            WorkspaceLoad {
                from_ms: Millis(1_000),
                until_ms: Some(Millis(2_000)),
                ..workspace("burst", 100.0)
            },
        ],
        spacing: Spacing::Fixed,
        duration_ms: Millis(3_000),
        ..Settings::default()
    };
    let arrivals = plan_arrivals(&settings);
    let times = |name: &str| -> Vec<u64> {
        let workspace_arrivals = arrivals
            .iter()
            .filter(|arrival| arrival.workspace == Some(name.into()));
        workspace_arrivals.map(|arrival| arrival.at_us).collect()
    };
    assert_eq!(times("steady").len(), 30);
    let burst = times("burst");
    assert_eq!(burst.len(), 100);
    assert!(
        burst
            .iter()
            .all(|at_us| (1_000_000..2_000_000).contains(at_us))
    );
}

#[test]
fn fixed_arrivals_are_evenly_spaced() {
    let settings = Settings {
        spacing: Spacing::Fixed,
        rate: 100.0,
        duration_ms: Millis(50),
        ..Settings::default()
    };
    let times = plan_arrivals(&settings)
        .into_iter()
        .map(|arrival| arrival.at_us);
    assert_eq!(
        times.collect::<Vec<_>>(),
        [0, 10_000, 20_000, 30_000, 40_000]
    );
}

#[test]
fn prompts_of_a_group_share_their_start() {
    let settings = Settings {
        requests: Some(40),
        prompts: PromptSettings {
            words: 30,
            shared_words: 20,
            groups: 3,
        },
        ..Settings::default()
    };
    let starts = plan_arrivals(&settings).into_iter().map(|arrival| {
        let words: Vec<&str> = arrival.prompt.split(' ').collect();
        assert_eq!(words.len(), 30);
        words[..20].join(" ")
    });
    let starts: std::collections::BTreeSet<String> = starts.collect();
    assert_eq!(starts.len(), 3);
}

fn addresses(urls: &[&str]) -> AddressesReply {
    let entries = urls.iter().map(|url| EntryAddress {
        name: (*url).into(),
        url: (*url).to_owned(),
    });
    AddressesReply {
        entries: entries.collect(),
        valid_ms: Millis(1000),
    }
}

#[test]
fn addresses_are_kept_while_valid_and_failed_entries_are_left_alone() {
    let mut book = AddressBook::new(vec!["a".to_owned(), "b".to_owned()], 1);
    assert_eq!(book.urls_to_ask(), ["b", "a"]);
    book.update(&addresses(&["c", "d"]), Millis(0));
    assert_eq!(book.choose(Millis(999)), Some("c"));
    assert_eq!(book.choose(Millis(1000)), None);
    book.record_failure("c", Millis(10));
    assert_eq!(book.choose(Millis(10)), Some("d"));
    assert_eq!(book.urls_to_ask(), ["b", "a", "d", "c"]);
    book.update(&addresses(&["c", "d"]), Millis(1000));
    assert_eq!(book.choose(Millis(1000)), Some("d"));
    book.record_failure("d", Millis(1000));
    assert_eq!(book.choose(Millis(1000)), None);
    book.update(&addresses(&["c", "d"]), Millis(1001));
    assert_eq!(book.choose(Millis(1001)), Some("c"));
}

#[test]
fn the_redirect_of_a_leaving_entry_is_followed() {
    let mut book = AddressBook::new(vec!["a".to_owned()], 0);
    book.update(&addresses(&["c", "d"]), Millis(0));
    book.record_redirect("c", &[], Millis(0));
    assert_eq!(book.choose(Millis(0)), Some("c"));
    book.record_redirect("c", &addresses(&["e", "d"]).entries, Millis(0));
    assert_eq!(book.choose(Millis(0)), Some("e"));
}

#[test]
fn an_experiment_file_gives_settings_and_the_command_line_goes_first() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("kill.toml");
    let text = r#"
        entries = ["http://127.0.0.1:7001"]
        rate = 40.0
        verify = true
        workspaces = [{ name = "w", rate = 3.5 }]
        prompts = { words = 9 }
        [processes]
        entry-1 = "entry-1.pid"
        [[timeline]]
        at_ms = 2000
        signal = { process = "entry-1", signal = "kill" }
        [[timeline]]
        at_ms = 3000
        fault = { standin = "e1", change = { slow = 10 } }
        [[timeline]]
        at_ms = 4000
        fault = { standin = "e1", change = "clear" }
    "#;
    std::fs::write(&path, text).unwrap();
    let file = path.to_str().unwrap();
    let cli = Cli::parse_from([
        "mgw-load",
        "--experiment",
        file,
        "--rate",
        "5",
        "--words",
        "7",
    ]);
    let settings = read_settings(cli.run).unwrap();
    assert_eq!((settings.rate, settings.prompts.words), (5.0, 7));
    assert_eq!(settings.workspaces, [workspace("w", 3.5)]);
    let actions: Vec<&Action> = settings
        .timeline
        .iter()
        .map(|event| &event.action)
        .collect();
    let fault = |change| Action::Fault {
        standin: "e1".to_owned(),
        change,
    };
    let kill = Action::Signal {
        process: "entry-1".to_owned(),
        signal: SignalName::Kill,
    };
    assert_eq!(
        actions,
        [&kill, &fault(Fault::Slow(10)), &fault(Fault::Clear)]
    );
    assert!(find_errors(&settings).is_empty());

    std::fs::write(&path, "rates = 3\n").unwrap();
    let cli = Cli::parse_from(["mgw-load", "--experiment", file]);
    let findings = read_settings(cli.run).unwrap_err().to_string();
    assert!(findings.contains("rates: unknown key"), "{findings}");
}

#[test]
fn settings_that_do_not_fit_are_all_named() {
    let settings = Settings {
        rate: 0.0,
        callers: 0,
        timeline: vec![TimelineEvent {
            at_ms: Millis(0),
            action: Action::Signal {
                process: "x".to_owned(),
                signal: SignalName::Term,
            },
        }],
        ..Settings::default()
    };
    assert_eq!(find_errors(&settings).len(), 4);
}

fn result(arrived_us: u64, token_us: &[u64], verdict: Verdict) -> RequestResult {
    RequestResult {
        workspace: None,
        entry: Some("http://a".to_owned()),
        id: None,
        verdict,
        final_answer: None,
        sent: 1,
        prompt_tokens: 1,
        arrived_us,
        token_us: token_us.to_vec(),
        ended_us: token_us.last().copied().unwrap_or(arrived_us),
    }
}

#[test]
fn figures_count_whole_answers_within_the_span_only() {
    let settings = Settings {
        duration_ms: Millis(2000),
        warmup_ms: Millis(1000),
        timeline: vec![TimelineEvent {
            at_ms: Millis(1200),
            action: Action::Signal {
                process: "x".to_owned(),
                signal: SignalName::Kill,
            },
        }],
        ..Settings::default()
    };
    let refused = Verdict::NotDone {
        outcome: Outcome::NotRun,
        reason: Reason::Overloaded,
    };
    let wrong = Verdict::Wrong {
        error: "token".to_owned(),
    };
    let results = [
        result(
            900_000,
            &[950_000, 1_100_000, 1_900_000, 2_100_000],
            Verdict::Whole,
        ),
        result(1_000_000, &[1_100_000, 1_300_000], Verdict::Truncated),
        result(1_000_000, &[1_050_000], wrong),
        result(1_500_000, &[], refused),
    ];
    let report = build_report(&settings, &results, Vec::new());
    assert_eq!(
        (report.all.requests, report.all.whole, report.all.wrong),
        (4, 1, 1)
    );
    assert!((report.all.goodput_tokens_per_s - 2.0).abs() < 1e-9);
    assert_eq!(report.tokens_by_second, [1, 2, 1]);
    assert_eq!(report.all.first_token.count, 3);
    assert_eq!(report.all.between_tokens.count, 4);
    let outcomes = report.all.outcomes.iter();
    let outcomes: Vec<(Outcome, &str, u64)> = outcomes
        .map(|entry| (entry.outcome, entry.cause.as_str(), entry.count))
        .collect();
    assert_eq!(
        outcomes,
        [
            (Outcome::Done, "complete", 1),
            (Outcome::NotRun, "overloaded", 1),
            (Outcome::Unknown, "truncated", 1),
            (Outcome::Unknown, "wrong_answer", 1),
        ]
    );
    let fault = &report.faults[0];
    assert_eq!(
        (fault.in_flight, fault.lost, fault.recovery.count),
        (2, 1, 2)
    );
    assert!((fault.recovery.max_ms - 800.0).abs() < 1.0);
    assert_eq!(report.entries["http://a"], 4);
    assert!(report.to_string().contains("between tokens"));
}
