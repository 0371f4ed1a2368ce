//! Operators' requests about the configuration, on the operators' port.

use std::sync::Arc;

use poem::http::StatusCode;
use poem::web::{Data, Query};
use poem::{Body, EndpointExt, Response, Route, get, handler, post};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use super::Store;
use super::refusal::PatchError;
use super::republish::RepublishRequest;
use super::request::PatchRequest;

/// Largest body of a submission: the largest patch and room for what stands around it.
const BODY_SIZE_BYTES: usize = 1 << 20;
/// Patches listed when no limit is given.
const HISTORY_DEFAULT: u64 = 20;
/// Patches listed at most.
const HISTORY_LIMIT: u64 = 200;

/// Returns the endpoints below `/v1/configuration`, to be nested there.
pub fn routes(store: Arc<Store>) -> impl poem::Endpoint<Output = Response> {
    Route::new()
        .at("/", get(get_current))
        .at("/patches", post(post_patch))
        .at("/republish", get(get_republish).post(post_republish))
        .at("/history", get(get_history))
        .at("/status", get(get_status))
        .data(store)
        .map_to_response()
}

#[handler]
fn get_current(store: Data<&Arc<Store>>) -> Response {
    answer(StatusCode::OK, &*store.current())
}

#[handler]
async fn post_patch(store: Data<&Arc<Store>>, body: Body) -> Response {
    let Ok(bytes) = body.into_bytes_limit(BODY_SIZE_BYTES).await else {
        return malformed("the body is too large or broke off");
    };
    let request: PatchRequest = match serde_json::from_slice(&bytes) {
        Ok(request) => request,
        Err(error) => return malformed(&error.to_string()),
    };
    drop(bytes);
    match store.submit(&request).await {
        Ok(version) => answer(StatusCode::OK, &json!({ "version": version })),
        Err(error) => refuse(&error),
    }
}

#[handler]
async fn get_republish(store: Data<&Arc<Store>>) -> Response {
    match store.republish_plan().await {
        Ok(plan) => answer(StatusCode::OK, &plan),
        Err(error) => refuse(&PatchError::PlatformUnavailable(error.to_string())),
    }
}

#[handler]
async fn post_republish(store: Data<&Arc<Store>>, body: Body) -> Response {
    let Ok(bytes) = body.into_bytes_limit(BODY_SIZE_BYTES).await else {
        return malformed("the body is too large or broke off");
    };
    let request: RepublishRequest = match serde_json::from_slice(&bytes) {
        Ok(request) => request,
        Err(error) => return malformed(&error.to_string()),
    };
    match store.republish(&request).await {
        Ok(version) => answer(StatusCode::OK, &json!({ "version": version })),
        Err(error) => refuse(&error),
    }
}

#[derive(Deserialize)]
struct HistoryQuery {
    limit: Option<u64>,
}

#[handler]
async fn get_history(store: Data<&Arc<Store>>, query: Query<HistoryQuery>) -> Response {
    let limit = query.limit.unwrap_or(HISTORY_DEFAULT).min(HISTORY_LIMIT);
    match store.history(limit, store.version().number).await {
        Ok(patches) => answer(StatusCode::OK, &json!({ "patches": patches })),
        Err(error) => refuse(&PatchError::PlatformUnavailable(error.to_string())),
    }
}

#[handler]
async fn get_status(store: Data<&Arc<Store>>) -> Response {
    let routers = store.status().await;
    answer(StatusCode::OK, &json!({ "routers": routers }))
}

fn refuse(error: &PatchError) -> Response {
    let mut body = json!({ "reason": error.as_str(), "message": error.to_string() });
    let status = match error {
        PatchError::Stale { current, changed } => {
            body["current"] = json!(current);
            body["changed"] = json!(changed);
            StatusCode::CONFLICT
        }
        PatchError::Invalid(faults) => {
            body["faults"] = json!(faults.0);
            StatusCode::UNPROCESSABLE_ENTITY
        }
        PatchError::UnknownOutcome
        | PatchError::PlatformUnavailable(_)
        | PatchError::PlatformBehind => StatusCode::SERVICE_UNAVAILABLE,
    };
    answer(status, &json!({ "error": body }))
}

fn malformed(message: &str) -> Response {
    let error = json!({ "reason": "malformed", "message": message });
    answer(StatusCode::BAD_REQUEST, &json!({ "error": error }))
}

fn answer(status: StatusCode, body: &impl Serialize) -> Response {
    let text = serde_json::to_string(body).unwrap_or_else(|_| Value::Null.to_string());
    Response::builder().status(status).content_type("application/json").body(text)
}
