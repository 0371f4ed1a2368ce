//! Asks one router.

use std::net::SocketAddr;
use std::time::Duration;

use futures_util::{SinkExt, StreamExt};
use tokio_tungstenite::client_async;
use tokio_tungstenite::tungstenite::Message;

use super::message::{decode, encode};
use super::{Answer, PeerError, Question};
use crate::net;

/// Longest wait for an answer: it comes from memory, within a few round trips.
const ASK_TIMEOUT: Duration = Duration::from_millis(600);

/// Asks the router at an address what it knows beyond a revision.
pub async fn ask(address: SocketAddr, known: u64) -> Result<Answer, PeerError> {
    tokio::time::timeout(ASK_TIMEOUT, exchange(address, known))
        .await
        .unwrap_or(Err(PeerError::Timeout))
}

async fn exchange(address: SocketAddr, known: u64) -> Result<Answer, PeerError> {
    let stream = net::connect(address).await.map_err(|_| PeerError::Connect)?;
    let url = format!("ws://{address}/");
    let (mut socket, _) = client_async(url, stream).await.map_err(|_| PeerError::Broken)?;
    let question = encode(&Question { known_revision: known })?;
    socket.send(Message::Binary(question)).await.map_err(|_| PeerError::Broken)?;
    while let Some(message) = socket.next().await {
        let Message::Binary(bytes) = message.map_err(|_| PeerError::Broken)? else { continue };
        return decode(&bytes);
    }
    Err(PeerError::Broken)
}
