//! HTTP server for plain-text pages: readiness and metrics.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, StatusCode, header};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;

use crate::net;

/// Maximum lifetime of a connection. Health checks and metrics scrapers connect again every few
/// seconds anyway.
const CONNECTION_TIMEOUT: Duration = Duration::from_secs(30);

/// Content of a page.
pub(super) struct Page {
    pub(super) status: StatusCode,
    pub(super) text: String,
}

/// Answers every request on `listener` with the result of `page`, whatever its method and path,
/// until the process ends.
pub(super) async fn serve(listener: TcpListener, page: impl Fn() -> Page + Send + Sync + 'static) {
    let page = Arc::new(page);
    loop {
        let stream = net::accept(&listener).await;
        let page = page.clone();
        let service = service_fn(move |_: Request<Incoming>| {
            let response = respond(page());
            async { Ok::<_, Infallible>(response) }
        });
        let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
        tokio::spawn(async move {
            // A client that disconnected or took too long needs no error handling.
            let _ = tokio::time::timeout(CONNECTION_TIMEOUT, connection).await;
        });
    }
}

/// Builds the plain-text response for a page.
fn respond(page: Page) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(page.text)));
    *response.status_mut() = page.status;
    let media_type = http::HeaderValue::from_static("text/plain; charset=utf-8");
    response.headers_mut().insert(header::CONTENT_TYPE, media_type);
    response
}
