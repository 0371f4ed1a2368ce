//! Small pages for machines: readiness and metrics.

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

/// Longest time that one connection may stay: those who ask come back every few seconds.
const CONNECTION_TIMEOUT: Duration = Duration::from_secs(30);

/// What a page says.
pub(super) struct Page {
    pub(super) status: StatusCode,
    pub(super) text: String,
}

/// Answers each request on a port with the same page, made anew, until the process ends.
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
            // Whoever asked and left gets no page.
            let _ = tokio::time::timeout(CONNECTION_TIMEOUT, connection).await;
        });
    }
}

fn respond(page: Page) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(page.text)));
    *response.status_mut() = page.status;
    let media_type = http::HeaderValue::from_static("text/plain; charset=utf-8");
    response.headers_mut().insert(header::CONTENT_TYPE, media_type);
    response
}
