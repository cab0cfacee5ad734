//! Runs one pipeline: performs its actions and feeds it with what comes of them.

use std::sync::Arc;

use futures::future::BoxFuture;
use futures::stream::{FuturesUnordered, StreamExt};
use mgw_contract::caller::{Outcome, Reason};
use mgw_pipe::{Action, CallId, Cause, Event, Order, Pipeline, Stage};
use mgw_world::{LayerRange, Millis, ModelName, TargetName};
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout};
use tracing::{debug, warn};

use crate::app::App;
use crate::engines::{SendTime, StepError};
use crate::paths::PathLease;

/// How long a target may take to free a session; afterwards it frees the idle session by itself.
const FREE_LIMIT_MS: Millis = Millis(5_000);

/// What the caller's side hears of a run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RunItem {
    /// A token of the answer.
    Token {
        /// Index within the answer, from zero.
        index: u32,
        /// The token.
        token: u32,
    },
    /// The end of the run.
    End {
        /// What became of the request.
        outcome: Outcome,
        /// Why.
        reason: Reason,
    },
}

/// A run that is ready to start.
pub struct RunRequest {
    /// What shall be generated.
    pub order: Order,
    /// Model that the tokens are counted for.
    pub model: ModelName,
    /// The chosen path; given back when the run ends.
    pub path: PathLease,
    /// Where the answer goes.
    pub items: mpsc::Sender<RunItem>,
}

/// What came of a call, and whether the target that answered is degraded.
struct Answer {
    event: Event,
    degraded: Option<TargetName>,
}

impl From<Event> for Answer {
    fn from(event: Event) -> Self {
        Self {
            event,
            degraded: None,
        }
    }
}

struct Run {
    app: Arc<App>,
    model: ModelName,
    pipeline: Pipeline,
    path: PathLease,
    items: mpsc::Sender<RunItem>,
    calls: FuturesUnordered<BoxFuture<'static, Answer>>,
    outcome: Option<Outcome>,
    holds: Vec<Hold>,
}

/// A step that was handed over and may wait to be sent.
struct Hold {
    call: CallId,
    target: TargetName,
    sent: SendTime,
}

/// Runs a request until its final answer was handed over or the caller went away; returns what
/// became of it.
pub async fn run_request(app: Arc<App>, request: RunRequest) -> Option<Outcome> {
    let RunRequest {
        order,
        model,
        path,
        items,
    } = request;
    let pipeline = Pipeline::new(order, path.stages(), app.settings.pipe.clone())
        .with_budget(app.activations.clone());
    let mut run = Run {
        app,
        model,
        pipeline,
        path,
        items,
        calls: FuturesUnordered::new(),
        outcome: None,
        holds: Vec::new(),
    };
    let patience = run.patience();
    let now = run.app.clock.now();
    let actions = run.pipeline.start(now, &patience);
    run.perform(actions).await;
    while !run.pipeline.is_finished() {
        let actions = run.wait().await;
        run.perform(actions).await;
    }
    run.outcome
}

impl Run {
    fn patience(&self) -> impl Fn(&TargetName, u32) -> Millis + Send + Sync + 'static {
        let app = Arc::clone(&self.app);
        move |target: &TargetName, count: u32| app.times.lock().patience(target, count)
    }

    /// Waits until an answer comes, a deadline passes or the caller goes away.
    async fn wait(&mut self) -> Vec<Action> {
        let patience = self.patience();
        let now = self.app.clock.now();
        let pause = self
            .pipeline
            .next_wakeup()
            .map_or(Millis::ZERO, |wakeup| wakeup - now);
        let has_wakeup = self.pipeline.next_wakeup().is_some();
        let answer = tokio::select! {
            Some(answer) = self.calls.next() => answer,
            () = self.items.closed() => Event::Cancelled { reason: Reason::Cancelled }.into(),
            () = self.app.shutdown.forced.cancelled() => {
                Event::Cancelled { reason: Reason::Leaving }.into()
            }
            () = sleep(pause.to_duration()), if has_wakeup => {
                self.extend_held_steps();
                return self.pipeline.tick(self.app.clock.now(), &patience);
            }
        };
        let now = self.app.clock.now();
        let mut actions = self.pipeline.handle(answer.event, now, &patience);
        if let Some(target) = answer.degraded {
            actions.extend(
                self.pipeline
                    .handle(Event::Degraded { target }, now, &patience),
            );
        }
        actions
    }

    /// Lets the time of steps run from their sending on. A step that waits for a suspect target
    /// gets no more time, so that it moves on with those that were sent there.
    fn extend_held_steps(&mut self) {
        let patience = self.patience();
        let now = self.app.clock.now();
        self.holds.retain(|hold| self.pipeline.awaits(hold.call));
        for hold in &self.holds {
            let sent_at = hold.sent.sent_at();
            if sent_at.is_some() || !self.app.is_suspect(&hold.target) {
                let call = hold.call;
                let actions =
                    self.pipeline
                        .handle(Event::StepHeld { call, sent_at }, now, &patience);
                debug_assert!(actions.is_empty());
            }
        }
    }

    async fn perform(&mut self, actions: Vec<Action>) {
        let patience = self.patience();
        let mut pending = std::collections::VecDeque::from(actions);
        while let Some(action) = pending.pop_front() {
            if let Some(event) = self.perform_one(action).await {
                let now = self.app.clock.now();
                pending.extend(self.pipeline.handle(event, now, &patience));
            }
        }
    }

    /// Performs an action; returns an event when its result is known at once.
    async fn perform_one(&mut self, action: Action) -> Option<Event> {
        let engines = self.app.engines.clone();
        let slow_ms = self.app.settings.callers.slow_reader_ms;
        match action {
            Action::Step { call, stage, step } => {
                let app = Arc::clone(&self.app);
                let sent = SendTime::default();
                self.holds.retain(|hold| self.pipeline.awaits(hold.call));
                self.holds.push(Hold {
                    call,
                    target: stage.target.clone(),
                    sent: sent.clone(),
                });
                self.calls
                    .push(Box::pin(send_step(app, call, stage, step, sent)));
            }
            Action::Ask {
                call,
                stage,
                session,
            } => self.calls.push(Box::pin(async move {
                match engines.session_standing(stage.address, session).await {
                    Ok(standing) => Event::Standing { call, standing },
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
            Action::Free { stage, session } => {
                tokio::spawn(async move {
                    let freeing = engines.free(stage.address, session);
                    match timeout(FREE_LIMIT_MS.to_duration(), freeing).await {
                        Ok(Ok(())) => {}
                        Ok(Err(error)) => {
                            debug!(target = %stage.target, %session, %error, "couldn't free the session");
                        }
                        Err(_) => debug!(target = %stage.target, %session, "no answer to freeing"),
                    }
                });
            }
            Action::Replace {
                call,
                old,
                spans,
                excluded,
                cause,
            } => return self.replace(call, &old, &spans, &excluded, cause),
            Action::Emit { index, token } => {
                self.app.count_token(&self.model);
                return emit(&self.items, RunItem::Token { index, token }, slow_ms).await;
            }
            Action::Finish { outcome, reason } => {
                self.outcome = Some(outcome);
                let _ = emit(&self.items, RunItem::End { outcome, reason }, slow_ms).await;
            }
        }
        None
    }

    /// Looks for targets that take over a stage, unless the pipeline went on without them.
    fn replace(
        &mut self,
        call: CallId,
        old: &Stage,
        spans: &[LayerRange],
        excluded: &[TargetName],
        cause: Cause,
    ) -> Option<Event> {
        if !self.pipeline.awaits(call) {
            return None;
        }
        if matches!(cause, Cause::NotConnected | Cause::NoAnswer) {
            self.app.suspect(&old.target);
        }
        // Work that is taken from a target which still does it is a retry, and adds to its load.
        let is_allowed = cause != Cause::Late || self.app.retries.lock().try_retry();
        let stages = if is_allowed {
            self.path.replace(old, spans, excluded)
        } else {
            Vec::new()
        };
        if !stages.is_empty() {
            self.app.metrics.stage_rebuilds.inc();
        }
        let chosen: Vec<_> = stages.iter().map(|it| it.target.as_str()).collect();
        warn!(target = %old.target, ?cause, ?chosen, "replaces a stage");
        Some(Event::Replacement { call, stages })
    }
}

/// Hands an item to the caller's side, which is held back by a slow reader up to a limit.
async fn emit(items: &mpsc::Sender<RunItem>, item: RunItem, limit: Millis) -> Option<Event> {
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
    sent: SendTime,
) -> Answer {
    let count = step.count;
    let started = app.clock.now_us();
    let result = app
        .engines
        .step_with_send_time(stage.address, step, &sent)
        .await;
    match result {
        Ok(output) => {
            let took_us = app.clock.now_us() - started;
            let degraded = app.observe_step(&stage.target, count, took_us);
            Answer {
                event: Event::StepDone { call, output },
                degraded: degraded.then_some(stage.target),
            }
        }
        Err(StepError::Refused(refusal)) => Event::StepRefused { call, refusal }.into(),
        Err(StepError::NoAnswer(error)) => {
            warn!(target = %stage.target, %error, "step got no answer");
            app.suspect(&stage.target);
            Event::StepFailed {
                call,
                sent: error.may_have_been_sent(),
            }
            .into()
        }
    }
}
