//! Client of the engine API over shared HTTP/2 connections.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use futures::future::join_all;
use hyper::{Method, Request, StatusCode, Uri};
use mgw_contract::engine::{
    KV_PATH, KvImage, SESSIONS_PATH, STEPS_PATH, SessionKey, SessionStanding, StageOutput,
    StageStep, StepBatch, StepBatchReply,
};
use mgw_serve::http::{Body, HttpClient, full, read_body, shared_client};
use mgw_world::Clock;
use prometheus::IntCounter;
use serde::de::DeserializeOwned;
use tokio::sync::oneshot;

use super::batcher::{QueuedStep, StepBatcher, can_be_batched};
use super::{CallError, EngineSettings, SendTime, StepError};

/// Counters of the messages exchanged with engines.
#[derive(Debug, Clone)]
pub struct EngineCounts {
    /// Number of messages with steps that were sent.
    pub step_messages: IntCounter,
    /// Bytes in the bodies of these messages and of their answers.
    pub step_bytes: IntCounter,
}

/// Calls engines; cheap to clone, clones share connections and step queues.
#[derive(Debug, Clone)]
pub struct EngineClient {
    http: HttpClient,
    settings: EngineSettings,
    counts: EngineCounts,
    batcher: Arc<StepBatcher>,
    clock: Clock,
}

impl EngineClient {
    /// Creates a client that updates `counts` and reads send times from `clock`.
    #[must_use]
    pub fn new(settings: EngineSettings, counts: EngineCounts, clock: Clock) -> Self {
        Self {
            http: shared_client(),
            settings,
            counts,
            batcher: Arc::new(StepBatcher::new(settings)),
            clock,
        }
    }

    /// Sends a step, in one message with the steps of other requests that are ready now.
    ///
    /// If the answer to a message is lost, each of its steps fails with [`StepError::NoAnswer`].
    /// Dropping this future cancels this step only; the other steps of its message continue.
    ///
    /// # Errors
    /// When the engine refuses the step or gives no usable answer.
    pub async fn step(
        &self,
        address: SocketAddr,
        step: StageStep,
    ) -> Result<StageOutput, StepError> {
        self.step_with_send_time(address, step, &SendTime::default())
            .await
    }

    /// Sends a step as [`Self::step`] does and records in `send_time` when it was sent.
    ///
    /// # Errors
    /// When the engine refuses the step or gives no usable answer.
    pub async fn step_with_send_time(
        &self,
        address: SocketAddr,
        step: StageStep,
        send_time: &SendTime,
    ) -> Result<StageOutput, StepError> {
        if self.settings.shared_steps <= 1 || !can_be_batched(&step) {
            send_time.record(self.clock.now());
            let mut results = self.send_steps(address, vec![step]).await?;
            return results.pop().unwrap_or_else(|| Err(dropped_message()));
        }
        let (reply, result) = oneshot::channel();
        let send_time = send_time.clone();
        if self.batcher.push(
            address,
            QueuedStep {
                step,
                send_time,
                reply,
            },
        ) {
            tokio::spawn(self.clone().send_after_yield(address));
        }
        result.await.unwrap_or_else(|_| Err(dropped_message()))
    }

    /// Sends the queued steps after all ready tasks have run and so could queue theirs.
    async fn send_after_yield(self, address: SocketAddr) {
        tokio::task::yield_now().await;
        self.send_ready_batches(address);
    }

    /// Sends batches until the queue is empty or the engine's window is full. Runs again whenever a
    /// message has ended.
    fn send_ready_batches(&self, address: SocketAddr) {
        loop {
            let batch = self.batcher.next_batch(address, self.settings.shared_steps);
            if batch.is_empty() {
                return;
            }
            let client = self.clone();
            tokio::spawn(async move {
                let steps = batch.len();
                let took_ms = client.send_batch(address, batch).await;
                client.batcher.complete(address, steps, took_ms);
                client.send_ready_batches(address);
            });
        }
    }

    /// Sends steps in one message and passes each result to its request. Drops the message when no
    /// request waits for it any more. Returns the time until the answer, `None` without an answer.
    async fn send_batch(&self, address: SocketAddr, batch: Vec<QueuedStep>) -> Option<f64> {
        let now = self.clock.now();
        batch.iter().for_each(|queued| queued.send_time.record(now));
        let (steps, mut replies): (Vec<_>, Vec<_>) = batch
            .into_iter()
            .map(|queued| (queued.step, queued.reply))
            .unzip();
        let started_us = self.clock.now_us();
        let outcome = tokio::select! {
            outcome = self.send_steps(address, steps) => outcome,
            _ = join_all(replies.iter_mut().map(oneshot::Sender::closed)) => return None,
        };
        #[expect(clippy::cast_precision_loss)]
        let took_ms = (self.clock.now_us() - started_us) as f64 / 1000.0;
        let is_answered = outcome.is_ok();
        let results = match outcome {
            Ok(results) => results,
            Err(error) => vec![Err(StepError::NoAnswer(error)); replies.len()],
        };
        for (reply, result) in replies.into_iter().zip(results) {
            let _ = reply.send(result);
        }
        is_answered.then_some(took_ms)
    }

    /// Sends steps in one message and returns their results in the same order.
    async fn send_steps(
        &self,
        address: SocketAddr,
        steps: Vec<StageStep>,
    ) -> Result<Vec<Result<StageOutput, StepError>>, CallError> {
        let batch = StepBatch { steps };
        let body = postcard::to_stdvec(&batch).map_err(|error| broken_call(&error))?;
        let sent_keys = batch.steps.iter().map(|step| (step.session, step.first));
        let sent_keys: Vec<_> = sent_keys.collect();
        drop(batch);
        self.counts.step_messages.inc();
        self.counts.step_bytes.inc_by(body.len() as u64);
        let bytes = self
            .call(Method::POST, address, STEPS_PATH, full(body))
            .await?;
        self.counts.step_bytes.inc_by(bytes.len() as u64);
        let reply: StepBatchReply = decode(&bytes)?;
        let answered = reply.replies.iter();
        if !answered
            .map(|reply| (reply.session, reply.first))
            .eq(sent_keys)
        {
            return Err(broken_call(&"the reply answers other steps than were sent"));
        }
        let results = reply.replies.into_iter();
        Ok(results.map(|reply| Ok(reply.result?)).collect())
    }

    /// Fetches how far a session has come; `None` if the engine has no such session.
    ///
    /// # Errors
    /// When the engine gives no usable answer.
    pub async fn session_standing(
        &self,
        address: SocketAddr,
        session: SessionKey,
    ) -> Result<Option<SessionStanding>, CallError> {
        let path = format!("{SESSIONS_PATH}{session}");
        match self
            .call(Method::GET, address, &path, full(Bytes::new()))
            .await
        {
            Ok(bytes) => serde_json::from_slice(&bytes)
                .map(Some)
                .map_err(|error| broken_call(&error)),
            Err(CallError::Status { status }) if status == StatusCode::NOT_FOUND => Ok(None),
            Err(error) => Err(error),
        }
    }

    /// Frees a session at its engine.
    ///
    /// # Errors
    /// When the engine gives no usable answer.
    pub async fn free(&self, address: SocketAddr, session: SessionKey) -> Result<(), CallError> {
        let path = format!("{SESSIONS_PATH}{session}");
        self.call(Method::DELETE, address, &path, full(Bytes::new()))
            .await?;
        Ok(())
    }

    /// Exports the KV cache of a session.
    ///
    /// # Errors
    /// When the engine gives no usable answer.
    pub async fn export(
        &self,
        address: SocketAddr,
        session: SessionKey,
    ) -> Result<KvImage, CallError> {
        let path = format!("{KV_PATH}{session}");
        let bytes = self
            .call(Method::GET, address, &path, full(Bytes::new()))
            .await?;
        decode(&bytes)
    }

    /// Imports a KV cache as a new session.
    ///
    /// # Errors
    /// When the engine gives no usable answer.
    pub async fn import(
        &self,
        address: SocketAddr,
        session: SessionKey,
        image: &KvImage,
    ) -> Result<(), CallError> {
        let path = format!("{KV_PATH}{session}");
        let body = postcard::to_stdvec(image).map_err(|error| broken_call(&error))?;
        self.call(Method::PUT, address, &path, full(body)).await?;
        Ok(())
    }

    async fn call(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        body: Body,
    ) -> Result<Bytes, CallError> {
        let uri: Uri = format!("http://{address}{path}")
            .parse()
            .map_err(|error| broken_call(&error))?;
        let request = Request::builder().method(method).uri(uri).body(body);
        let request = request.map_err(|error| broken_call(&error))?;
        let response = self.http.request(request).await.map_err(|error| {
            if error.is_connect() {
                CallError::NotConnected
            } else {
                broken_call(&error)
            }
        })?;
        let status = response.status();
        if !status.is_success() {
            return Err(CallError::Status {
                status: status.as_u16(),
            });
        }
        read_body(response.into_body())
            .await
            .map_err(|error| broken_call(&error))
    }
}

fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, CallError> {
    postcard::from_bytes(bytes).map_err(|error| broken_call(&error))
}

fn dropped_message() -> StepError {
    broken_call(&"the message with the step was dropped before its answer came").into()
}

fn broken_call(error: &impl ToString) -> CallError {
    CallError::Broken {
        message: error.to_string(),
    }
}
