//! A caller disconnects at any moment: the sessions at the targets are freed at once.

#![allow(clippy::unwrap_used)]

mod support;

use mgw_contract::caller::{Outcome, Reason};
use mgw_pipe::PipeSettings;
use mgw_world::Millis;
use support::{Engine, Fault, Simulation, TransferFault, generation_request, stage};

/// Later than the end of every request in this file.
const LAST_MS: u64 = 1200;

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

macro_rules! cancellation_cases {
    ($($name:ident: middle $fault:expr, transfer $transfer:expr;)+) => {
        $(
            #[test]
            fn $name() {
                for at in (0..LAST_MS).step_by(3).map(Millis) {
                    let mut engines = engines();
                    if let Some(fault) = $fault {
                        engines[1] = engines[1].clone().with_fault(4, fault);
                    }
                    if let Some(fault) = $transfer {
                        engines[1] = engines[1].clone().with_transfer_fault(0, fault);
                        engines[4] = engines[4].clone().with_transfer_fault(0, fault);
                    }
                    let request = generation_request(12, 8);
                    let settings = PipeSettings::default();
                    let simulation =
                        Simulation::run_cancelled(engines, &[0, 1, 2], &request, settings, at);
                    let remaining_sessions: usize =
                        simulation.engines.iter().map(Engine::sessions).sum();
                    assert_eq!(remaining_sessions, 0, "sessions not freed, cancelled at {at}");
                    if simulation.result != Some((Outcome::Done, Reason::Complete)) {
                        assert_eq!(
                            simulation.result.map(|(_, reason)| reason),
                            Some(Reason::Cancelled)
                        );
                        assert_eq!(simulation.finished_at, at);
                    }
                }
            }
        )+
    };
}

cancellation_cases! {
    cancel_without_faults_frees_all_sessions: middle None, transfer None;
    cancel_while_a_stage_is_dead_frees_all_sessions: middle Some(Fault::Die), transfer None;
    cancel_while_a_stage_hangs_frees_all_sessions: middle Some(Fault::Hang), transfer None;
    cancel_while_a_stage_is_slow_frees_all_sessions: middle Some(Fault::Slow(400)), transfer None;
    cancel_during_a_cache_transfer_frees_all_sessions: middle Some(Fault::Refuse(1)), transfer None;
    cancel_during_a_slow_cache_transfer_frees_all_sessions:
        middle Some(Fault::Refuse(1)), transfer Some(TransferFault::Slow(100));
    cancel_while_an_export_or_import_hangs_frees_all_sessions:
        middle Some(Fault::Refuse(1)), transfer Some(TransferFault::Hang);
}
