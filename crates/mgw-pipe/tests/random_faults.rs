//! Random faults at random steps: every complete answer is right, no session runs a position twice,
//! and no request fails that healthy targets could serve.

#![allow(clippy::unwrap_used)]

mod support;

use mgw_contract::caller::Outcome;
use mgw_pipe::{PipeSettings, Stage};
use proptest::prelude::*;
use support::{
    Engine, Fault, Simulation, TransferFault, find_chain, generation_request, reference_answer,
    stage,
};

const LAYERS: u16 = 12;
const ANSWER: u32 = 8;

/// The targets of a test, and the paths on which a request may start.
struct Fleet {
    engines: &'static [(&'static str, u16, u16)],
    paths: &'static [&'static [usize]],
}

/// Each layer range is served by three targets.
const REPLICAS: Fleet = Fleet {
    engines: &[
        ("a1", 0, 4),
        ("b1", 4, 8),
        ("c1", 8, 12),
        ("a2", 0, 4),
        ("b2", 4, 8),
        ("c2", 8, 12),
        ("a3", 0, 4),
        ("b3", 4, 8),
        ("c3", 8, 12),
    ],
    paths: &[&[0, 1, 2]],
};

/// Chains with few layer boundaries in common: most replacements include neighbouring stages.
const DIFFERENT_BOUNDARIES: Fleet = Fleet {
    engines: &[
        ("pos-1", 0, 4),
        ("pos-2", 4, 8),
        ("pos-3", 8, 12),
        ("sfo-1", 0, 6),
        ("sfo-2", 6, 12),
        ("sfo-3", 4, 8),
        ("chg-1", 0, 3),
        ("chg-2", 3, 8),
        ("chg-3", 8, 12),
        ("pos-4", 0, 6),
        ("chg-4", 0, 12),
        ("chg-5", 4, 9),
        ("chg-6", 9, 12),
    ],
    paths: &[
        &[0, 1, 2],
        &[3, 4],
        &[6, 7, 8],
        &[0, 5, 8],
        &[10],
        &[0, 11, 12],
    ],
};

fn any_fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        Just(Fault::Die),
        Just(Fault::LoseAnswer),
        Just(Fault::LoseStep),
        Just(Fault::Hang),
        Just(Fault::DropSessions),
        Just(Fault::Degrade),
        (0_u64..3000).prop_map(Fault::Slow),
        (0_u8..3).prop_map(Fault::Refuse),
    ]
}

fn any_transfer_fault() -> impl Strategy<Value = TransferFault> {
    prop_oneof![
        Just(TransferFault::Fail),
        Just(TransferFault::LoseAnswer),
        Just(TransferFault::Hang),
        Just(TransferFault::ExtraPosition),
        (0_u64..1500).prop_map(TransferFault::Slow),
    ]
}

/// Faults of one test case: index of the target, number of the step or transfer, and the fault.
#[derive(Debug, Clone)]
struct Faults {
    steps: Vec<(usize, u32, Fault)>,
    transfers: Vec<(usize, u32, TransferFault)>,
}

fn any_faults(engines: usize) -> impl Strategy<Value = Faults> {
    let step = (0..engines, 0_u32..20, any_fault());
    let transfer = (0..engines, 0_u32..2, any_transfer_fault());
    let steps = proptest::collection::vec(step, 0..7);
    let transfers = proptest::collection::vec(transfer, 0..4);
    (steps, transfers).prop_map(|(steps, transfers)| Faults { steps, transfers })
}

fn any_settings() -> impl Strategy<Value = PipeSettings> {
    let buffer_bytes = prop_oneof![Just(0_u64), Just(100), Just(1 << 20)];
    (1_u32..40, buffer_bytes).prop_map(|(chunk_positions, buffer_bytes)| PipeSettings {
        chunk_positions,
        buffer_bytes,
        min_move_tokens: 1,
        move_pause_tokens: 1,
        ..PipeSettings::default()
    })
}

fn check(
    fleet: &Fleet,
    path: usize,
    faults: &Faults,
    prompt: usize,
    settings: PipeSettings,
) -> Result<(), TestCaseError> {
    let engines = fleet.engines.iter();
    let engines = engines.map(|(name, first, end)| Engine::new(stage(name, *first, *end)));
    let mut engines: Vec<Engine> = engines.collect();
    for (engine, step, fault) in &faults.steps {
        engines[*engine] = engines[*engine].clone().with_fault(*step, *fault);
    }
    for (engine, transfer, fault) in &faults.transfers {
        let faulty = engines[*engine].clone();
        engines[*engine] = faulty.with_transfer_fault(*transfer, *fault);
    }
    let healthy = engines.iter().filter(|engine| engine.faults.is_empty());
    let healthy: Vec<&Stage> = healthy.map(|engine| &engine.stage).collect();
    let is_served = find_chain(&healthy, stage("", 0, LAYERS).layers).is_some();
    let request = generation_request(prompt, ANSWER);
    let expected = reference_answer(LAYERS, &request.prompt, ANSWER as usize);
    let simulation = Simulation::run(engines, fleet.paths[path], &request, settings);
    let repeated = simulation.runs.iter().find(|(_, count)| **count > 1);
    prop_assert_eq!(repeated, None);
    prop_assert!(
        expected.starts_with(&simulation.tokens),
        "the answer has a wrong token"
    );
    let outcome = simulation.result.map(|(outcome, _)| outcome);
    match outcome {
        Some(Outcome::Done) => prop_assert_eq!(&simulation.tokens, &expected),
        Some(Outcome::NotRun) => prop_assert!(
            simulation.runs.is_empty(),
            "the outcome is NotRun, but a position ran"
        ),
        _ => {}
    }
    if is_served {
        prop_assert_eq!(
            outcome,
            Some(Outcome::Done),
            "the request failed, although healthy targets cover all layers"
        );
    }
    let remaining_sessions: usize = simulation.engines.iter().map(Engine::sessions).sum();
    prop_assert_eq!(remaining_sessions, 0);
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2000,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(20261204),
        ..ProptestConfig::default()
    })]

    #[test]
    fn answers_stay_correct_under_faults_with_replicated_stages(
        faults in any_faults(REPLICAS.engines.len()),
        prompt in 1_usize..40,
        settings in any_settings(),
    ) {
        check(&REPLICAS, 0, &faults, prompt, settings)?;
    }

    #[test]
    fn answers_stay_correct_under_faults_with_different_layer_boundaries(
        faults in any_faults(DIFFERENT_BOUNDARIES.engines.len()),
        path in 0..DIFFERENT_BOUNDARIES.paths.len(),
        prompt in 1_usize..40,
        settings in any_settings(),
    ) {
        check(&DIFFERENT_BOUNDARIES, path, &faults, prompt, settings)?;
    }
}
