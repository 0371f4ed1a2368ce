//! The client of model engines: chat completions as a stream of events.

use std::collections::HashSet;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use futures_util::{Stream, StreamExt};
use reqwest::{Client, Response, StatusCode};
use teaselworks_policy::name::AttemptId;
use teaselworks_policy::verdict::{RefusalReason, Verdict};

use super::UpstreamError;

/// Time to make a connection to an upstream.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Milliseconds in a second, for `Retry-After`.
const MS_PER_S: u64 = 1_000;

/// Client of model engines.
#[derive(Clone, Debug)]
pub struct EngineClient {
    http: Client,
    /// Engines that refused an attempt for want of room since this was last taken, by URL.
    refusing: Arc<Mutex<HashSet<String>>>,
}

/// The beginning of an engine's answer.
#[derive(Debug)]
pub struct EngineHead {
    response: Response,
}

impl EngineHead {
    /// Returns the HTTP status.
    pub fn status(&self) -> u16 {
        self.response.status().as_u16()
    }

    /// Tells whether the engine began to generate.
    pub fn is_success(&self) -> bool {
        self.response.status() == StatusCode::OK
    }

    /// Returns the body as it arrives.
    pub fn into_body(self) -> impl Stream<Item = Result<Bytes, UpstreamError>> + Unpin {
        self.response
            .bytes_stream()
            .map(|part| part.map_err(|error| UpstreamError::broken(super::cause(&error))))
    }
}

impl EngineClient {
    /// Makes a client that keeps connections open between requests.
    pub fn new() -> Self {
        let http = Client::builder()
            .connect_timeout(CONNECT_TIMEOUT)
            .tcp_nodelay(true)
            .no_proxy()
            .build()
            .expect("a client without TLS needs nothing that can fail");
        Self { http, refusing: Arc::default() }
    }

    /// Returns the HTTP client, shared with services.
    pub fn http(&self) -> &Client {
        &self.http
    }

    /// Returns the URLs of engines that refused attempts for want of room since the last call.
    ///
    /// An engine that refuses what its owner admitted may carry work that others sent.
    pub fn take_refusing(&self) -> HashSet<String> {
        std::mem::take(&mut *self.refusing.lock().expect("lock is never poisoned"))
    }

    /// Sends a chat; fails with the verdict of how far it got.
    ///
    /// The engine must echo the attempt in `x-request-id`: an answer that names another attempt
    /// belongs to another chat, so it is dropped instead of shown to the wrong caller.
    pub async fn chat(
        &self,
        url: &str,
        attempt: &AttemptId,
        body: Bytes,
    ) -> Result<EngineHead, UpstreamError> {
        let id = attempt.to_string();
        let response = self
            .http
            .post(format!("{url}/v1/chat/completions"))
            .header("content-type", "application/json")
            .header("x-request-id", &id)
            .body(body)
            .send()
            .await
            .map_err(|error| UpstreamError::sending(&error))?;
        check_identity(&response, &id)?;
        if is_full(&response) {
            self.refusing.lock().expect("lock is never poisoned").insert(url.to_owned());
        }
        check_status(&response)?;
        Ok(EngineHead { response })
    }
}

impl Default for EngineClient {
    fn default() -> Self {
        Self::new()
    }
}

fn is_full(response: &Response) -> bool {
    let status = response.status();
    status == StatusCode::TOO_MANY_REQUESTS || status == StatusCode::SERVICE_UNAVAILABLE
}

fn check_identity(response: &Response, id: &str) -> Result<(), UpstreamError> {
    let Some(echoed) = response.headers().get("x-request-id") else {
        return Ok(());
    };
    if echoed.as_bytes() == id.as_bytes() {
        return Ok(());
    }
    Err(UpstreamError {
        reason: RefusalReason::UpstreamFailed,
        verdict: Verdict::MayHaveRun,
        retry_after_ms: None,
        detail: "the engine answered another request".into(),
    })
}

/// Takes 429 and 503 for the engine's word that it did nothing, and other 5xx for a failure.
///
/// 404 says that the engine does not hold the model, as while it loads another version. Passed on,
/// it would show as callers who are told in a rollout that a model of the configuration is unknown;
/// as "not run" the chat goes to a replica that serves.
fn check_status(response: &Response) -> Result<(), UpstreamError> {
    let status = response.status();
    let verdict = match status {
        StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE | StatusCode::NOT_FOUND => {
            Verdict::NotRun
        }
        _ if status.is_server_error() => Verdict::MayHaveRun,
        _ => return Ok(()),
    };
    Err(UpstreamError {
        reason: RefusalReason::UpstreamFailed,
        verdict,
        retry_after_ms: retry_after_ms(response),
        detail: format!("the engine answered {status}"),
    })
}

fn retry_after_ms(response: &Response) -> Option<u64> {
    let seconds: u64 = response.headers().get("retry-after")?.to_str().ok()?.parse().ok()?;
    Some(seconds * MS_PER_S)
}
