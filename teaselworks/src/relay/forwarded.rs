//! Serves requests that another router forwards because it does not reach their service.

use std::sync::Arc;

use http::{Request, Response};
use http_body_util::BodyExt;
use hyper::body::Incoming;

use super::Shared;
use super::body::{GuardedBody, OutgoingBody};
use super::io::Activity;
use super::open_connections::OpenCallerConnections;
use super::origin::{MAX_RUNS, Origin};
use super::serve::serve;

/// Serves one forwarded request and returns the response. A request that this router cannot serve
/// either gets status 421, which promises the other router that it has not run.
///
/// The request counts in `open` until its response is sent, so that a planned stop waits for it.
pub async fn serve_forwarded(
    shared: Arc<Shared>,
    open: &OpenCallerConnections,
    mut request: Request<Incoming>,
) -> Response<OutgoingBody> {
    let guard = open.add();
    let max_runs = request.headers_mut().remove(MAX_RUNS);
    let max_runs = max_runs.and_then(|value| value.to_str().ok()?.parse().ok()).unwrap_or(1);
    let activity = Activity::new(shared.now());
    let response = serve(shared, request, &activity, Origin::Router { max_runs }).await;
    response.map(|body| GuardedBody::new(body, guard).boxed_unsync())
}
