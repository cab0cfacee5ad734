//! Measures the cost of changes and claims: bytes in the log, in updates to entries and in a
//! snapshot, memory, and time.
//!
//! `cargo run --release -p mgw-state --example footprint -- [WORKERS] [CHANGES] [CLAIMS]`
#![allow(clippy::print_stdout, reason = "the figures are the output")]

use std::fmt::Write as _;
use std::time::Instant;

use mgw_contract::caller::Outcome;
use mgw_state::{
    Action, ClaimKey, ClaimRequest, ClaimantId, Command, ConfigChange, ConfigUpdate, Digest,
    OutcomeReport, State, decode, encode, hash_key,
};
use mgw_world::{Incarnation, KeyName, RequestId, UnixMillis};

const LAYERS: u64 = 12;
const WORKSPACES: u64 = 260;
const PAGE_KIB: u64 = 4;

fn main() {
    let mut arguments = std::env::args()
        .skip(1)
        .map(|text| text.parse().unwrap_or(0));
    let workers: u64 = arguments.next().unwrap_or(600);
    let changes: u64 = arguments.next().unwrap_or(1_000);
    let claims: u64 = arguments.next().unwrap_or(30_000);
    println!("workers {workers}, workspaces {WORKSPACES}, changes {changes}, claims {claims}");
    let mut state = State::default();
    measure_changes(&mut state, workers, changes);
    measure_claims(&mut state, claims);
}

fn measure_changes(state: &mut State, workers: u64, changes: u64) {
    apply(state, make_change(state, &write_inventory(workers, 0)));
    let snapshot_before = state.snapshot().len();
    let memory_before = read_memory_kib();
    let (mut log_bytes, mut diff_bytes, mut check_us, mut apply_us) = (0, 0, 0, 0);
    for number in 1..=changes {
        let text = write_inventory(workers, number);
        let start = Instant::now();
        let action = make_change(state, &text);
        check_us += start.elapsed().as_micros();
        let base = state.revision();
        let command = to_command(state, action);
        log_bytes += encode(&command).len();
        let start = Instant::now();
        state.apply(state.applied() + 1, command);
        apply_us += start.elapsed().as_micros();
        diff_bytes += match state.config().update_since(base) {
            ConfigUpdate::Diffs(diffs) => encode(&diffs).len(),
            other => panic!("not a difference: {other:?}"),
        };
    }
    let full = encode(&state.config().full_update()).len();
    println!(
        "text of one configuration: {} bytes",
        state.config().text().len()
    );
    println!("whole update to an entry: {full} bytes");
    println!("all changes in the log: {log_bytes} bytes");
    println!("all changes as differences to one entry: {diff_bytes} bytes");
    let growth_bytes = state.snapshot().len() - snapshot_before;
    println!("snapshot: {snapshot_before} bytes before, {growth_bytes} more after");
    println!(
        "memory: {} KiB more after",
        read_memory_kib().saturating_sub(memory_before)
    );
    println!(
        "check at the leader: {} us a change",
        check_us / u128::from(changes.max(1))
    );
    println!(
        "apply: {} us a change",
        apply_us / u128::from(changes.max(1))
    );
}

fn measure_claims(state: &mut State, claims: u64) {
    let snapshot_before = state.snapshot().len();
    let memory_before = read_memory_kib();
    let mut log_bytes = 0;
    let mut apply_ns = 0;
    for action in (0..claims).flat_map(make_claim) {
        let command = to_command(state, action);
        let bytes = encode(&command);
        log_bytes += bytes.len();
        let command = decode(&bytes).expect("a whole command");
        let start = Instant::now();
        state.apply(state.applied() + 1, command);
        apply_ns += start.elapsed().as_nanos();
    }
    let memory = read_memory_kib().saturating_sub(memory_before);
    let claims_held = u64::try_from(state.ledger().len()).unwrap_or(u64::MAX);
    println!("claims held: {claims_held}");
    println!(
        "claim and outcome in the log: {} bytes",
        log_bytes as u64 / claims.max(1)
    );
    let growth_bytes = state.snapshot().len() - snapshot_before;
    println!(
        "claim in a snapshot: {} bytes",
        growth_bytes as u64 / claims.max(1)
    );
    println!("memory: {memory} KiB more");
    println!(
        "claims with outcome applied: {} a second",
        u128::from(claims) * 1_000_000_000 / apply_ns.max(1)
    );
    let start = Instant::now();
    let bytes = state.snapshot();
    println!(
        "snapshot: {} bytes in {} us",
        bytes.len(),
        start.elapsed().as_micros()
    );
    let start = Instant::now();
    let copy = State::restore(&bytes).expect("a whole snapshot");
    println!(
        "restore: {} us; same: {}",
        start.elapsed().as_micros(),
        copy == *state
    );
}

fn apply(state: &mut State, action: Action) {
    let command = to_command(state, action);
    state.apply(state.applied() + 1, command);
}

/// A command one millisecond after the time of the state.
fn to_command(state: &State, action: Action) -> Command {
    Command {
        at_unix_ms: UnixMillis(state.now().0 + 1),
        action,
    }
}

fn make_change(state: &State, text: &str) -> Action {
    let id = format!("change-{}", state.revision());
    let base = state.revision();
    let change = ConfigChange::check("anika".into(), id, base, text.to_owned(), "footprint.toml");
    assert!(change.checked.is_ok(), "faults: {:?}", change.checked);
    state.plan_change(change)
}

fn make_claim(number: u64) -> [Action; 2] {
    let key = ClaimKey {
        workspace: "classrooms".into(),
        service: "train-app".into(),
        key: KeyName::from(format!("018f0000-0000-7000-8000-{number:012x}")),
    };
    let request = RequestId(number.into());
    let claimant = ClaimantId {
        entry: "pos-entry-1".into(),
        incarnation: Incarnation(1),
    };
    let digest = Digest::of(&number.to_le_bytes());
    let claim_request = ClaimRequest {
        key: key.clone(),
        digest,
        request,
        claimant: claimant.clone(),
    };
    let report = OutcomeReport {
        key,
        request,
        claimant,
        outcome: Outcome::Done,
        response: None,
    };
    [Action::Claim(claim_request), Action::RecordOutcome(report)]
}

/// An inventory text in which all workspaces but one have weight 1; `number` selects that one and
/// its weight.
fn write_inventory(workers: u64, number: u64) -> String {
    let mut text = String::from(
        "places = [{ name = \"pos-a\", region = \"tt-south\" }]\n\
         models = [{ name = \"drill\", version = \"v1\", layers = 12, activation_bytes = 8192, \
         kv_bytes_per_layer = 4096 }]\n\
         services = [{ name = \"lm-pool\", kind = { model = \"drill\" } }]\n",
    );
    let hash = hash_key("key");
    let _ = writeln!(
        text,
        "operators = [{{ name = \"anika\", key_sha256 = \"{hash}\" }}]"
    );
    for workspace in 0..WORKSPACES {
        let weight = if workspace == number % WORKSPACES {
            2 + number
        } else {
            1
        };
        let _ = writeln!(
            text,
            "[[workspaces]]\nname = \"workspace-{workspace}\"\nweight = {weight}"
        );
    }
    for worker in 0..workers {
        let first = worker % LAYERS;
        let _ = writeln!(
            text,
            "[[vms]]\nname = \"gpu-{worker}\"\nplace = \"pos-a\"\n\
             [[targets]]\nname = \"engine-{worker}\"\nvm = \"gpu-{worker}\"\n\
             duty = {{ engine = {{ model = \"drill\", weight_bytes = 1, \
             layers = {{ first = {first}, end = {} }} }} }}",
            first + 1
        );
    }
    text
}

/// Resident memory of this process in KiB; zero if `/proc/self/statm` can't be read.
fn read_memory_kib() -> u64 {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split_whitespace().nth(1);
    let pages: u64 = pages.and_then(|text| text.parse().ok()).unwrap_or(0);
    pages * PAGE_KIB
}
