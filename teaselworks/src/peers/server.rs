//! Answers other routers.

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

/// Longest silence of a router that asks; those that follow the news ask each second.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(30);
/// Longest time for which an answer waits for news.
const WAIT_MAX: Duration = Duration::from_secs(10);

/// Answers routers until the process ends.
pub async fn serve(listener: TcpListener, cache: Arc<StoreCache>, shared: Arc<Shared>) {
    loop {
        let stream = net::accept(&listener).await;
        let cache = cache.clone();
        let shared = shared.clone();
        tokio::spawn(async move {
            // The one that asked logs what went wrong.
            let _ = answer(stream, &cache, &shared).await;
        });
    }
}

async fn answer(stream: TcpStream, cache: &StoreCache, shared: &Shared) -> Result<(), PeerError> {
    let mut told_at = Duration::ZERO;
    let mut socket = accept_async(stream).await.map_err(|_| PeerError::Broken)?;
    loop {
        let message = tokio::time::timeout(SILENCE_TIMEOUT, socket.next()).await;
        let Some(message) = message.map_err(|_| PeerError::Timeout)? else { return Ok(()) };
        let Message::Binary(bytes) = message.map_err(|_| PeerError::Broken)? else { continue };
        let PeerQuery { known_revision, wait, largest_bytes, observations } = decode(&bytes)?;
        shared.hear(&observations.unpack());
        cache.wait(known_revision, wait.min(WAIT_MAX)).await;
        let update = cache.news_after(known_revision, largest_bytes);
        let now = shared.now();
        let observations =
            PackedObservations::pack(&shared.fleet().sightings_after(now, told_at, false));
        told_at = now;
        let answer =
            encode(&PeerResponse { reads_store: cache.is_current(), update, observations })?;
        socket.send(Message::Binary(answer)).await.map_err(|_| PeerError::Broken)?;
    }
}
