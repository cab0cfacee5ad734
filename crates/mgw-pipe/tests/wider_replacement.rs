//! Stages whose exact layer range no other target serves: they are replaced together with whole
//! neighbouring stages.

#![allow(clippy::unwrap_used)]

mod support;

use mgw_contract::caller::{Outcome, Reason};
use mgw_pipe::PipeSettings;
use mgw_world::Millis;
use support::{Engine, Fault, Simulation, generation_request, reference_answer, stage};

const PROMPT: usize = 20;
const ANSWER: u32 = 12;

/// Chains whose stages have few layer boundaries in common.
fn engines() -> Vec<Engine> {
    vec![
        Engine::new(stage("pos-1", 0, 4)),
        Engine::new(stage("pos-2", 4, 8)),
        Engine::new(stage("pos-3", 8, 12)),
        Engine::new(stage("sfo-1", 0, 6)),
        Engine::new(stage("sfo-2", 6, 12)),
        Engine::new(stage("chg-1", 0, 3)),
        Engine::new(stage("chg-2", 3, 8)),
        Engine::new(stage("chg-3", 8, 12)),
        Engine::new(stage("chg-4", 4, 9)),
        Engine::new(stage("chg-5", 9, 12)),
    ]
}

macro_rules! wider_replacement_cases {
    ($($name:ident: path $path:expr, faults $faults:expr, buffer $buffer:expr, within $gap_ms:literal;)+) => {
        $(
            #[test]
            fn $name() {
                let mut engines = engines();
                let faults: &[(usize, u32, Fault)] = &$faults;
                for (engine, step, fault) in faults {
                    engines[*engine] = engines[*engine].clone().with_fault(*step, *fault);
                }
                let settings = PipeSettings { buffer_bytes: $buffer, ..PipeSettings::default() };
                let request = generation_request(PROMPT, ANSWER);
                let simulation = Simulation::run(engines, &$path, &request, settings);
                assert_eq!(simulation.result, Some((Outcome::Done, Reason::Complete)));
                assert_eq!(
                    simulation.tokens,
                    reference_answer(12, &request.prompt, ANSWER as usize)
                );
                let repeated = simulation.runs.iter().find(|(_, count)| **count > 1);
                assert_eq!(repeated, None, "a position ran twice in one session");
                let remaining_sessions: usize =
                    simulation.engines.iter().map(Engine::sessions).sum();
                assert_eq!(remaining_sessions, 0, "sessions were not freed");
                assert!(
                    simulation.longest_gap <= Millis($gap_ms),
                    "gap of {}",
                    simulation.longest_gap
                );
            }
        )+
    };
}

wider_replacement_cases! {
    last_stage_dies_and_the_first_is_replaced_too: path [3, 4],
        faults [(4, 5, Fault::Die)], buffer 1 << 20, within 1000;
    first_stage_dies_and_the_last_is_replaced_too: path [3, 4],
        faults [(3, 5, Fault::Die)], buffer 1 << 20, within 1000;
    first_stage_dies_before_any_position: path [3, 4],
        faults [(3, 0, Fault::Die)], buffer 1 << 20, within 1000;
    last_stage_dies_at_prefill: path [3, 4],
        faults [(4, 0, Fault::Die)], buffer 1 << 20, within 1000;
    middle_stage_dies_and_the_first_is_replaced_too: path [0, 1, 2],
        faults [(1, 6, Fault::Die)], buffer 1 << 20, within 1000;
    first_stage_dies_and_the_middle_is_replaced_too: path [5, 6, 7],
        faults [(5, 6, Fault::Die)], buffer 1 << 20, within 1000;
    middle_stage_dies_without_buffered_inputs: path [0, 1, 2],
        faults [(1, 6, Fault::Die)], buffer 0, within 1000;
    replacement_of_the_wider_range_dies_too: path [3, 4],
        faults [(4, 5, Fault::Die), (1, 0, Fault::Die)], buffer 1 << 20, within 1000;
    replacement_dies_after_its_prefill: path [3, 4],
        faults [(4, 5, Fault::Die), (1, 2, Fault::Die), (6, 0, Fault::LoseAnswer)], buffer 1 << 20, within 1000;
    both_stages_die_together: path [3, 4],
        faults [(3, 5, Fault::Die), (4, 5, Fault::Die)], buffer 1 << 20, within 1000;
    last_stage_hangs: path [3, 4],
        faults [(4, 5, Fault::Hang)], buffer 1 << 20, within 2000;
    last_stage_slows_beyond_its_timeout: path [3, 4],
        faults [(4, 5, Fault::Slow(5000))], buffer 1 << 20, within 2000;
    wider_replacement_drops_its_session: path [3, 4],
        faults [(4, 5, Fault::Die), (1, 3, Fault::DropSessions)], buffer 1 << 20, within 1000;
    last_stage_dies_and_the_middle_is_replaced_too: path [0, 8, 9],
        faults [(9, 5, Fault::Die)], buffer 1 << 20, within 1000;
    last_stage_dies_and_the_middle_is_replaced_too_without_buffered_inputs: path [0, 8, 9],
        faults [(9, 5, Fault::Die)], buffer 0, within 1000;
    leaving_stage_without_a_replica_is_replaced: path [3, 4],
        faults [(4, 5, Fault::Refuse(1))], buffer 1 << 20, within 1000;
}
