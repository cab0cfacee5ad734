//! Steps of an engine: which run, which are refused, and what a chain of stages outputs.

#![allow(clippy::unwrap_used)]

use bytes::Bytes;
use mgw_contract::engine::{
    SessionKey, StageInput, StageOutput, StageStep, StepRefusal, StepResult,
};
use mgw_contract::tokens::tokenize;
use mgw_standin::engine::EngineCore;
use mgw_standin::model::{model_seed, reference_answer};
use mgw_standin::settings::EngineSettings;
use mgw_world::{Attempt, LayerRange, Millis, Position, RequestId};

const MODEL_LAYERS: u16 = 12;
const NOW: Millis = Millis(0);

fn layers(first: u16, end: u16) -> LayerRange {
    LayerRange::new(first, end).unwrap()
}

fn settings() -> EngineSettings {
    EngineSettings {
        model_layers: MODEL_LAYERS,
        activation_bytes: 24,
        kv_bytes_per_layer: 10,
        ..EngineSettings::default()
    }
}

fn engine(range: LayerRange) -> EngineCore {
    EngineCore::new("e".into(), settings(), range)
}

fn key(attempt: u32) -> SessionKey {
    SessionKey {
        request: RequestId(7),
        attempt: Attempt(attempt),
    }
}

fn step(range: LayerRange, attempt: u32, first: u32, input: StageInput) -> StageStep {
    let count = match &input {
        StageInput::Tokens(tokens) => tokens.len(),
        StageInput::Activations(bytes) => bytes.len() / 24,
    };
    StageStep {
        session: key(attempt),
        version: "v1".into(),
        layers: range,
        first: Position(first),
        count: u32::try_from(count).unwrap(),
        priority: 0,
        deadline_ms: None,
        input,
    }
}

fn tokens(range: LayerRange, attempt: u32, first: u32, tokens: &[u32]) -> StageStep {
    step(range, attempt, first, StageInput::Tokens(tokens.to_vec()))
}

fn run(engine: &mut EngineCore, step: &StageStep) -> StepResult {
    engine.start(step, NOW)?;
    engine.finish(step, NOW).result
}

/// Runs a prompt and the generated tokens through a chain of engines and returns `count` tokens.
fn generate(chain: &mut [EngineCore], prompt: &[u32], count: u32) -> Vec<u32> {
    let mut answer = Vec::new();
    let mut first = 0;
    let mut input = prompt.to_vec();
    while answer.len() < count as usize {
        let mut stage_input = StageInput::Tokens(input.clone());
        for engine in chain.iter_mut() {
            let range = engine.loaded().layers;
            match run(engine, &step(range, 1, first, stage_input.clone())).unwrap() {
                StageOutput::Activations(bytes) => stage_input = StageInput::Activations(bytes),
                StageOutput::Token(token) => answer.push(token),
            }
        }
        first += u32::try_from(input.len()).unwrap();
        input = vec![*answer.last().unwrap()];
    }
    answer
}

#[test]
fn every_split_of_the_layers_gives_the_reference_answer() {
    let prompt = tokenize("draft an evacuation drill scenario");
    let seed = model_seed(&"drill".into(), &"v1".into());
    let reference = reference_answer(seed, MODEL_LAYERS, &prompt, 9);
    for cuts in [
        &[0, 12][..],
        &[0, 5, 12],
        &[0, 1, 2, 11, 12],
        &[0, 4, 8, 12],
    ] {
        let ranges = cuts.windows(2).map(|pair| layers(pair[0], pair[1]));
        let mut chain: Vec<EngineCore> = ranges.map(engine).collect();
        assert_eq!(generate(&mut chain, &prompt, 9), reference, "{cuts:?}");
    }
}

#[test]
fn chains_with_wrong_layers_give_another_answer() {
    let prompt = tokenize("draft a palette rationale");
    let seed = model_seed(&"drill".into(), &"v1".into());
    let reference = reference_answer(seed, MODEL_LAYERS, &prompt, 6);
    for cuts in [
        &[(0, 5), (6, 12)][..],
        &[(0, 5), (4, 12)],
        &[(0, 4), (8, 12)],
        &[(0, 4), (4, 8), (4, 8), (8, 12)],
    ] {
        let ranges = cuts.iter().map(|cut| layers(cut.0, cut.1));
        let mut chain: Vec<EngineCore> = ranges.map(engine).collect();
        assert_ne!(generate(&mut chain, &prompt, 6), reference, "{cuts:?}");
    }
}

macro_rules! step_refusal_tests {
    ($($name:ident: $step:expr => $refusal:expr;)*) => {$(
        #[test]
        fn $name() {
            let range = layers(0, 4);
            let mut engine = engine(range);
            run(&mut engine, &tokens(range, 1, 0, &[1, 2, 3])).unwrap();
            let status = engine.sessions().session_status(key(1));
            let used = engine.sessions().kv_bytes_used();
            let step: StageStep = $step;
            assert_eq!(run(&mut engine, &step), Err($refusal));
            assert_eq!(engine.sessions().session_status(key(1)), status);
            assert_eq!(engine.sessions().kv_bytes_used(), used);
        }
    )*};
}

step_refusal_tests! {
    repeated_step: tokens(layers(0, 4), 1, 0, &[1, 2, 3])
        => StepRefusal::WrongPosition { next: Position(3) };
    overlapping_step: tokens(layers(0, 4), 1, 2, &[3, 4])
        => StepRefusal::WrongPosition { next: Position(3) };
    step_after_a_gap: tokens(layers(0, 4), 1, 4, &[5])
        => StepRefusal::WrongPosition { next: Position(3) };
    later_step_of_an_unknown_session: tokens(layers(0, 4), 2, 3, &[4]) => StepRefusal::NoSession;
    other_layers: tokens(layers(0, 5), 1, 3, &[4]) => StepRefusal::WrongLayers;
    part_of_the_layers: tokens(layers(0, 3), 1, 3, &[4]) => StepRefusal::WrongLayers;
    other_version: StageStep { version: "v2".into(), ..tokens(layers(0, 4), 1, 3, &[4]) }
        => StepRefusal::WrongLayers;
    fewer_tokens_than_positions: StageStep { count: 2, ..tokens(layers(0, 4), 1, 3, &[4]) }
        => StepRefusal::WrongInput;
    no_positions: tokens(layers(0, 4), 1, 3, &[]) => StepRefusal::WrongInput;
    activations_for_the_first_stage:
        step(layers(0, 4), 1, 3, StageInput::Activations(Bytes::from(vec![0; 24])))
        => StepRefusal::WrongInput;
    more_tokens_than_the_kv_memory_holds:
        tokens(layers(0, 4), 2, 0, &vec![1; 2_000_000]) => StepRefusal::Full;
}

#[test]
fn activations_of_the_wrong_size_or_with_broken_filler_are_refused() {
    let range = layers(4, 8);
    let mut engine = engine(range);
    let mut broken = vec![0; 24];
    broken[23] = 1;
    for bytes in [vec![0; 23], vec![0; 48], broken] {
        let mut step = step(range, 1, 0, StageInput::Activations(Bytes::from(bytes)));
        step.count = 1;
        assert_eq!(run(&mut engine, &step), Err(StepRefusal::WrongInput));
    }
    assert!(engine.sessions().is_empty());
}

#[test]
fn a_running_step_blocks_other_steps_of_its_session() {
    let range = layers(0, 4);
    let mut engine = engine(range);
    let first = tokens(range, 1, 0, &[1, 2]);
    engine.start(&first, NOW).unwrap();
    let status = engine.sessions().session_status(key(1)).unwrap();
    assert!(status.running);
    let refusal = StepRefusal::WrongPosition { next: Position(0) };
    assert_eq!(engine.start(&first, NOW), Err(refusal));
    engine.finish(&first, NOW).result.unwrap();
    let status = engine.sessions().session_status(key(1)).unwrap();
    assert_eq!((status.next, status.running), (Position(2), false));
}

#[test]
fn a_freed_session_is_never_opened_again() {
    let range = layers(0, 4);
    let mut engine = engine(range);
    let first = tokens(range, 1, 0, &[1, 2]);
    engine.start(&first, NOW).unwrap();
    assert!(engine.sessions_mut().free(key(1)));
    assert!(engine.finish(&first, NOW).line.is_some());
    assert!(engine.sessions().is_empty());
    assert_eq!(engine.sessions().kv_bytes_used(), 0);
    assert_eq!(run(&mut engine, &first), Err(StepRefusal::NoSession));
    assert!(!engine.sessions_mut().free(key(2)));
    let late = tokens(range, 2, 0, &[1]);
    assert_eq!(run(&mut engine, &late), Err(StepRefusal::NoSession));
}

#[test]
fn the_number_of_sessions_is_bounded_and_idle_ones_are_freed() {
    let range = layers(0, 4);
    let settings = EngineSettings {
        max_requests: 2,
        session_idle_ms: Millis(100),
        ..settings()
    };
    let mut engine = EngineCore::new("e".into(), settings, range);
    for attempt in 1..=2 {
        run(&mut engine, &tokens(range, attempt, 0, &[1])).unwrap();
    }
    let third = tokens(range, 3, 0, &[1]);
    assert_eq!(run(&mut engine, &third), Err(StepRefusal::Full));
    assert!(engine.sessions_mut().free_idle(Millis(99)).is_empty());
    assert_eq!(engine.sessions_mut().free_idle(Millis(100)).len(), 2);
    run(&mut engine, &third).unwrap();
}

#[test]
fn an_imported_kv_cache_equals_a_replay() {
    let range = layers(0, 4);
    let inputs = [1, 2, 3, 4, 5, 6];
    for cut in 1..inputs.len() {
        let (before, after) = inputs.split_at(cut);
        let mut old = engine(range);
        run(&mut old, &tokens(range, 1, 0, before)).unwrap();
        let image = old.export(key(1)).unwrap();
        assert_eq!(image.bytes.len(), (cut * 4 * 10).max(4 * 8));

        let mut imported = engine(range);
        let status = imported.import(key(2), &image, NOW).unwrap();
        assert_eq!(status.next.0 as usize, cut);
        let mut replayed = engine(range);
        run(&mut replayed, &tokens(range, 2, 0, before)).unwrap();
        let next = tokens(range, 2, status.next.0, after);
        assert_eq!(run(&mut imported, &next), run(&mut replayed, &next));
        let images = [&imported, &replayed].map(|engine| engine.export(key(2)));
        assert_eq!(images[0], images[1]);
    }
}

#[test]
fn an_import_that_does_not_fit_is_refused() {
    let range = layers(0, 4);
    let mut old = engine(range);
    run(&mut old, &tokens(range, 1, 0, &[1, 2])).unwrap();
    let image = old.export(key(1)).unwrap();
    let short = mgw_contract::engine::KvImage {
        bytes: image.bytes.slice(..31),
        ..image.clone()
    };
    let mut other = engine(layers(4, 8));
    assert_eq!(
        other.import(key(2), &image, NOW),
        Err(StepRefusal::WrongLayers)
    );
    let open = StepRefusal::WrongPosition { next: Position(2) };
    assert_eq!(old.import(key(1), &image, NOW), Err(open));
    assert_eq!(
        old.import(key(2), &short, NOW),
        Err(StepRefusal::WrongInput)
    );
    old.sessions_mut().free(key(1));
    assert_eq!(old.import(key(1), &image, NOW), Err(StepRefusal::NoSession));
    old.leave();
    assert_eq!(old.import(key(3), &image, NOW), Err(StepRefusal::Leaving));
}

#[test]
fn a_leaving_engine_continues_its_sessions_but_opens_none() {
    let range = layers(0, 4);
    let mut engine = engine(range);
    run(&mut engine, &tokens(range, 1, 0, &[1])).unwrap();
    engine.leave();
    run(&mut engine, &tokens(range, 1, 1, &[2])).unwrap();
    let new = tokens(range, 2, 0, &[1]);
    assert_eq!(run(&mut engine, &new), Err(StepRefusal::Leaving));
}
