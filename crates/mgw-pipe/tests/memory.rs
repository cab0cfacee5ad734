//! Limits on the stage inputs that pipelines buffer.

#![allow(clippy::unwrap_used)]

mod support;

use bytes::Bytes;
use mgw_contract::caller::{Outcome, Reason};
use mgw_contract::engine::StageOutput;
use mgw_pipe::{Action, ActivationBudget, Event, PipeSettings, Pipeline};
use mgw_world::{Millis, TargetName};
use support::{ACTIVATION_BYTES, Engine, Simulation, generation_request, reference_answer, stage};

const PROMPT: usize = 400;
const CHUNK: u32 = 10;
const CHUNK_BYTES: u64 = CHUNK as u64 * ACTIVATION_BYTES as u64;

const fn step_timeout(_: &TargetName, _: u32) -> Millis {
    Millis(1000)
}

fn settings() -> PipeSettings {
    PipeSettings {
        chunk_positions: CHUNK,
        ..PipeSettings::default()
    }
}

/// Answers the steps of the first stage only, until no further one is sent; returns their number.
fn run_first_stage(pipeline: &mut Pipeline) -> u32 {
    let mut steps = 0;
    let mut actions = pipeline.start(Millis::ZERO, &step_timeout);
    loop {
        let step = actions.into_iter().find_map(|action| match action {
            Action::Step { call, stage, step } if stage.layers.first() == 0 => Some((call, step)),
            _ => None,
        });
        let Some((call, step)) = step else {
            return steps;
        };
        steps += 1;
        let bytes = vec![0; step.count as usize * ACTIVATION_BYTES];
        let output = StageOutput::Activations(Bytes::from(bytes));
        actions = pipeline.handle(
            Event::StepDone { call, output },
            Millis::ZERO,
            &step_timeout,
        );
    }
}

fn new_pipeline(budget: &ActivationBudget) -> Pipeline {
    let stages = vec![stage("a1", 0, 6), stage("b1", 6, 12)];
    Pipeline::new(generation_request(PROMPT, 4), stages, settings()).with_budget(budget.clone())
}

#[test]
fn first_stage_pauses_two_chunks_ahead_of_the_next() {
    let budget = ActivationBudget::default();
    let mut pipeline = new_pipeline(&budget);
    assert_eq!(run_first_stage(&mut pipeline), 2);
    assert_eq!(pipeline.buffered_bytes(), 2 * CHUNK_BYTES);
    assert_eq!(budget.used_bytes(), 2 * CHUNK_BYTES);
}

#[test]
fn pipelines_share_one_activation_budget() {
    let budget = ActivationBudget::new(5 * CHUNK_BYTES);
    let mut pipelines: Vec<Pipeline> = (0..20).map(|_| new_pipeline(&budget)).collect();
    let steps = pipelines.iter_mut().map(run_first_stage);
    let steps: Vec<u32> = steps.collect();
    // Two chunks each until the budget is exceeded, then one each, which lets every request
    // progress.
    assert_eq!(steps[..3], [2, 2, 2]);
    assert!(steps[3..].iter().all(|steps| *steps == 1), "{steps:?}");
    assert_eq!(budget.used_bytes(), (6 + 17) * CHUNK_BYTES);
    pipelines.truncate(3);
    assert_eq!(budget.used_bytes(), 6 * CHUNK_BYTES);
    let reason = Reason::Cancelled;
    let actions = pipelines[0].handle(Event::Cancelled { reason }, Millis::ZERO, &step_timeout);
    let freed = actions
        .iter()
        .filter(|it| matches!(it, Action::FreeSession { .. }));
    assert_eq!(freed.count(), 2);
    assert_eq!(budget.used_bytes(), 4 * CHUNK_BYTES);
}

#[test]
fn request_completes_and_buffers_at_most_two_chunks_with_an_exhausted_budget() {
    let engines = ["a1", "b1", "a2", "b2"]
        .iter()
        .enumerate()
        .map(|(index, name)| {
            let first = if index % 2 == 0 { 0 } else { 6 };
            Engine::new(stage(name, first, first + 6))
        });
    let request = generation_request(PROMPT, 4);
    let budget = ActivationBudget::new(0);
    let simulation = Simulation::run_with_budget(
        engines.collect(),
        &[0, 1],
        &request,
        settings(),
        budget.clone(),
    );
    assert_eq!(simulation.result, Some((Outcome::Done, Reason::Complete)));
    assert_eq!(simulation.tokens, reference_answer(12, &request.prompt, 4));
    assert!(
        simulation.max_buffered_bytes <= 2 * CHUNK_BYTES,
        "buffered {} bytes",
        simulation.max_buffered_bytes
    );
    assert_eq!(budget.used_bytes(), 0);
}
