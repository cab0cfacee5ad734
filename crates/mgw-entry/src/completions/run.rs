//! Runs one pipeline: performs its actions and passes their results back to it as events.

use std::sync::Arc;

use futures::future::BoxFuture;
use futures::stream::{FuturesUnordered, StreamExt};
use mgw_contract::caller::{Outcome, Reason};
use mgw_pipe::{Action, CallId, Event, GenerationRequest, Pipeline, ReplaceCause, Stage};
use mgw_world::{LayerRange, Millis, ModelName, TargetName};
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout};
use tracing::{debug, warn};

use crate::app::App;
use crate::engines::{SendTime, StepError};
use crate::paths::PathLease;

/// Time limit for a call that frees a session. If it fails, the target frees the idle session by
/// itself later.
const FREE_LIMIT_MS: Millis = Millis(5_000);

/// An item that a run sends to the task that answers the caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RunItem {
    /// A token of the answer.
    Token {
        /// Index within the answer, starting at zero.
        index: u32,
        /// Id of the token.
        token: u32,
    },
    /// The end of the run.
    End {
        /// Outcome of the request.
        outcome: Outcome,
        /// Reason for the outcome.
        reason: Reason,
    },
}

/// A run that is ready to start.
pub struct RunRequest {
    /// What to generate, and from which prompt.
    pub generation: GenerationRequest,
    /// Model for which the tokens are counted.
    pub model: ModelName,
    /// The chosen path; released when the run ends.
    pub path: PathLease,
    /// Channel to the task that answers the caller.
    pub items: mpsc::Sender<RunItem>,
}

/// The result of a call, and the target that answered if its steps became much slower.
struct CallResult {
    event: Event,
    degraded_target: Option<TargetName>,
}

impl From<Event> for CallResult {
    fn from(event: Event) -> Self {
        Self {
            event,
            degraded_target: None,
        }
    }
}

/// A pipeline that runs, with the calls that are in flight for it.
struct Run {
    app: Arc<App>,
    model: ModelName,
    pipeline: Pipeline,
    path: PathLease,
    items: mpsc::Sender<RunItem>,
    calls: FuturesUnordered<BoxFuture<'static, CallResult>>,
    outcome: Option<Outcome>,
    open_steps: Vec<OpenStep>,
}

/// A step that was passed to the engine client, where it may still be queued.
struct OpenStep {
    call: CallId,
    target: TargetName,
    send_time: SendTime,
}

/// Runs a request until its final answer was sent to the channel or the caller has disconnected;
/// returns the outcome, if there is one.
pub async fn run_request(app: Arc<App>, request: RunRequest) -> Option<Outcome> {
    let RunRequest {
        generation,
        model,
        path,
        items,
    } = request;
    let pipeline = Pipeline::new(generation, path.stages(), app.settings.pipe.clone())
        .with_budget(app.activations.clone());
    let mut run = Run {
        app,
        model,
        pipeline,
        path,
        items,
        calls: FuturesUnordered::new(),
        outcome: None,
        open_steps: Vec::new(),
    };
    let step_timeout = run.step_timeout();
    let now = run.app.clock.now();
    let actions = run.pipeline.start(now, &step_timeout);
    run.perform_actions(actions).await;
    while !run.pipeline.is_finished() {
        let actions = run.wait().await;
        run.perform_actions(actions).await;
    }
    run.outcome
}

impl Run {
    /// The time limit of a step, by its target and its number of positions.
    fn step_timeout(&self) -> impl Fn(&TargetName, u32) -> Millis + Send + Sync + 'static {
        let app = Arc::clone(&self.app);
        move |target: &TargetName, count: u32| app.times.lock().step_timeout(target, count)
    }

    /// Waits until a call returns, a deadline passes, the caller disconnects or the process is
    /// forced to stop; returns the actions that follow from it.
    async fn wait(&mut self) -> Vec<Action> {
        let step_timeout = self.step_timeout();
        let now = self.app.clock.now();
        let pause = self
            .pipeline
            .next_wakeup()
            .map_or(Millis::ZERO, |wakeup| wakeup - now);
        let has_wakeup = self.pipeline.next_wakeup().is_some();
        let result = tokio::select! {
            Some(result) = self.calls.next() => result,
            () = self.items.closed() => Event::Cancelled { reason: Reason::Cancelled }.into(),
            () = self.app.shutdown.forced.cancelled() => {
                Event::Cancelled { reason: Reason::Leaving }.into()
            }
            () = sleep(pause.to_duration()), if has_wakeup => {
                self.report_send_times();
                return self.pipeline.tick(self.app.clock.now(), &step_timeout);
            }
        };
        let now = self.app.clock.now();
        let mut actions = self.pipeline.handle(result.event, now, &step_timeout);
        if let Some(target) = result.degraded_target {
            actions.extend(self.pipeline.handle(
                Event::TargetDegraded { target },
                now,
                &step_timeout,
            ));
        }
        actions
    }

    /// Reports to the pipeline when open steps were sent, since the time limit of a step counts
    /// from its sending. A step that is still queued for a suspect target is left out: it gets no
    /// more time, so that it is replaced together with the steps that were sent there.
    fn report_send_times(&mut self) {
        let step_timeout = self.step_timeout();
        let now = self.app.clock.now();
        self.open_steps
            .retain(|step| self.pipeline.awaits(step.call));
        for step in &self.open_steps {
            let sent_at = step.send_time.sent_at();
            if sent_at.is_some() || !self.app.is_suspect(&step.target) {
                let call = step.call;
                let actions =
                    self.pipeline
                        .handle(Event::StepQueued { call, sent_at }, now, &step_timeout);
                debug_assert!(actions.is_empty());
            }
        }
    }

    async fn perform_actions(&mut self, actions: Vec<Action>) {
        let step_timeout = self.step_timeout();
        let mut pending = std::collections::VecDeque::from(actions);
        while let Some(action) = pending.pop_front() {
            if let Some(event) = self.perform_action(action).await {
                let now = self.app.clock.now();
                pending.extend(self.pipeline.handle(event, now, &step_timeout));
            }
        }
    }

    /// Performs an action or starts its call; returns an event if the result is known at once.
    async fn perform_action(&mut self, action: Action) -> Option<Event> {
        let engines = self.app.engines.clone();
        let slow_reader_ms = self.app.settings.callers.slow_reader_ms;
        match action {
            Action::Step { call, stage, step } => {
                let app = Arc::clone(&self.app);
                let send_time = SendTime::default();
                self.open_steps
                    .retain(|step| self.pipeline.awaits(step.call));
                self.open_steps.push(OpenStep {
                    call,
                    target: stage.target.clone(),
                    send_time: send_time.clone(),
                });
                self.calls
                    .push(Box::pin(send_step(app, call, stage, step, send_time)));
            }
            Action::QuerySession {
                call,
                stage,
                session,
            } => self.calls.push(Box::pin(async move {
                match engines.session_standing(stage.address, session).await {
                    Ok(status) => Event::SessionStatus { call, status },
                    Err(_) => Event::CallFailed { call },
                }
                .into()
            })),
            Action::Export {
                call,
                stage,
                session,
            } => self.calls.push(Box::pin(async move {
                match engines.export(stage.address, session).await {
                    Ok(image) => Event::Exported { call, image },
                    Err(_) => Event::CallFailed { call },
                }
                .into()
            })),
            Action::Import {
                call,
                stage,
                session,
                image,
            } => {
                self.calls.push(Box::pin(async move {
                    match engines.import(stage.address, session, &image).await {
                        Ok(()) => Event::Imported { call },
                        Err(_) => Event::CallFailed { call },
                    }
                    .into()
                }));
            }
            Action::FreeSession { stage, session } => {
                tokio::spawn(async move {
                    let freeing = engines.free(stage.address, session);
                    match timeout(FREE_LIMIT_MS.to_duration(), freeing).await {
                        Ok(Ok(())) => {}
                        Ok(Err(error)) => {
                            debug!(target = %stage.target, %session, %error, "can't free the session");
                        }
                        Err(_) => debug!(target = %stage.target, %session, "freeing it timed out"),
                    }
                });
            }
            Action::FindReplacement {
                call,
                old,
                spans,
                excluded,
                cause,
            } => return self.replace(call, &old, &spans, &excluded, cause),
            Action::EmitToken { index, token } => {
                self.app.count_token(&self.model);
                return send_item(&self.items, RunItem::Token { index, token }, slow_reader_ms)
                    .await;
            }
            Action::Finish { outcome, reason } => {
                self.outcome = Some(outcome);
                let _ = send_item(
                    &self.items,
                    RunItem::End { outcome, reason },
                    slow_reader_ms,
                )
                .await;
            }
        }
        None
    }

    /// Chooses targets that replace a stage, unless the pipeline no longer waits for the
    /// replacement.
    fn replace(
        &mut self,
        call: CallId,
        old: &Stage,
        spans: &[LayerRange],
        excluded: &[TargetName],
        cause: ReplaceCause,
    ) -> Option<Event> {
        if !self.pipeline.awaits(call) {
            return None;
        }
        if matches!(cause, ReplaceCause::NotConnected | ReplaceCause::NoAnswer) {
            self.app.mark_suspect(&old.target);
        }
        // The late target is still working on the step, so moving the work is a retry that adds
        // load.
        let is_allowed = cause != ReplaceCause::Late || self.app.retries.lock().try_retry();
        let stages = if is_allowed {
            self.path.replace(old, spans, excluded)
        } else {
            Vec::new()
        };
        if !stages.is_empty() {
            self.app.metrics.stage_rebuilds.inc();
        }
        let chosen: Vec<_> = stages.iter().map(|stage| stage.target.as_str()).collect();
        warn!(target = %old.target, ?cause, ?chosen, "replacing a stage of the path");
        Some(Event::Replacement { call, stages })
    }
}

/// Sends an item to the task that answers the caller. When the caller reads slowly the channel is
/// full; the run is cancelled if it stays full for longer than `limit`.
async fn send_item(items: &mpsc::Sender<RunItem>, item: RunItem, limit: Millis) -> Option<Event> {
    match timeout(limit.to_duration(), items.send(item)).await {
        Ok(Ok(())) => None,
        Ok(Err(_)) => Some(Event::Cancelled {
            reason: Reason::Cancelled,
        }),
        Err(_) => Some(Event::Cancelled {
            reason: Reason::SlowReader,
        }),
    }
}

async fn send_step(
    app: Arc<App>,
    call: CallId,
    stage: Stage,
    step: mgw_contract::engine::StageStep,
    send_time: SendTime,
) -> CallResult {
    let count = step.count;
    let started = app.clock.now_us();
    let result = app
        .engines
        .step_with_send_time(stage.address, step, &send_time)
        .await;
    match result {
        Ok(output) => {
            let took_us = app.clock.now_us() - started;
            let degraded = app.observe_step(&stage.target, count, took_us);
            CallResult {
                event: Event::StepDone { call, output },
                degraded_target: degraded.then_some(stage.target),
            }
        }
        Err(StepError::Refused(refusal)) => Event::StepRefused { call, refusal }.into(),
        Err(StepError::NoAnswer(error)) => {
            warn!(target = %stage.target, %error, "step got no answer; target marked as suspect");
            app.mark_suspect(&stage.target);
            Event::StepFailed {
                call,
                sent: error.may_have_been_sent(),
            }
            .into()
        }
    }
}
