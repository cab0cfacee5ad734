//! A client of the engine dialect over shared HTTP/2 connections.

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

use super::gather::{Gatherer, Job, may_share};
use super::{CallError, EngineSettings, SentMark, StepError};

/// What went to engines and came from them.
#[derive(Debug, Clone)]
pub struct EngineCounts {
    /// Messages with steps.
    pub step_messages: IntCounter,
    /// Bytes of the bodies of those messages and of their answers.
    pub step_bytes: IntCounter,
}

/// Calls engines; cheap to clone.
#[derive(Debug, Clone)]
pub struct EngineClient {
    http: HttpClient,
    settings: EngineSettings,
    counts: EngineCounts,
    gatherer: Arc<Gatherer>,
    clock: Clock,
}

impl EngineClient {
    /// A client that counts what it sends and notes by the clock when.
    #[must_use]
    pub fn new(settings: EngineSettings, counts: EngineCounts, clock: Clock) -> Self {
        Self {
            http: shared_client(),
            settings,
            counts,
            gatherer: Arc::new(Gatherer::new(settings)),
            clock,
        }
    }

    /// Sends a step, in one message with those of other requests that are ready now.
    ///
    /// A message whose answer is lost is a lost answer for each of its steps. A step that is given
    /// up by dropping this future leaves the other ones of its message alone.
    ///
    /// # Errors
    /// When the engine refuses the step or gives no usable answer.
    pub async fn step(
        &self,
        address: SocketAddr,
        step: StageStep,
    ) -> Result<StageOutput, StepError> {
        self.step_marked(address, step, &SentMark::default()).await
    }

    /// Sends a step as [`Self::step`] does, and notes when it was sent.
    ///
    /// # Errors
    /// When the engine refuses the step or gives no usable answer.
    pub async fn step_marked(
        &self,
        address: SocketAddr,
        step: StageStep,
        sent: &SentMark,
    ) -> Result<StageOutput, StepError> {
        if self.settings.shared_steps <= 1 || !may_share(&step) {
            sent.set(self.clock.now());
            let mut results = self.send_steps(address, vec![step]).await?;
            return results.pop().unwrap_or_else(|| Err(missing()));
        }
        let (reply, result) = oneshot::channel();
        let sent = sent.clone();
        if self.gatherer.push(address, Job { step, sent, reply }) {
            tokio::spawn(self.clone().send_gathered(address));
        }
        result.await.unwrap_or_else(|_| Err(missing()))
    }

    /// Sends what was gathered once all tasks that are ready have run.
    async fn send_gathered(self, address: SocketAddr) {
        tokio::task::yield_now().await;
        self.send_next(address);
    }

    /// Sends what may go out now.
    fn send_next(&self, address: SocketAddr) {
        loop {
            let jobs = self.gatherer.take(address, self.settings.shared_steps);
            if jobs.is_empty() {
                return;
            }
            let client = self.clone();
            tokio::spawn(async move {
                let steps = jobs.len();
                let took_ms = client.send_jobs(address, jobs).await;
                client.gatherer.end(address, steps, took_ms);
                client.send_next(address);
            });
        }
    }

    /// Sends steps in one message and hands their results out; the message is dropped once nobody
    /// wants any of them. Returns the time until the answer.
    async fn send_jobs(&self, address: SocketAddr, jobs: Vec<Job>) -> Option<f64> {
        let now = self.clock.now();
        jobs.iter().for_each(|job| job.sent.set(now));
        let (steps, mut replies): (Vec<_>, Vec<_>) =
            jobs.into_iter().map(|job| (job.step, job.reply)).unzip();
        let started_us = self.clock.now_us();
        let sent = tokio::select! {
            sent = self.send_steps(address, steps) => sent,
            _ = join_all(replies.iter_mut().map(oneshot::Sender::closed)) => return None,
        };
        #[expect(clippy::cast_precision_loss)]
        let took_ms = (self.clock.now_us() - started_us) as f64 / 1000.0;
        let is_answered = sent.is_ok();
        let results = match sent {
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
        let body = postcard::to_stdvec(&batch).map_err(|error| broken(&error))?;
        let names = batch.steps.iter().map(|step| (step.session, step.first));
        let names: Vec<_> = names.collect();
        drop(batch);
        self.counts.step_messages.inc();
        self.counts.step_bytes.inc_by(body.len() as u64);
        let bytes = self
            .call(Method::POST, address, STEPS_PATH, full(body))
            .await?;
        self.counts.step_bytes.inc_by(bytes.len() as u64);
        let reply: StepBatchReply = decode(&bytes)?;
        let answered = reply.replies.iter();
        if !answered.map(|it| (it.session, it.first)).eq(names) {
            return Err(broken(&"the reply names other steps than were sent"));
        }
        let results = reply.replies.into_iter();
        Ok(results.map(|it| Ok(it.result?)).collect())
    }

    /// Asks where a session stands; none if there is no such session.
    ///
    /// # Errors
    /// When the engine gives no usable answer.
    pub async fn standing(
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
                .map_err(|error| broken(&error)),
            Err(CallError::Status { status }) if status == StatusCode::NOT_FOUND => Ok(None),
            Err(error) => Err(error),
        }
    }

    /// Frees a session.
    ///
    /// # Errors
    /// When the engine gives no usable answer.
    pub async fn free(&self, address: SocketAddr, session: SessionKey) -> Result<(), CallError> {
        let path = format!("{SESSIONS_PATH}{session}");
        self.call(Method::DELETE, address, &path, full(Bytes::new()))
            .await?;
        Ok(())
    }

    /// Exports a session's KV cache.
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
        let body = postcard::to_stdvec(image).map_err(|error| broken(&error))?;
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
            .map_err(|error| broken(&error))?;
        let request = Request::builder().method(method).uri(uri).body(body);
        let request = request.map_err(|error| broken(&error))?;
        let response = self.http.request(request).await.map_err(|error| {
            if error.is_connect() {
                CallError::NotConnected
            } else {
                broken(&error)
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
            .map_err(|error| broken(&error))
    }
}

fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, CallError> {
    postcard::from_bytes(bytes).map_err(|error| broken(&error))
}

fn missing() -> StepError {
    broken(&"the message was dropped").into()
}

fn broken(error: &impl ToString) -> CallError {
    CallError::Broken {
        message: error.to_string(),
    }
}
