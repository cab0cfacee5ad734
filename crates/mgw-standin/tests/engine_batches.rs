//! Iterations of an engine: order, size, duration, and steps whose caller cancelled.

#![allow(clippy::unwrap_used)]

use std::sync::Arc;
use std::time::Duration;

use mgw_contract::engine::{SessionKey, StageInput, StageStep, StepRefusal};
use mgw_contract::target::CacheEvent;
use mgw_standin::engine::{BatchQueue, EngineServer, IterationTiming, PrefixCache, QueuedStep};
use mgw_standin::journal::Journal;
use mgw_standin::settings::EngineSettings;
use mgw_standin::{Faults, StandinContext};
use mgw_world::{Attempt, LayerRange, Millis, Position, RequestId};

fn step(request: u128, first: u32, count: u32, priority: u8) -> StageStep {
    StageStep {
        session: SessionKey {
            request: RequestId(request),
            attempt: Attempt(1),
        },
        version: "v1".into(),
        layers: LayerRange::new(0, 12).unwrap(),
        first: Position(first),
        count,
        priority,
        deadline_ms: None,
        input: StageInput::Tokens(vec![1; count as usize]),
    }
}

/// Returns the requests of each iteration, until the queue is empty.
fn iterations(steps: &[StageStep], max_positions: u32) -> Vec<Vec<u128>> {
    let mut queue = BatchQueue::default();
    for step in steps {
        queue.push(QueuedStep {
            step: step.clone(),
            arrived_at: Millis(0),
            reply: (),
        });
    }
    let mut batches = Vec::new();
    while !queue.is_empty() {
        let batch = queue.take_batch(max_positions);
        batches.push(
            batch
                .iter()
                .map(|queued| queued.step.session.request.0)
                .collect(),
        );
    }
    batches
}

#[test]
fn all_waiting_steps_join_an_iteration_up_to_its_maximum_size() {
    let steps = [step(1, 0, 3, 0), step(2, 0, 3, 0), step(3, 0, 3, 0)];
    assert_eq!(iterations(&steps, 9), [vec![1, 2, 3]]);
    assert_eq!(iterations(&steps, 6), [vec![1, 2], vec![3]]);
    assert_eq!(iterations(&steps, 2), [vec![1], vec![2], vec![3]]);
}

#[test]
fn higher_priority_goes_first() {
    let steps = [step(1, 0, 1, 0), step(2, 0, 1, 9), step(3, 0, 1, 9)];
    assert_eq!(iterations(&steps, 2), [vec![2, 3], vec![1]]);
}

#[test]
fn an_iteration_holds_one_step_of_each_session() {
    let steps = [step(1, 0, 1, 0), step(1, 1, 1, 0), step(2, 0, 1, 0)];
    assert_eq!(iterations(&steps, 9), [vec![1, 2], vec![1]]);
}

#[test]
fn an_iteration_takes_the_longer_of_step_time_and_token_time() {
    let timing = IterationTiming {
        step_ms: Millis(5),
        tokens_per_s: 2000,
    };
    for (positions, slow_factor, expected_ms) in [
        (0, 1, 5),
        (10, 1, 5),
        (11, 1, 5),
        (40, 1, 20),
        (40, 10, 200),
    ] {
        let duration = timing.iteration_duration(positions, slow_factor);
        assert_eq!(duration.as_millis(), expected_ms, "{positions} positions");
    }
}

#[test]
fn a_deadline_is_counted_from_the_arrival_of_the_step() {
    let queued = QueuedStep {
        step: StageStep {
            deadline_ms: Some(Millis(10)),
            ..step(1, 0, 1, 0)
        },
        arrived_at: Millis(5),
        reply: (),
    };
    assert!(!queued.is_past_deadline(Millis(14)));
    assert!(queued.is_past_deadline(Millis(15)));
}

#[test]
fn prefixes_are_found_stored_and_evicted_with_events() {
    let mut cache = PrefixCache::new(3);
    let prompt: Vec<u32> = (0..40).collect();
    assert_eq!(cache.look_up_and_store(&prompt), 0);
    assert_eq!(cache.look_up_and_store(&prompt), 32);
    assert_eq!(cache.look_up_and_store(&prompt[..20]), 16);
    let stored = cache.take_events();
    assert_eq!(
        stored.iter().map(|event| event.tokens).collect::<Vec<_>>(),
        [16, 32]
    );
    let other: Vec<u32> = (100..140).collect();
    assert_eq!(cache.look_up_and_store(&other), 0);
    let events = cache.take_events();
    let evicted: Vec<&CacheEvent> = events.iter().filter(|event| !event.stored).collect();
    assert_eq!(evicted.len(), 1);
    assert_eq!(
        (evicted[0].prefix, evicted[0].tokens),
        (stored[1].prefix, 32)
    );
    let sequences: Vec<u64> = stored
        .iter()
        .chain(&events)
        .map(|event| event.sequence)
        .collect();
    assert_eq!(sequences, [1, 2, 3, 4, 5]);
    cache.return_events(events.clone());
    assert_eq!(cache.take_events(), events);
    cache.resend_all();
    assert_eq!(cache.take_events().len(), 3);
}

fn start_engine(settings: EngineSettings) -> Arc<EngineServer> {
    let context = StandinContext::new("e".into(), Faults::default(), Journal::in_memory());
    EngineServer::start(Arc::new(context), settings, LayerRange::new(0, 12).unwrap())
}

fn count_journal_lines(engine: &EngineServer) -> usize {
    let text = engine.context.read_journal().unwrap();
    text.iter().filter(|byte| **byte == b'\n').count()
}

#[tokio::test]
async fn a_step_cancelled_while_queued_does_not_run_and_one_cancelled_while_running_does() {
    let engine = start_engine(EngineSettings {
        step_ms: Millis(20),
        ..EngineSettings::default()
    });
    let started_call = tokio::spawn({
        let engine = Arc::clone(&engine);
        async move { engine.run_step(step(1, 0, 1, 0)).await }
    });
    let session_status = |request| {
        let session = step(request, 0, 1, 0).session;
        engine.core().sessions().session_status(session)
    };
    while session_status(1).is_none() {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    started_call.abort();
    assert!(started_call.await.is_err());
    let mut waiting_call = Box::pin(engine.run_step(step(2, 0, 1, 0)));
    assert!(futures::poll!(waiting_call.as_mut()).is_pending());
    assert_eq!(engine.load_report().in_flight, 1);
    drop(waiting_call);
    let reply = engine.run_step(step(3, 0, 1, 0)).await;
    assert!(reply.result.is_ok());
    assert_eq!(
        session_status(1).map(|status| status.next),
        Some(Position(1))
    );
    assert!(session_status(2).is_none());
    assert_eq!(count_journal_lines(&engine), 2);
    assert_eq!(engine.load_report().in_flight, 0);
}

#[tokio::test]
async fn a_step_past_its_deadline_does_not_run() {
    let engine = start_engine(EngineSettings::default());
    let late = StageStep {
        deadline_ms: Some(Millis(0)),
        ..step(1, 0, 1, 0)
    };
    let reply = engine.run_step(late).await;
    assert_eq!(reply.result, Err(StepRefusal::TooLate));
    assert_eq!(count_journal_lines(&engine), 0);
}
