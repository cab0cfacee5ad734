//! HTTP client for the operator calls of controls and entries.

use hyper::{Method, Request, StatusCode};
use mgw_contract::operator::{OPERATOR_HEADER, OPERATOR_KEY_HEADER, OperatorError};
use mgw_serve::http::{HttpClient, client, full, read_body};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::time::timeout;

use crate::CliError;
use crate::args::Args;

/// Timeout of a call to one address.
const CALL_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(8);

/// Sends calls to the first address that can answer them.
pub struct Client {
    http: HttpClient,
    urls: Vec<String>,
    operator: Option<String>,
    key: Option<String>,
}

impl Client {
    /// Creates a client with the addresses and credentials from the arguments.
    pub fn new(args: &Args) -> Result<Self, CliError> {
        if args.at.is_empty() {
            let message = "no address: give --at URL or set MGW_AT".to_owned();
            return Err(CliError::Usage { message });
        }
        let key = args.key_file.as_ref().map(|path| {
            let text = std::fs::read_to_string(path);
            let text = text.map_err(|source| CliError::File {
                path: path.display().to_string(),
                source,
            })?;
            Ok(text.trim().to_owned())
        });
        Ok(Self {
            http: client(),
            urls: args
                .at
                .iter()
                .map(|url| url.trim_end_matches('/').to_owned())
                .collect(),
            operator: args.operator.clone(),
            key: key.transpose()?,
        })
    }

    /// Sends a `GET` request and decodes the answer.
    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, CliError> {
        self.send_to_any(&Method::GET, path, Vec::new()).await
    }

    /// Sends a `POST` request with a JSON body and decodes the answer. The request must be
    /// idempotent: if an address doesn't answer, the same request is sent to the next one, although
    /// the first may have executed it.
    pub async fn post<B: Serialize, T: DeserializeOwned>(
        &self,
        path: &str,
        body: &B,
    ) -> Result<T, CliError> {
        let bytes = serde_json::to_vec(body).map_err(|source| CliError::Answer { source })?;
        self.send_to_any(&Method::POST, path, bytes).await
    }

    /// Sends the request to one address after another, until one gives a result other than a
    /// transport error, status 503 (service unavailable) or status 404 (not found).
    async fn send_to_any<T: DeserializeOwned>(
        &self,
        method: &Method,
        path: &str,
        body: Vec<u8>,
    ) -> Result<T, CliError> {
        let mut last_error = CliError::Usage {
            message: "no address given".to_owned(),
        };
        for url in &self.urls {
            match self.send_to(method, url, path, &body).await {
                Ok(answer) => return Ok(answer),
                Err(error @ CliError::Unreachable { .. }) => last_error = error,
                Err(CliError::Refused {
                    status,
                    message,
                    help,
                }) if status == StatusCode::SERVICE_UNAVAILABLE
                    || status == StatusCode::NOT_FOUND =>
                {
                    last_error = CliError::Refused {
                        status,
                        message,
                        help,
                    };
                }
                Err(error) => return Err(error),
            }
        }
        Err(last_error)
    }

    async fn send_to<T: DeserializeOwned>(
        &self,
        method: &Method,
        url: &str,
        path: &str,
        body: &[u8],
    ) -> Result<T, CliError> {
        let unreachable = |message: String| CliError::Unreachable {
            url: url.to_owned(),
            message,
        };
        let mut request = Request::builder()
            .method(method)
            .uri(format!("{url}{path}"));
        if let Some(operator) = &self.operator {
            request = request.header(OPERATOR_HEADER, operator);
        }
        if let Some(key) = &self.key {
            request = request.header(OPERATOR_KEY_HEADER, key);
        }
        let request = request.body(full(body.to_vec()));
        let request = request.map_err(|error| unreachable(error.to_string()))?;
        let response = timeout(CALL_TIMEOUT, self.http.request(request)).await;
        let response = response.map_err(|_| unreachable("timeout".to_owned()))?;
        let response = response.map_err(|error| unreachable(error.to_string()))?;
        let status = response.status();
        let bytes = read_body(response.into_body()).await;
        let bytes = bytes.map_err(|error| unreachable(error.to_string()))?;
        if status.is_success() {
            return serde_json::from_slice(&bytes).map_err(|source| CliError::Answer { source });
        }
        let refusal = serde_json::from_slice(&bytes).unwrap_or_else(|_| OperatorError {
            message: String::from_utf8_lossy(&bytes).into_owned(),
            help: String::new(),
        });
        let help = if refusal.help.is_empty() {
            String::new()
        } else {
            format!("; {}", refusal.help)
        };
        Err(CliError::Refused {
            status: status.as_u16(),
            message: refusal.message,
            help,
        })
    }
}
