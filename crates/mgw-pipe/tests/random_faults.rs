//! Random faults at random steps: every whole answer is right and no session runs a position twice.

#![allow(clippy::unwrap_used)]

mod support;

use mgw_contract::caller::Outcome;
use mgw_pipe::PipeSettings;
use proptest::prelude::*;
use support::{Bench, Engine, Fault, order, reference, stage};

fn any_fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        Just(Fault::Die),
        Just(Fault::LoseAnswer),
        Just(Fault::LoseStep),
        Just(Fault::Hang),
        Just(Fault::Forget),
        (0_u64..900).prop_map(Fault::Slow),
        (0_u8..3).prop_map(Fault::Refuse),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2000,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(20261204),
        ..ProptestConfig::default()
    })]

    #[test]
    fn answers_are_whole_and_right_or_said_not_to_be(
        faults in proptest::collection::vec((0_usize..9, 0_u32..20, any_fault()), 0..6),
        prompt in 1_usize..40,
        chunk in 1_u32..40,
        buffer_bytes in prop_oneof![Just(0_u64), Just(100), Just(1 << 20)],
    ) {
        let names = ["a1", "b1", "c1", "a2", "b2", "c2", "a3", "b3", "c3"];
        let mut engines: Vec<Engine> = names.iter().enumerate().map(|(index, name)| {
            let first = u16::try_from(index % 3).unwrap() * 4;
            Engine::new(stage(name, first, first + 4))
        }).collect();
        for (engine, step, fault) in faults {
            engines[engine] = engines[engine].clone().with_fault(step, fault);
        }
        let settings =
            PipeSettings { chunk_positions: chunk, buffer_bytes, ..PipeSettings::default() };
        let order = order(prompt, 8);
        let whole = reference(12, &order.prompt, 8);
        let bench = Bench::run(engines, &[0, 1, 2], &order, settings);
        let doubled = bench.runs.iter().find(|(_, count)| **count > 1);
        prop_assert_eq!(doubled, None);
        prop_assert!(whole.starts_with(&bench.tokens), "a wrong token came out");
        match bench.end.map(|(outcome, _)| outcome) {
            Some(Outcome::Done) => prop_assert_eq!(&bench.tokens, &whole),
            Some(Outcome::NotRun) => prop_assert!(bench.runs.is_empty(), "it did run"),
            _ => {}
        }
        let alive_sessions: usize = bench.engines.iter().map(Engine::sessions).sum();
        prop_assert_eq!(alive_sessions, 0);
    }
}
