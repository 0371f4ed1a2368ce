//! The socket for datagrams of other routers.

use std::collections::HashSet;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use teaselworks_policy::stream_origin::{KnownOrigin, StreamKeys, StreamOrigin};
use tokio::net::UdpSocket;
use tokio::time::Instant;

use super::lookup::Lookups;
use super::message::{
    Message, decode_message, encode_message, pack_keys, pack_origin, unpack_keys, unpack_origin,
};

/// Largest datagram that is received.
const MAX_DATAGRAM_BYTES: usize = 1_400;
/// Time after which such a query is sent again, since datagrams may be lost.
const LOOKUP_RETRY_INTERVAL: Duration = Duration::from_millis(75);
/// Time after the first answer that tells an origin for which further answers are awaited.
const LOOKUP_GRACE: Duration = Duration::from_millis(25);
/// Pause after an error of the socket, such as a refusal by a router that is down.
const ERROR_PAUSE: Duration = Duration::from_millis(5);

/// Socket for datagrams, at the same port as the TCP port for other routers. Before it is open, and
/// in a router without such a port, nothing is sent.
#[derive(Debug, Default)]
pub struct DatagramPort {
    socket: OnceLock<UdpSocket>,
    lookups: Arc<Lookups>,
}

impl DatagramPort {
    /// Opens the socket. Fails if the address is in use.
    pub async fn open(&self, address: SocketAddr) -> io::Result<()> {
        let socket = UdpSocket::bind(address).await?;
        // A second call keeps the first socket.
        let _ = self.socket.set(socket);
        Ok(())
    }

    /// Sends a message to each address, without waiting. A message that the socket does not take at
    /// once is lost like any other datagram may be.
    pub fn send(&self, message: &Message, addresses: &[SocketAddr]) {
        let Some(socket) = self.socket.get() else { return };
        let bytes = encode_message(message);
        for address in addresses {
            let _ = socket.try_send_to(&bytes, *address);
        }
    }

    /// Tells the routers at `holders` where a stream began.
    pub fn send_origin(&self, keys: StreamKeys, origin: &StreamOrigin, holders: &[SocketAddr]) {
        let (keys, origin) = (pack_keys(keys), pack_origin(origin));
        self.send(&Message::StreamBegan { keys, origin }, holders);
    }

    /// Answers a query for the origin of a stream.
    pub fn answer(
        &self,
        keys: StreamKeys,
        known: Option<&KnownOrigin>,
        known_for: Duration,
        address: SocketAddr,
    ) {
        let origin = match known {
            Some(KnownOrigin::One(origin)) => Some(pack_origin(origin)),
            Some(KnownOrigin::Several) | None => None,
        };
        let is_ambiguous = matches!(known, Some(KnownOrigin::Several));
        let keys = pack_keys(keys);
        let known_for_ms = known_for.as_millis() as u32;
        let answer = Message::StreamAnswer { keys, origin, is_ambiguous, known_for_ms };
        self.send(&answer, &[address]);
    }

    /// Queries the routers at `holders` where a stream began. Returns what they know together, and the
    /// longest time for which one of them was told of all. Waits
    /// for all of them, for at most `timeout`, and shortly once one has told.
    pub async fn look_up(
        &self,
        keys: StreamKeys,
        holders: &[SocketAddr],
        timeout: Duration,
    ) -> Option<(KnownOrigin, Duration)> {
        let mut lookup = self.lookups.begin(keys);
        let mut unanswered: HashSet<SocketAddr> = holders.iter().copied().collect();
        let mut known: Option<(KnownOrigin, Duration)> = None;
        let mut deadline = Instant::now() + timeout;
        while !unanswered.is_empty() && Instant::now() < deadline {
            let asked: Vec<SocketAddr> = unanswered.iter().copied().collect();
            self.send(&Message::StreamQuery { keys: pack_keys(keys) }, &asked);
            let retry_at = Instant::now() + LOOKUP_RETRY_INTERVAL;
            while let Ok(Some((address, origin))) =
                tokio::time::timeout_at(retry_at.min(deadline), lookup.next_answer()).await
            {
                unanswered.remove(&address);
                if let Some(origin) = origin {
                    deadline = deadline.min(Instant::now() + LOOKUP_GRACE);
                    known = Some(match known {
                        Some(known) => (known.0.merge(origin.0), known.1.max(origin.1)),
                        None => origin,
                    });
                }
                let is_ambiguous = matches!(known, Some((KnownOrigin::Several, _)));
                if unanswered.is_empty() || is_ambiguous {
                    return known;
                }
            }
        }
        known
    }

    /// Passes each message to `handle`, with the address of its sender, until the process ends.
    pub async fn receive(&self, mut handle: impl FnMut(Message, SocketAddr)) {
        let Some(socket) = self.socket.get() else { return };
        let mut buffer = [0; MAX_DATAGRAM_BYTES];
        loop {
            let Ok((length, sender)) = socket.recv_from(&mut buffer).await else {
                tokio::time::sleep(ERROR_PAUSE).await;
                continue;
            };
            let Some(message) = decode_message(&buffer[..length]) else { continue };
            if let Message::StreamAnswer { keys, origin, is_ambiguous, known_for_ms } = &message {
                let origin = origin.clone().map(|origin| Arc::new(unpack_origin(origin)));
                let known = match origin {
                    _ if *is_ambiguous => Some(KnownOrigin::Several),
                    origin => origin.map(KnownOrigin::One),
                };
                let known =
                    known.map(|known| (known, Duration::from_millis((*known_for_ms).into())));
                self.lookups.on_answer(unpack_keys(*keys), &(sender, known));
            }
            handle(message, sender);
        }
    }
}
