//! Routers, attempts and a peer that speaks the protocol by hand.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use teaselworks::exchange::{Exchange, Incoming};
use teaselworks::link::{ControlRequest, LinkHandlers, LinkIdentity, Links, Peer};
use teaselworks::metrics::Metrics;
use teaselworks_config::settings::LinkSettings;
use teaselworks_policy::name::AttemptId;
use teaselworks_policy::verdict::Priority;
use teaselworks_wire::codec;
use teaselworks_wire::frame::Frame;
use teaselworks_wire::handshake::{self, Hello, Limits, Message, Party, Secret, VERSIONS};
use teaselworks_wire::message::{CallTarget, Open, Reply, ReplyData, ReplyFinish, Target};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time;
use tokio_tungstenite::{MaybeTlsStream, WebSocketStream, connect_async, tungstenite};

/// Longest wait for anything; far above what a loaded machine needs.
pub const PATIENCE: Duration = Duration::from_secs(30);

pub const SECRET: &str = "a secret for the tests";

pub struct Router {
    pub links: Arc<Links>,
    pub metrics: Arc<Metrics>,
    pub address: SocketAddr,
    incoming: mpsc::UnboundedReceiver<Incoming>,
    pub control: mpsc::UnboundedReceiver<ControlRequest>,
}

pub fn settings() -> LinkSettings {
    LinkSettings {
        secret: SECRET.into(),
        connect_timeout_ms: 10_000,
        probe_timeout_ms: 10_000,
        idle_timeout_ms: 10_000,
        stream_window_bytes: 16 << 10,
        frame_size_bytes: 16 << 10,
        streams: 16,
        memory_bytes: 128 << 10,
        quiet_close_ms: 300_000,
    }
}

pub async fn router(name: &str, incarnation: u64, settings: LinkSettings) -> Router {
    let metrics = Arc::new(Metrics::new());
    let identity = LinkIdentity { router: name.into(), incarnation };
    let links = Links::new(identity, settings, metrics.clone());
    let (incoming_sender, incoming) = mpsc::unbounded_channel();
    let (control_sender, control) = mpsc::unbounded_channel();
    let handlers = LinkHandlers {
        incoming: Arc::new(move |incoming| drop(incoming_sender.send(incoming))),
        control: Arc::new(move |request| drop(control_sender.send(request))),
    };
    let address = links.listen("127.0.0.1:0".parse().unwrap(), handlers).await.unwrap();
    Router { links, metrics, address, incoming, control }
}

/// Makes routers `a` and `b` of the usual settings.
pub async fn routers() -> (Router, Router) {
    (router("a", 1, settings()).await, router("b", 1, settings()).await)
}

/// Makes routers `a` and `b` that give up a silent link so soon.
pub async fn impatient_routers(idle_timeout_ms: u64) -> (Router, Router) {
    let settings = LinkSettings { idle_timeout_ms, ..settings() };
    (router("a", 1, settings.clone()).await, router("b", 1, settings).await)
}

impl Router {
    /// Sums the samples of an instrument that carry a label value.
    pub fn count(&self, instrument: &str, label: &str) -> i64 {
        let (prefix, label) = (format!("teaselworks_{instrument}"), format!("\"{label}\""));
        let text = self.metrics.to_text();
        let lines = text.lines().filter(|line| line.starts_with(&prefix) && line.contains(&label));
        lines.map(|line| line.rsplit(' ').next().unwrap().parse::<i64>().unwrap()).sum()
    }

    pub async fn open_to(&self, peer: &Peer, sequence: u64) -> Exchange {
        self.links.open(peer, open(sequence), no_body()).await.unwrap()
    }

    pub async fn take(&mut self) -> Incoming {
        patiently(self.incoming.recv()).await.unwrap()
    }

    pub fn took_nothing(&mut self) -> bool {
        self.incoming.try_recv().is_err()
    }
}

pub fn peer(name: &str, address: SocketAddr) -> Peer {
    Peer { router: name.into(), address }
}

pub fn open(sequence: u64) -> Open {
    let attempt = AttemptId { router: "a".into(), incarnation: 1, sequence, attempt: 0 };
    let target = CallTarget {
        service: "stock".into(),
        method: "POST".into(),
        path: "/".into(),
        headers: Vec::new(),
        idempotency_key: None,
    };
    Open {
        attempt,
        replica: "stock-1".into(),
        claim: Default::default(),
        refused_mean_tokens: 0,
        workspace: "choir".into(),
        priority: Priority::Normal,
        deadline_ms: 60_000,
        configuration_version: 1,
        target: Target::Call(target),
    }
}

pub fn data(offset_bytes: u64, output_tokens: u64, bytes: impl Into<Bytes>) -> Reply {
    Reply::Data(ReplyData { offset_bytes, output_tokens, more: false, bytes: bytes.into() })
}

pub fn finish(size_bytes: u64) -> Reply {
    Reply::Finish(ReplyFinish { size_bytes, tokens: None, load: Default::default() })
}

pub fn no_body() -> mpsc::Receiver<Bytes> {
    mpsc::channel(1).1
}

pub async fn patiently<T>(work: impl Future<Output = T>) -> T {
    time::timeout(PATIENCE, work).await.expect("in time")
}

pub async fn until(mut condition: impl FnMut() -> bool) {
    patiently(async {
        while !condition() {
            time::sleep(Duration::from_millis(5)).await;
        }
    })
    .await;
}

/// Takes replies up to the end; returns the body and whether a finish said that it is whole.
pub async fn read_all(exchange: &mut Exchange) -> (Vec<u8>, bool) {
    let mut body = Vec::new();
    while let Some(reply) = patiently(exchange.replies.recv()).await {
        match reply {
            Reply::Data(data) => {
                assert_eq!(data.offset_bytes, body.len() as u64);
                body.extend_from_slice(&data.bytes);
            }
            Reply::Finish(finish) => {
                assert_eq!(finish.size_bytes, body.len() as u64);
                assert_eq!(patiently(exchange.replies.recv()).await, None);
                return (body, true);
            }
            other => panic!("{other:?}"),
        }
    }
    (body, false)
}

/// A peer that knows the secret and sends whatever a test makes it send.
pub struct RawPeer {
    socket: WebSocketStream<MaybeTlsStream<TcpStream>>,
}

impl RawPeer {
    pub async fn dial(router: &Router, name: &str) -> Self {
        let url = format!("ws://{}/link", router.address);
        let (socket, _) = connect_async(url).await.unwrap();
        let mut peer = Self { socket };
        let limits = Limits { frame_size_bytes: 1 << 20, window_bytes: 2_048, streams: 99 };
        let dialer = Party { router: name.into(), incarnation: 1, nonce: [3; 32], limits };
        let hello = Hello { versions: VERSIONS, dialer, acceptor: "a".into() };
        peer.say(&Message::Hello(hello.clone())).await;
        let Message::Challenge(challenge) = peer.hear().await else { panic!() };
        let proof = handshake::respond(&Secret::new(SECRET), &hello, &challenge).unwrap();
        peer.say(&Message::Proof(proof)).await;
        assert_eq!(peer.hear().await, Message::Welcome);
        until(|| router.links.peers().contains(&name.into())).await;
        peer
    }

    async fn say(&mut self, message: &Message) {
        self.send_bytes(handshake::encode(message).unwrap()).await;
    }

    async fn hear(&mut self) -> Message {
        handshake::decode(&self.receive_bytes().await.unwrap()).unwrap()
    }

    pub async fn send_bytes(&mut self, bytes: Vec<u8>) {
        self.socket.send(tungstenite::Message::binary(bytes)).await.unwrap();
    }

    pub async fn send(&mut self, frames: &[Frame]) {
        let mut buffer = Vec::new();
        for frame in frames {
            codec::append(&mut buffer, frame, usize::MAX).unwrap();
        }
        self.send_bytes(buffer).await;
    }

    /// Returns the next message; `None` once the router has ended the connection.
    async fn receive_bytes(&mut self) -> Option<Bytes> {
        while let Some(Ok(message)) = patiently(self.socket.next()).await {
            if let tungstenite::Message::Binary(bytes) = message {
                return Some(bytes);
            }
        }
        None
    }

    /// Returns the next frames.
    pub async fn receive(&mut self) -> Vec<Frame> {
        let bytes = self.receive_bytes().await.expect("a message");
        let (mut rest, mut frames) = (&bytes[..], Vec::new());
        while !rest.is_empty() {
            frames.push(codec::take(&mut rest).unwrap());
        }
        frames
    }

    /// Waits until the router has ended the connection.
    pub async fn closed(&mut self) {
        while self.receive_bytes().await.is_some() {}
    }
}
