//! A client of the engine dialect over shared HTTP/2 connections.

use std::net::SocketAddr;

use bytes::Bytes;
use hyper::{Method, Request, StatusCode, Uri};
use mgw_contract::engine::{
    KV_PATH, KvImage, SESSIONS_PATH, STEPS_PATH, SessionKey, SessionStanding, StageOutput,
    StageStep, StepBatch, StepBatchReply,
};
use mgw_serve::http::{Body, HttpClient, full, read_body, shared_client};
use serde::de::DeserializeOwned;

use super::{CallError, StepError};

/// Calls engines; cheap to clone.
#[derive(Debug, Clone)]
pub struct EngineClient {
    http: HttpClient,
}

impl Default for EngineClient {
    fn default() -> Self {
        Self {
            http: shared_client(),
        }
    }
}

impl EngineClient {
    /// Sends one step.
    ///
    /// # Errors
    /// When the engine refuses the step or gives no usable answer.
    pub async fn step(
        &self,
        address: SocketAddr,
        step: StageStep,
    ) -> Result<StageOutput, StepError> {
        let batch = StepBatch { steps: vec![step] };
        let body = postcard::to_stdvec(&batch).map_err(|error| broken(&error))?;
        let bytes = self
            .call(Method::POST, address, STEPS_PATH, full(body))
            .await?;
        let mut reply: StepBatchReply = decode(&bytes)?;
        let Some(first) = reply.replies.pop() else {
            return Err(broken(&"the reply holds no result").into());
        };
        Ok(first.result?)
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

fn broken(error: &impl ToString) -> CallError {
    CallError::Broken {
        message: error.to_string(),
    }
}
