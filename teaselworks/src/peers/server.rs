//! Server that responds to queries of other routers.

use std::sync::Arc;
use std::time::Duration;

use futures_util::{SinkExt, StreamExt};
use tokio::net::{TcpListener, TcpStream};
use tokio_tungstenite::accept_async;
use tokio_tungstenite::tungstenite::Message;

use super::message::{PackedObservations, decode, encode};
use super::{PeerError, PeerQuery, PeerResponse};
use crate::discovery::StoreCache;
use crate::net;
use crate::relay::Shared;

/// Time without a query after which a connection is closed. Routers that read the store through
/// this one send a query each second.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Longest time for which a response waits for an update, whatever the query asks for.
const MAX_WAIT: Duration = Duration::from_secs(10);

/// Accepts connections of other routers and serves them until the process ends.
pub async fn serve(listener: TcpListener, cache: Arc<StoreCache>, shared: Arc<Shared>) {
    loop {
        let stream = net::accept(&listener).await;
        let cache = cache.clone();
        let shared = shared.clone();
        tokio::spawn(async move {
            // The querying router logs errors of the connection.
            let _ = serve_connection(stream, &cache, &shared).await;
        });
    }
}

async fn serve_connection(
    stream: TcpStream,
    cache: &StoreCache,
    shared: &Shared,
) -> Result<(), PeerError> {
    let mut last_sent_at = Duration::ZERO;
    let mut socket = accept_async(stream).await.map_err(|_| PeerError::Broken)?;
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
        let response =
            encode(&PeerResponse { reads_store: cache.can_read_store(), update, observations })?;
        socket.send(Message::Binary(response)).await.map_err(|_| PeerError::Broken)?;
    }
}
