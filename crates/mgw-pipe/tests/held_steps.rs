//! Steps that wait in this process before they are sent: their time runs from the sending on.

use mgw_pipe::{Action, CallId, Event, GenerationRequest, PipeSettings, Pipeline, Stage};
use mgw_world::{LayerRange, Millis, ModelVersion, RequestId, TargetName};

const PATIENCE_MS: Millis = Millis(300);

fn patience(_: &TargetName, _: u32) -> Millis {
    PATIENCE_MS
}

/// A pipeline over one stage, and its first step.
fn start() -> (Pipeline, CallId) {
    let stage = Stage {
        target: TargetName::from("a1"),
        address: std::net::SocketAddr::from(([127, 0, 0, 1], 1)),
        layers: LayerRange::new(0, 4).expect("four layers"),
        version: ModelVersion::from("v1"),
    };
    let order = GenerationRequest {
        request_id: RequestId(1),
        prompt: vec![1, 2, 3],
        max_tokens: 4,
        activation_bytes: 8,
        priority: 0,
        deadline_ms: Some(Millis(60_000)),
    };
    let mut pipeline = Pipeline::new(order, vec![stage], PipeSettings::default());
    let actions = pipeline.start(Millis::ZERO, &patience);
    let [Action::Step { call, step, .. }] = actions.as_slice() else {
        panic!("one step was expected: {actions:?}");
    };
    assert_eq!(step.count, 3);
    (pipeline, *call)
}

fn asks(actions: &[Action]) -> bool {
    actions
        .iter()
        .any(|action| matches!(action, Action::QuerySession { .. }))
}

#[test]
fn target_is_asked_once_the_patience_is_over() {
    let (mut pipeline, _) = start();
    assert!(pipeline.tick(Millis(299), &patience).is_empty());
    assert!(asks(&pipeline.tick(Millis(300), &patience)));
}

#[test]
fn waiting_step_gets_more_time() {
    let (mut pipeline, call) = start();
    let held = Event::StepQueued {
        call,
        sent_at: None,
    };
    assert!(pipeline.handle(held, Millis(300), &patience).is_empty());
    assert!(pipeline.tick(Millis(300), &patience).is_empty());
    assert_eq!(pipeline.next_wakeup(), Some(Millis(600)));
    assert!(asks(&pipeline.tick(Millis(600), &patience)));
}

#[test]
fn time_runs_from_the_sending_on() {
    let (mut pipeline, call) = start();
    let held = Event::StepQueued {
        call,
        sent_at: Some(Millis(250)),
    };
    assert!(pipeline.handle(held, Millis(300), &patience).is_empty());
    assert!(pipeline.tick(Millis(549), &patience).is_empty());
    assert!(asks(&pipeline.tick(Millis(550), &patience)));
}

#[test]
fn later_news_of_the_sending_never_shortens_the_time() {
    let (mut pipeline, call) = start();
    let waits = Event::StepQueued {
        call,
        sent_at: None,
    };
    let was_sent = Event::StepQueued {
        call,
        sent_at: Some(Millis(10)),
    };
    pipeline.handle(waits, Millis(300), &patience);
    pipeline.handle(was_sent, Millis(310), &patience);
    assert_eq!(pipeline.next_wakeup(), Some(Millis(600)));
}

#[test]
fn request_past_its_deadline_ends_although_its_step_waits() {
    let (mut pipeline, call) = start();
    let held = Event::StepQueued {
        call,
        sent_at: None,
    };
    pipeline.handle(held, Millis(59_900), &patience);
    let actions = pipeline.tick(Millis(60_000), &patience);
    assert!(
        actions
            .iter()
            .any(|action| matches!(action, Action::Finish { .. }))
    );
}

#[test]
fn hold_of_another_call_changes_nothing() {
    let (mut pipeline, call) = start();
    let held = Event::StepQueued {
        call: CallId(call.0 + 1),
        sent_at: None,
    };
    pipeline.handle(held, Millis(200), &patience);
    assert_eq!(pipeline.next_wakeup(), Some(Millis(300)));
}
