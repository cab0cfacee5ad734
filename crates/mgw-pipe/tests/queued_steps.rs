//! Steps that wait in this process before they are sent: their timeout starts when they are sent.

use mgw_pipe::{Action, CallId, Event, GenerationRequest, PipeSettings, Pipeline, Stage};
use mgw_world::{LayerRange, Millis, ModelVersion, RequestId, TargetName};

const STEP_TIMEOUT_MS: Millis = Millis(300);

fn step_timeout(_: &TargetName, _: u32) -> Millis {
    STEP_TIMEOUT_MS
}

/// A pipeline over one stage, and its first step.
fn start() -> (Pipeline, CallId) {
    let stage = Stage {
        target: TargetName::from("a1"),
        address: std::net::SocketAddr::from(([127, 0, 0, 1], 1)),
        layers: LayerRange::new(0, 4).expect("four layers"),
        version: ModelVersion::from("v1"),
    };
    let request = GenerationRequest {
        request_id: RequestId(1),
        prompt: vec![1, 2, 3],
        max_tokens: 4,
        activation_bytes: 8,
        priority: 0,
        deadline_ms: Some(Millis(60_000)),
    };
    let mut pipeline = Pipeline::new(request, vec![stage], PipeSettings::default());
    let actions = pipeline.start(Millis::ZERO, &step_timeout);
    let [Action::Step { call, step, .. }] = actions.as_slice() else {
        panic!("expected exactly one step, got {actions:?}");
    };
    assert_eq!(step.count, 3);
    (pipeline, *call)
}

fn queries_session(actions: &[Action]) -> bool {
    actions
        .iter()
        .any(|action| matches!(action, Action::QuerySession { .. }))
}

#[test]
fn target_is_queried_after_the_step_timeout() {
    let (mut pipeline, _) = start();
    assert!(pipeline.tick(Millis(299), &step_timeout).is_empty());
    assert!(queries_session(&pipeline.tick(Millis(300), &step_timeout)));
}

#[test]
fn step_timeout_is_extended_while_the_step_is_queued() {
    let (mut pipeline, call) = start();
    let queued = Event::StepQueued {
        call,
        sent_at: None,
    };
    assert!(
        pipeline
            .handle(queued, Millis(300), &step_timeout)
            .is_empty()
    );
    assert!(pipeline.tick(Millis(300), &step_timeout).is_empty());
    assert_eq!(pipeline.next_wakeup(), Some(Millis(600)));
    assert!(queries_session(&pipeline.tick(Millis(600), &step_timeout)));
}

#[test]
fn step_timeout_starts_when_the_step_is_sent() {
    let (mut pipeline, call) = start();
    let queued = Event::StepQueued {
        call,
        sent_at: Some(Millis(250)),
    };
    assert!(
        pipeline
            .handle(queued, Millis(300), &step_timeout)
            .is_empty()
    );
    assert!(pipeline.tick(Millis(549), &step_timeout).is_empty());
    assert!(queries_session(&pipeline.tick(Millis(550), &step_timeout)));
}

#[test]
fn late_report_of_the_send_time_never_shortens_the_timeout() {
    let (mut pipeline, call) = start();
    let still_queued = Event::StepQueued {
        call,
        sent_at: None,
    };
    let sent_earlier = Event::StepQueued {
        call,
        sent_at: Some(Millis(10)),
    };
    pipeline.handle(still_queued, Millis(300), &step_timeout);
    pipeline.handle(sent_earlier, Millis(310), &step_timeout);
    assert_eq!(pipeline.next_wakeup(), Some(Millis(600)));
}

#[test]
fn request_past_its_deadline_finishes_while_its_step_is_queued() {
    let (mut pipeline, call) = start();
    let queued = Event::StepQueued {
        call,
        sent_at: None,
    };
    pipeline.handle(queued, Millis(59_900), &step_timeout);
    let actions = pipeline.tick(Millis(60_000), &step_timeout);
    assert!(
        actions
            .iter()
            .any(|action| matches!(action, Action::Finish { .. }))
    );
}

#[test]
fn queued_event_of_another_call_does_not_change_the_timeout() {
    let (mut pipeline, call) = start();
    let queued = Event::StepQueued {
        call: CallId(call.0 + 1),
        sent_at: None,
    };
    pipeline.handle(queued, Millis(200), &step_timeout);
    assert_eq!(pipeline.next_wakeup(), Some(Millis(300)));
}
