//! The client of plain services.

use bytes::Bytes;
use futures_util::{Stream, StreamExt};
use reqwest::{Body, Client, Method, Response};
use teaselworks_policy::name::AttemptId;
use teaselworks_policy::verdict::{RefusalReason, Verdict};
use teaselworks_wire::message::{CallTarget, Header};

use super::UpstreamError;

/// Header by which a body announces its length.
pub const CONTENT_LENGTH: &str = "content-length";

/// Headers of one connection, which are not passed back to the caller.
const CONNECTION_HEADERS: [&str; 7] =
    ["connection", CONTENT_LENGTH, "keep-alive", "te", "trailer", "transfer-encoding", "upgrade"];

/// Client of plain services.
#[derive(Clone, Debug)]
pub struct ServiceClient {
    http: Client,
}

impl ServiceClient {
    /// Makes a client on a shared HTTP client.
    pub fn new(http: Client) -> Self {
        Self { http }
    }

    /// Makes a call; fails with the verdict of how far it got.
    pub async fn call(
        &self,
        url: &str,
        attempt: &AttemptId,
        target: &CallTarget,
        body: Body,
    ) -> Result<Response, UpstreamError> {
        let method = Method::from_bytes(target.method.as_bytes()).map_err(|_| UpstreamError {
            reason: RefusalReason::Malformed,
            verdict: Verdict::NotRun,
            retry_after_ms: None,
            detail: "the method is not valid".into(),
        })?;
        let mut request = self.http.request(method, format!("{url}{}", target.path));
        for header in &target.headers {
            request = request.header(&header.name, &header.value);
        }
        if let Some(key) = &target.idempotency_key {
            request = request.header("idempotency-key", key);
        }
        request
            .header("x-request-id", attempt.to_string())
            .body(body)
            .send()
            .await
            .map_err(|error| UpstreamError::sending(&error))
    }

    /// Returns a body as it arrives.
    pub fn body(response: Response) -> impl Stream<Item = Result<Bytes, UpstreamError>> + Unpin {
        response
            .bytes_stream()
            .map(|part| part.map_err(|error| UpstreamError::broken(super::cause(&error))))
    }
}

/// Returns the headers of an answer that are passed back to the caller.
pub fn passed_back(response: &Response) -> Vec<Header> {
    let mut passed = Vec::new();
    for (name, value) in response.headers() {
        if CONNECTION_HEADERS.contains(&name.as_str()) || name == "x-request-id" {
            continue;
        }
        let Ok(value) = value.to_str() else {
            continue;
        };
        passed.push(Header { name: name.as_str().to_owned(), value: value.to_owned() });
    }
    passed
}
