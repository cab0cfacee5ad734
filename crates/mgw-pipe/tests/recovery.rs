//! Targets that die, hang, slow down, refuse steps or lose answers in the middle of a request.

#![allow(clippy::unwrap_used)]

mod support;

use mgw_contract::caller::{Outcome, Reason};
use mgw_pipe::PipeSettings;
use mgw_world::Millis;
use support::{
    Engine, Fault, Simulation, TransferFault, generation_request, reference_answer, stage,
};

const PROMPT: usize = 20;
const ANSWER: u32 = 12;

/// Three layer ranges, each served by two engines.
fn engines() -> Vec<Engine> {
    vec![
        Engine::new(stage("a1", 0, 4)),
        Engine::new(stage("b1", 4, 8)),
        Engine::new(stage("c1", 8, 12)),
        Engine::new(stage("a2", 0, 4)),
        Engine::new(stage("b2", 4, 8)),
        Engine::new(stage("c2", 8, 12)),
    ]
}

fn check_complete(simulation: &Simulation) {
    assert_eq!(simulation.result, Some((Outcome::Done, Reason::Complete)));
    assert_eq!(
        simulation.tokens,
        reference_answer(
            12,
            &generation_request(PROMPT, ANSWER).prompt,
            ANSWER as usize
        )
    );
    let repeated = simulation.runs.iter().find(|(_, count)| **count > 1);
    assert_eq!(repeated, None, "a position ran twice in one session");
    let remaining_sessions: usize = simulation.engines.iter().map(Engine::sessions).sum();
    assert_eq!(remaining_sessions, 0, "sessions were not freed");
}

macro_rules! one_fault {
    ($($name:ident: $engine:literal at $step:literal, $fault:expr, within $gap_ms:literal;)+) => {
        $(
            #[test]
            fn $name() {
                let mut engines = engines();
                engines[$engine] = engines[$engine].clone().with_fault($step, $fault);
                let simulation = Simulation::run(
                    engines,
                    &[0, 1, 2],
                    &generation_request(PROMPT, ANSWER),
                    PipeSettings::default(),
                );
                check_complete(&simulation);
                assert!(
                    simulation.longest_gap <= Millis($gap_ms),
                    "gap of {}",
                    simulation.longest_gap
                );
            }
        )+
    };
}

// The next token may take up to 1 s after the target of a stage was killed, and up to 2 s after it
// hung.
one_fault! {
    first_stage_dies_at_prefill: 0 at 0, Fault::Die, within 1000;
    first_stage_dies_while_decoding: 0 at 5, Fault::Die, within 1000;
    middle_stage_dies_at_prefill: 1 at 0, Fault::Die, within 1000;
    middle_stage_dies_while_decoding: 1 at 6, Fault::Die, within 1000;
    last_stage_dies_while_decoding: 2 at 4, Fault::Die, within 1000;
    first_stage_hangs: 0 at 5, Fault::Hang, within 2000;
    middle_stage_hangs: 1 at 5, Fault::Hang, within 2000;
    last_stage_hangs: 2 at 5, Fault::Hang, within 2000;
    middle_stage_hangs_at_prefill: 1 at 0, Fault::Hang, within 2000;
    answer_of_first_stage_is_lost: 0 at 3, Fault::LoseAnswer, within 1000;
    answer_of_middle_stage_is_lost: 1 at 3, Fault::LoseAnswer, within 1000;
    answer_of_last_stage_is_lost: 2 at 3, Fault::LoseAnswer, within 1000;
    step_to_middle_stage_is_lost: 1 at 3, Fault::LoseStep, within 1000;
    middle_stage_drops_its_sessions: 1 at 4, Fault::DropSessions, within 1000;
    middle_stage_is_full_at_prefill: 1 at 0, Fault::Refuse(0), within 1000;
    middle_stage_leaves: 1 at 4, Fault::Refuse(1), within 1000;
    last_stage_changed_its_layers: 2 at 4, Fault::Refuse(2), within 1000;
    middle_stage_slows_beyond_its_timeout: 1 at 5, Fault::Slow(5000), within 2000;
}

#[test]
fn request_without_faults_runs_each_position_once_per_layer() {
    let simulation = Simulation::run(
        engines(),
        &[0, 1, 2],
        &generation_request(PROMPT, ANSWER),
        PipeSettings::default(),
    );
    check_complete(&simulation);
    let positions = PROMPT + ANSWER as usize - 1;
    assert_eq!(simulation.runs.len(), positions * 12);
}

#[test]
fn prompt_in_chunks_gives_the_same_answer() {
    let settings = PipeSettings {
        chunk_positions: 3,
        ..PipeSettings::default()
    };
    check_complete(&Simulation::run(
        engines(),
        &[0, 1, 2],
        &generation_request(PROMPT, ANSWER),
        settings,
    ));
}

#[test]
fn replacement_of_the_middle_stage_dies_at_its_first_step() {
    let mut engines = engines();
    engines[1] = engines[1].clone().with_fault(4, Fault::Die);
    engines[4] = engines[4].clone().with_fault(0, Fault::Die);
    engines.push(Engine::new(stage("b3", 4, 8)));
    check_complete(&Simulation::run(
        engines,
        &[0, 1, 2],
        &generation_request(PROMPT, ANSWER),
        PipeSettings::default(),
    ));
}

#[test]
fn neighbouring_stages_die_together() {
    let mut engines = engines();
    engines[0] = engines[0].clone().with_fault(4, Fault::Die);
    engines[1] = engines[1].clone().with_fault(4, Fault::Die);
    check_complete(&Simulation::run(
        engines,
        &[0, 1, 2],
        &generation_request(PROMPT, ANSWER),
        PipeSettings::default(),
    ));
}

#[test]
fn two_targets_take_over_the_layers_of_one() {
    let mut engines = engines();
    engines[1] = engines[1].clone().with_fault(6, Fault::Die);
    engines[4] = Engine::new(stage("b2", 4, 6));
    engines.push(Engine::new(stage("b3", 6, 8)));
    check_complete(&Simulation::run(
        engines,
        &[0, 1, 2],
        &generation_request(PROMPT, ANSWER),
        PipeSettings::default(),
    ));
}

#[test]
fn stage_without_buffered_inputs_is_rebuilt_from_the_tokens() {
    let mut engines = engines();
    engines[2] = engines[2].clone().with_fault(6, Fault::Die);
    let settings = PipeSettings {
        buffer_bytes: 64,
        ..PipeSettings::default()
    };
    let simulation = Simulation::run(
        engines,
        &[0, 1, 2],
        &generation_request(PROMPT, ANSWER),
        settings,
    );
    check_complete(&simulation);
}

#[test]
fn leaving_stage_transfers_its_cache_and_no_position_runs_again() {
    let mut engines = engines();
    engines[1] = engines[1].clone().with_fault(6, Fault::Refuse(1));
    let simulation = Simulation::run(
        engines,
        &[0, 1, 2],
        &generation_request(PROMPT, ANSWER),
        PipeSettings::default(),
    );
    check_complete(&simulation);
    let middle = simulation
        .runs
        .keys()
        .filter(|(_, _, layer)| *layer == 4)
        .count();
    assert_eq!(
        middle,
        PROMPT + ANSWER as usize - 1,
        "a position was run again"
    );
}

macro_rules! failed_transfer {
    ($($name:ident: export $export:expr, import $import:expr, within $gap_ms:literal;)+) => {
        $(
            #[test]
            fn $name() {
                let mut engines = engines();
                let leaving = engines[1].clone().with_fault(6, Fault::Refuse(1));
                engines[1] = match $export {
                    Some(fault) => leaving.with_transfer_fault(0, fault),
                    None => leaving,
                };
                if let Some(fault) = $import {
                    engines[4] = engines[4].clone().with_transfer_fault(0, fault);
                }
                let request = generation_request(PROMPT, ANSWER);
                let simulation =
                    Simulation::run(engines, &[0, 1, 2], &request, PipeSettings::default());
                check_complete(&simulation);
                assert!(
                    simulation.longest_gap <= Millis($gap_ms),
                    "gap of {}",
                    simulation.longest_gap
                );
            }
        )+
    };
}

failed_transfer! {
    export_is_refused: export Some(TransferFault::Fail), import None, within 100;
    export_is_never_answered: export Some(TransferFault::Hang), import None, within 1000;
    export_is_answered_too_late: export Some(TransferFault::Slow(900)), import None, within 1000;
    export_holds_an_extra_position:
        export Some(TransferFault::ExtraPosition), import None, within 100;
    import_is_refused: export None, import Some(TransferFault::Fail), within 100;
    answer_of_import_is_lost: export None, import Some(TransferFault::LoseAnswer), within 100;
    import_is_never_answered: export None, import Some(TransferFault::Hang), within 1000;
    import_is_answered_too_late: export None, import Some(TransferFault::Slow(900)), within 1000;
}

#[test]
fn degraded_stage_transfers_its_cache_and_no_position_runs_again() {
    let mut engines = engines();
    engines[1] = engines[1].clone().with_fault(3, Fault::Degrade);
    let settings = PipeSettings {
        min_move_tokens: 1,
        ..PipeSettings::default()
    };
    let simulation = Simulation::run(
        engines,
        &[0, 1, 2],
        &generation_request(PROMPT, ANSWER),
        settings,
    );
    check_complete(&simulation);
    assert_eq!(simulation.pipeline.rebuilds(), 1);
    let positions = (PROMPT + ANSWER as usize - 1) * 12;
    assert_eq!(simulation.runs.len(), positions, "a position was run again");
}

#[test]
fn degraded_stage_without_a_replacement_is_kept() {
    let mut engines = engines();
    engines.truncate(3);
    engines[1] = engines[1].clone().with_fault(3, Fault::Degrade);
    let settings = PipeSettings {
        min_move_tokens: 1,
        ..PipeSettings::default()
    };
    let simulation = Simulation::run(
        engines,
        &[0, 1, 2],
        &generation_request(PROMPT, ANSWER),
        settings,
    );
    check_complete(&simulation);
    assert_eq!(simulation.pipeline.rebuilds(), 0);
    assert!(
        simulation.longest_gap <= Millis(100),
        "gap of {}",
        simulation.longest_gap
    );
}

#[test]
fn request_ends_unknown_when_a_dead_stage_has_no_replacement() {
    let mut engines = engines();
    engines.truncate(3);
    engines[1] = engines[1].clone().with_fault(4, Fault::Die);
    let settings = PipeSettings {
        replace_limit_ms: Millis(1000),
        ..PipeSettings::default()
    };
    let simulation = Simulation::run(
        engines,
        &[0, 1, 2],
        &generation_request(PROMPT, ANSWER),
        settings,
    );
    assert_eq!(
        simulation.result,
        Some((Outcome::Unknown, Reason::TargetFailed))
    );
    let expected = reference_answer(
        12,
        &generation_request(PROMPT, ANSWER).prompt,
        ANSWER as usize,
    );
    assert!(expected.starts_with(&simulation.tokens));
}

#[test]
fn request_that_reached_no_target_ends_as_not_run() {
    let mut engines = engines();
    engines.truncate(3);
    engines[0] = engines[0].clone().with_fault(0, Fault::Die);
    let settings = PipeSettings {
        replace_limit_ms: Millis(1000),
        ..PipeSettings::default()
    };
    let simulation = Simulation::run(
        engines,
        &[0, 1, 2],
        &generation_request(PROMPT, ANSWER),
        settings,
    );
    assert_eq!(
        simulation.result.map(|(outcome, _)| outcome),
        Some(Outcome::NotRun)
    );
    assert!(simulation.runs.is_empty());
}

#[test]
fn request_ends_at_its_deadline_during_a_slow_step() {
    let mut engines = engines();
    engines[0] = engines[0].clone().with_fault(2, Fault::Slow(200));
    let mut request = generation_request(PROMPT, ANSWER);
    request.deadline_ms = Some(Millis(450));
    let simulation = Simulation::run(engines, &[0, 1, 2], &request, PipeSettings::default());
    assert_eq!(
        simulation.result,
        Some((Outcome::Unknown, Reason::Deadline))
    );
    assert_eq!(simulation.finished_at, Millis(450));
}
