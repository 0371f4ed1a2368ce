//! Server for other routers: responds to their queries, and serves the requests that they forward.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use futures_util::{SinkExt, StreamExt};
use http::{HeaderValue, Request, Response, StatusCode, header};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::upgrade::{OnUpgrade, Upgraded};
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite::Message;
use tokio_tungstenite::tungstenite::handshake::derive_accept_key;
use tokio_tungstenite::tungstenite::protocol::Role;

use super::message::{PackedObservations, decode, encode};
use super::{PeerError, PeerQuery, PeerResponse};
use crate::discovery::StoreCache;
use crate::net;
use crate::relay::{OpenCallerConnections, OutgoingBody, Shared, empty_body, serve_forwarded};

/// Time without a query after which a connection is closed. Routers that read the store through
/// this one send a query each second.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Longest time for which a response waits for an update, whatever the query requests.
const MAX_WAIT: Duration = Duration::from_secs(10);

/// What a connection of another router needs.
#[derive(Clone)]
struct Context {
    cache: Arc<StoreCache>,
    shared: Arc<Shared>,
    open: OpenCallerConnections,
}

/// Accepts connections of other routers and serves them until the process ends. Requests that they
/// forward count in `open`.
pub async fn serve(
    listener: TcpListener,
    cache: Arc<StoreCache>,
    shared: Arc<Shared>,
    open: OpenCallerConnections,
) {
    let context = Context { cache, shared, open };
    loop {
        let stream = net::accept(&listener).await;
        let context = context.clone();
        let service = service_fn(move |request| respond(context.clone(), request));
        let connection = http1::Builder::new()
            .half_close(false)
            .serve_connection(TokioIo::new(stream), service)
            .with_upgrades();
        tokio::spawn(async move {
            // The other router logs errors of the connection.
            let _ = connection.await;
        });
    }
}

/// Responds to one HTTP request: the opening handshake of a WebSocket, or a forwarded request.
async fn respond(
    context: Context,
    mut request: Request<Incoming>,
) -> Result<Response<OutgoingBody>, Infallible> {
    let Some(key) = request.headers().get(header::SEC_WEBSOCKET_KEY) else {
        return Ok(serve_forwarded(context.shared, &context.open, request).await);
    };
    let accept_key = derive_accept_key(key.as_bytes());
    let upgrade = hyper::upgrade::on(&mut request);
    tokio::spawn(async move {
        // The querying router logs errors of the connection.
        let _ = serve_queries(upgrade, &context.cache, &context.shared).await;
    });
    let mut response = Response::new(empty_body());
    *response.status_mut() = StatusCode::SWITCHING_PROTOCOLS;
    let headers = response.headers_mut();
    headers.insert(header::CONNECTION, HeaderValue::from_static("upgrade"));
    headers.insert(header::UPGRADE, HeaderValue::from_static("websocket"));
    // A base64 text is always a valid header value.
    if let Ok(value) = HeaderValue::from_str(&accept_key) {
        headers.insert(header::SEC_WEBSOCKET_ACCEPT, value);
    }
    Ok(response)
}

async fn serve_queries(
    upgrade: OnUpgrade,
    cache: &StoreCache,
    shared: &Shared,
) -> Result<(), PeerError> {
    let upgraded: Upgraded = upgrade.await.map_err(|_| PeerError::Broken)?;
    let mut socket =
        WebSocketStream::from_raw_socket(TokioIo::new(upgraded), Role::Server, None).await;
    let mut last_sent_at = Duration::ZERO;
    loop {
        let message = tokio::time::timeout(IDLE_TIMEOUT, socket.next()).await;
        let Some(message) = message.map_err(|_| PeerError::Timeout)? else { return Ok(()) };
        let Message::Binary(bytes) = message.map_err(|_| PeerError::Broken)? else { continue };
        let PeerQuery { known_revision, wait, largest_bytes, observations } = decode(&bytes)?;
        shared.apply_observations(&observations.unpack());
        cache.wait_for_update(known_revision, wait.min(MAX_WAIT)).await;
        let update = cache.update_after(known_revision, largest_bytes);
        let now = shared.now();
        let observations =
            PackedObservations::pack(&shared.fleet().observations_after(now, last_sent_at, false));
        last_sent_at = now;
        let list_age = shared.fleet().list_age(now);
        let reads_store = cache.can_read_store();
        let response = encode(&PeerResponse { reads_store, list_age, update, observations })?;
        socket.send(Message::Binary(response)).await.map_err(|_| PeerError::Broken)?;
    }
}
