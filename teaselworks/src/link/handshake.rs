//! Opens a connection to a peer, or takes one, and runs the handshake on it.

use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_util::{SinkExt, StreamExt};
use teaselworks_wire::handshake::{
    self, HandshakeError, Hello, Message, NONCE_SIZE_BYTES, Party, VERSIONS,
};
use teaselworks_wire::message::Purpose;
use tokio::net::TcpStream;
use tokio::time;
use tokio_tungstenite::tungstenite::protocol::{Role, WebSocketConfig};
use tokio_tungstenite::tungstenite::{self, Error as WsError};
use tokio_tungstenite::{WebSocketStream, accept_async_with_config, client_async_with_config};

use super::Peer;
use super::connection::{Link, Shared};
use super::counted::Counted;
use super::error::{LinkError, LinkErrorKind};
use crate::metrics::Direction;

/// Read and write buffers; small, for a router holds a link to each of several hundred others.
const BUFFER_SIZE_BYTES: usize = 1 << 10;

/// Resource that the dialer asks for.
const PATH: &str = "/link";

/// WebSocket of a link.
pub(super) type Socket = WebSocketStream<Counted<TcpStream>>;

/// Why no link came about.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Failure {
    /// The connection failed.
    Io(ErrorKind),
    /// The time ran out.
    Timeout,
    /// One end refused.
    Handshake(HandshakeError),
}

impl From<io::Error> for Failure {
    fn from(error: io::Error) -> Self {
        Failure::Io(error.kind())
    }
}

impl From<WsError> for Failure {
    fn from(error: WsError) -> Self {
        match error {
            WsError::Io(error) => error.into(),
            WsError::ConnectionClosed | WsError::AlreadyClosed => {
                Failure::Io(ErrorKind::ConnectionAborted)
            }
            _ => Failure::Handshake(HandshakeError::Malformed),
        }
    }
}

impl From<HandshakeError> for Failure {
    fn from(error: HandshakeError) -> Self {
        Failure::Handshake(error)
    }
}

impl From<Failure> for LinkError {
    fn from(failure: Failure) -> Self {
        LinkError::not_run(match failure {
            Failure::Io(kind) => LinkErrorKind::Connect(kind),
            Failure::Timeout => LinkErrorKind::ConnectTimeout,
            Failure::Handshake(error) => LinkErrorKind::Handshake(error),
        })
    }
}

/// Opens a link to a peer.
pub(super) async fn dial(shared: Arc<Shared>, peer: &Peer) -> Result<(Link, Socket), Failure> {
    within(&shared, async {
        let stream = TcpStream::connect(peer.address).await?;
        stream.set_nodelay(true)?;
        let url = format!("ws://{}{PATH}", peer.address);
        let config = Some(config(&shared));
        let (socket, _) = client_async_with_config(url, Counted::new(stream), config).await?;
        // The library goes on reading into what it read the answer to the upgrade with, 4 KB for as
        // long as the link lasts. Nothing but that answer can be in it: the dialer speaks first.
        let mut socket =
            WebSocketStream::from_raw_socket(socket.into_inner(), Role::Client, config).await;
        let link = say_hello(&shared, peer, &mut socket).await;
        count_handshake(&shared, &socket);
        Ok((link?, socket))
    })
    .await
}

/// Takes a link from a peer.
pub(super) async fn accept(
    shared: Arc<Shared>,
    stream: TcpStream,
) -> Result<(Link, Socket), Failure> {
    within(&shared, async {
        stream.set_nodelay(true)?;
        let config = Some(config(&shared));
        let mut socket = accept_async_with_config(Counted::new(stream), config).await?;
        let link = await_hello(&shared, &mut socket).await;
        count_handshake(&shared, &socket);
        Ok((link?, socket))
    })
    .await
}

/// Limits the time for a connection to come about.
async fn within<T>(
    shared: &Shared,
    work: impl Future<Output = Result<T, Failure>>,
) -> Result<T, Failure> {
    let limit = Duration::from_millis(shared.settings.connect_timeout_ms);
    time::timeout(limit, work).await.unwrap_or(Err(Failure::Timeout))
}

fn config(shared: &Shared) -> WebSocketConfig {
    let frame_size_bytes = shared.settings.frame_size_bytes as usize;
    WebSocketConfig::default()
        .read_buffer_size(BUFFER_SIZE_BYTES)
        .write_buffer_size(BUFFER_SIZE_BYTES)
        .max_message_size(Some(frame_size_bytes))
        .max_frame_size(Some(frame_size_bytes))
}

fn party(shared: &Shared) -> Party {
    Party {
        router: shared.identity.router.clone(),
        incarnation: shared.identity.incarnation,
        // A predictable nonce would let a listener replay an old proof; seeded randomness, as the
        // decisions take it, won't do here.
        nonce: rand::random::<[u8; NONCE_SIZE_BYTES]>(),
        limits: shared.limits(),
    }
}

async fn say_hello(
    shared: &Arc<Shared>,
    peer: &Peer,
    socket: &mut Socket,
) -> Result<Link, Failure> {
    let acceptor = peer.router.clone();
    let hello = Hello { versions: VERSIONS, dialer: party(shared), acceptor };
    send(socket, Message::Hello(hello.clone())).await?;
    let Message::Challenge(challenge) = receive(socket).await? else {
        return Err(refuse(socket, HandshakeError::Malformed).await);
    };
    let proof = match handshake::respond(&shared.secret, &hello, &challenge) {
        Ok(proof) => proof,
        Err(error) => return Err(refuse(socket, error).await),
    };
    send(socket, Message::Proof(proof)).await?;
    let Message::Welcome = receive(socket).await? else {
        return Err(refuse(socket, HandshakeError::Malformed).await);
    };
    Ok(link(shared, challenge.acceptor, Some(peer.address)))
}

async fn await_hello(shared: &Arc<Shared>, socket: &mut Socket) -> Result<Link, Failure> {
    let Message::Hello(hello) = receive(socket).await? else {
        return Err(refuse(socket, HandshakeError::Malformed).await);
    };
    let challenge = match handshake::challenge(&shared.secret, party(shared), &hello) {
        Ok(challenge) => challenge,
        Err(error) => return Err(refuse(socket, error).await),
    };
    send(socket, Message::Challenge(challenge.clone())).await?;
    let Message::Proof(proof) = receive(socket).await? else {
        return Err(refuse(socket, HandshakeError::Malformed).await);
    };
    if let Err(error) = handshake::verify(&shared.secret, &hello, &challenge, &proof) {
        return Err(refuse(socket, error).await);
    }
    send(socket, Message::Welcome).await?;
    Ok(link(shared, hello.dialer, None))
}

fn link(shared: &Arc<Shared>, peer: Party, address: Option<SocketAddr>) -> Link {
    Link::new(shared.clone(), peer.router, peer.incarnation, address, peer.limits)
}

async fn send(socket: &mut Socket, message: Message) -> Result<(), Failure> {
    let bytes = handshake::encode(&message).map_err(HandshakeError::from)?;
    Ok(socket.send(tungstenite::Message::binary(bytes)).await?)
}

async fn receive(socket: &mut Socket) -> Result<Message, Failure> {
    let message = match socket.next().await {
        Some(message) => message?,
        None => return Err(Failure::Io(ErrorKind::UnexpectedEof)),
    };
    let tungstenite::Message::Binary(bytes) = message else {
        return Err(HandshakeError::Malformed.into());
    };
    match handshake::decode(&bytes).map_err(HandshakeError::from)? {
        Message::Refuse(error) => Err(error.into()),
        message => Ok(message),
    }
}

/// Tells the peer why it is refused; that it may already be gone changes nothing.
async fn refuse(socket: &mut Socket, error: HandshakeError) -> Failure {
    let _ = send(socket, Message::Refuse(error)).await;
    let _ = socket.close(None).await;
    error.into()
}

fn count_handshake(shared: &Shared, socket: &Socket) {
    let (received, sent) = (socket.get_ref().received_bytes(), socket.get_ref().sent_bytes());
    shared.meters.add_control_bytes(Purpose::Link, Direction::In, received);
    shared.meters.add_control_bytes(Purpose::Link, Direction::Out, sent);
}
