//! Asks another router.

use std::net::SocketAddr;
use std::time::Duration;

use futures_util::{SinkExt, StreamExt};
use tokio::net::TcpStream;
use tokio_tungstenite::tungstenite::Message;
use tokio_tungstenite::{WebSocketStream, client_async};

use super::message::{decode, encode};
use super::{PeerError, PeerQuery, PeerResponse};
use crate::net;

/// Time that an answer may take besides what it was asked to wait: it comes from memory.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(400);

/// Another router, with the connection that it was last asked on.
#[derive(Debug)]
pub struct Peer {
    address: SocketAddr,
    socket: Option<WebSocketStream<TcpStream>>,
}

impl Peer {
    /// Makes a client; nothing is opened yet.
    pub fn new(address: SocketAddr) -> Self {
        Self { address, socket: None }
    }

    /// Returns the address of the router.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Asks what the router knows; it may wait for that for a time.
    pub async fn ask(&mut self, question: PeerQuery) -> Result<PeerResponse, PeerError> {
        let wait = question.wait;
        let opened = match self.socket.take() {
            Some(socket) => Ok(socket),
            None => open(self.address).await,
        };
        let mut socket = opened?;
        let answered =
            tokio::time::timeout(wait + ANSWER_TIMEOUT, exchange(&mut socket, &question)).await;
        let answer = answered.unwrap_or(Err(PeerError::Timeout))?;
        // After a failure the connection is closed: a late answer would be taken for the next.
        self.socket = Some(socket);
        Ok(answer)
    }
}

async fn open(address: SocketAddr) -> Result<WebSocketStream<TcpStream>, PeerError> {
    let stream = net::connect(address).await.map_err(|_| PeerError::Connect)?;
    let handshake = client_async(format!("ws://{address}/"), stream);
    let opened = tokio::time::timeout(ANSWER_TIMEOUT, handshake).await;
    let (socket, _) = opened.map_err(|_| PeerError::Timeout)?.map_err(|_| PeerError::Broken)?;
    Ok(socket)
}

async fn exchange(
    socket: &mut WebSocketStream<TcpStream>,
    question: &PeerQuery,
) -> Result<PeerResponse, PeerError> {
    let question = encode(question)?;
    socket.send(Message::Binary(question)).await.map_err(|_| PeerError::Broken)?;
    while let Some(message) = socket.next().await {
        let Message::Binary(bytes) = message.map_err(|_| PeerError::Broken)? else { continue };
        return decode(&bytes);
    }
    Err(PeerError::Broken)
}
