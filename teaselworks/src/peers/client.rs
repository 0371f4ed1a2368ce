//! Client that queries another router over a WebSocket.

use std::net::SocketAddr;
use std::time::Duration;

use futures_util::{SinkExt, StreamExt};
use tokio_tungstenite::tungstenite::Message;
use tokio_tungstenite::{WebSocketStream, client_async};

use super::message::{decode, encode};
use super::{PeerError, PeerQuery, PeerResponse};
use crate::net::{self, YieldingStream};

/// Time limit for a response in addition to the wait that the query requests, and for opening a
/// WebSocket. The other router responds from memory.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(400);

/// Client of another router, with the connection of the last query.
#[derive(Debug)]
pub struct PeerClient {
    address: SocketAddr,
    socket: Option<WebSocketStream<YieldingStream>>,
}

impl PeerClient {
    /// Creates a client. The connection is opened by the first query.
    pub fn new(address: SocketAddr) -> Self {
        Self { address, socket: None }
    }

    /// Returns the address of the other router.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends a query and waits for the response, on the open connection or on a new one.
    pub async fn query(&mut self, query: PeerQuery) -> Result<PeerResponse, PeerError> {
        let wait = query.wait;
        let opened = match self.socket.take() {
            Some(socket) => Ok(socket),
            None => open(self.address).await,
        };
        let mut socket = opened?;
        let result =
            tokio::time::timeout(wait + RESPONSE_TIMEOUT, exchange(&mut socket, &query)).await;
        let response = result.unwrap_or(Err(PeerError::Timeout))?;
        // A failure above closes the connection: a late response on it would be taken for the
        // response to the next query.
        self.socket = Some(socket);
        Ok(response)
    }
}

async fn open(address: SocketAddr) -> Result<WebSocketStream<YieldingStream>, PeerError> {
    let stream = net::connect(address).await.map_err(|_| PeerError::Connect)?;
    let handshake = client_async(format!("ws://{address}/"), YieldingStream::new(stream));
    let opened = tokio::time::timeout(RESPONSE_TIMEOUT, handshake).await;
    let (socket, _) = opened.map_err(|_| PeerError::Timeout)?.map_err(|_| PeerError::Broken)?;
    Ok(socket)
}

async fn exchange(
    socket: &mut WebSocketStream<YieldingStream>,
    query: &PeerQuery,
) -> Result<PeerResponse, PeerError> {
    let encoded = encode(query)?;
    socket.send(Message::Binary(encoded)).await.map_err(|_| PeerError::Broken)?;
    while let Some(message) = socket.next().await {
        let Message::Binary(bytes) = message.map_err(|_| PeerError::Broken)? else { continue };
        return decode(&bytes);
    }
    Err(PeerError::Broken)
}
