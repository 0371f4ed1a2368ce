//! Sends one request to the first endpoint that accepts a connection.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use reqwest::{Client, Response, StatusCode};
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::error::{NotSent, PlatformError};
use super::message::ErrorAnswer;

/// Keeps idle connections from being taken for live ones after a network fault.
const KEEPALIVE: Duration = Duration::from_secs(5);
const IDLE: Duration = Duration::from_secs(30);
const HTTP_REQUEST_TIMEOUT: StatusCode = StatusCode::REQUEST_TIMEOUT;

/// Connections to the platform's endpoints.
pub struct Transport {
    client: Client,
    endpoints: Vec<String>,
    preferred: AtomicUsize,
}

impl Transport {
    pub fn new(endpoints: &[String], connect_timeout: Duration) -> Self {
        let client = Client::builder()
            .no_proxy()
            .connect_timeout(connect_timeout)
            .tcp_keepalive(KEEPALIVE)
            .pool_idle_timeout(IDLE)
            .build()
            .expect("a client without TLS always builds");
        let endpoints = endpoints.iter().map(|url| url.trim_end_matches('/').to_owned()).collect();
        Self { client, endpoints, preferred: AtomicUsize::new(0) }
    }

    /// Sends `body` and returns the answer's head.
    ///
    /// Only a failure to connect moves on to the next endpoint. After a connection the request may
    /// have been executed; sent again elsewhere, a write would be executed twice.
    pub async fn open(&self, path: &str, body: &impl Serialize) -> Result<Response, PlatformError> {
        let body = serde_json::to_vec(body).expect("requests of plain fields encode");
        let first = self.preferred.load(Ordering::Relaxed);
        let mut last_error = "no endpoint is set".to_owned();
        for offset in 0..self.endpoints.len() {
            let index = (first + offset) % self.endpoints.len();
            let url = format!("{}/v3/{path}", self.endpoints[index]);
            let request = self.client.post(url).header("content-type", "application/json");
            match request.body(body.clone()).send().await {
                Ok(response) => {
                    self.preferred.store(index, Ordering::Relaxed);
                    return check_status(response).await;
                }
                Err(error) if error.is_connect() => last_error = describe(&error),
                Err(error) => return Err(PlatformError::Unknown(describe(&error))),
            }
        }
        Err(PlatformError::NotSent(NotSent::Unreachable(last_error)))
    }

    /// Sends `body` and returns the whole answer; gives up after `timeout`.
    pub async fn call<T: DeserializeOwned>(
        &self,
        path: &str,
        body: &impl Serialize,
        timeout: Duration,
    ) -> Result<T, PlatformError> {
        let answer = async {
            let response = self.open(path, body).await?;
            let bytes = response.bytes().await;
            let bytes = bytes.map_err(|error| PlatformError::Unknown(describe(&error)))?;
            serde_json::from_slice(&bytes)
                .map_err(|error| PlatformError::Unknown(error.to_string()))
        };
        match tokio::time::timeout(timeout, answer).await {
            Ok(answer) => answer,
            Err(_) => Err(PlatformError::Unknown("timeout".into())),
        }
    }
}

/// Turns an error status into an error.
///
/// Only statuses of the 400s say that nothing was done. A gateway answers with the others also when
/// it lost sight of a write it had passed on; taken for refusals, such a write would be repeated.
async fn check_status(response: Response) -> Result<Response, PlatformError> {
    let status = response.status();
    if status.is_success() {
        return Ok(response);
    }
    let body = response.bytes().await.unwrap_or_default();
    let error: ErrorAnswer = serde_json::from_slice(&body).unwrap_or_default();
    if status.is_client_error() && status != HTTP_REQUEST_TIMEOUT {
        return Err(PlatformError::Refused { status: status.as_u16(), message: error.message });
    }
    Err(PlatformError::Unknown(format!("status {status}: {}", error.message)))
}

pub fn describe(error: &reqwest::Error) -> String {
    let mut text = error.to_string();
    let mut source = std::error::Error::source(error);
    while let Some(cause) = source {
        text.push_str(": ");
        text.push_str(&cause.to_string());
        source = cause.source();
    }
    text
}
