//! Answers other routers.

use std::sync::Arc;
use std::time::Duration;

use futures_util::{SinkExt, StreamExt};
use tokio::net::{TcpListener, TcpStream};
use tokio_tungstenite::accept_async;
use tokio_tungstenite::tungstenite::Message;

use super::message::{decode, encode};
use super::{Answer, PeerError, Question};
use crate::beliefs::Held;
use crate::event;
use crate::net;

/// Longest time that one asking router may take.
const CONNECTION_TIMEOUT: Duration = Duration::from_secs(2);
/// Pause after a connection could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Answers routers until the process ends.
pub async fn serve(listener: TcpListener, held: Arc<Held>) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                event::ACCEPT_FAILED.log(&[event::text("cause", &error)]);
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let held = held.clone();
        tokio::spawn(async move {
            // The one that asked logs what went wrong.
            let _ = tokio::time::timeout(CONNECTION_TIMEOUT, answer(stream, &held)).await;
        });
    }
}

async fn answer(stream: TcpStream, held: &Held) -> Result<(), PeerError> {
    net::watch_peer(&stream).map_err(|_| PeerError::Broken)?;
    let mut socket = accept_async(stream).await.map_err(|_| PeerError::Broken)?;
    while let Some(message) = socket.next().await {
        let Message::Binary(bytes) = message.map_err(|_| PeerError::Broken)? else { continue };
        let question: Question = decode(&bytes)?;
        let newer = held.newer_than(question.known_revision);
        let answer = Answer { reads_store: held.is_current(), newer };
        socket.send(Message::Binary(encode(&answer)?)).await.map_err(|_| PeerError::Broken)?;
    }
    Ok(())
}
