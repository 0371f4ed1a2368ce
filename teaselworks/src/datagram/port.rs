//! The socket for datagrams of other routers.

use std::collections::HashSet;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use teaselworks_policy::stream_origin::StreamOrigin;
use tokio::net::UdpSocket;
use tokio::time::Instant;

use super::lookup::Lookups;
use super::message::{Message, decode_message, encode_message, pack_origin, unpack_origin};

/// Largest datagram that is received.
const MAX_DATAGRAM_BYTES: usize = 1_400;
/// Time for which a query for the origin of a stream waits for answers.
const LOOKUP_TIMEOUT: Duration = Duration::from_millis(300);
/// Time after which such a query is sent again, since datagrams may be lost.
const LOOKUP_RETRY_INTERVAL: Duration = Duration::from_millis(75);
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
    pub fn send_origin(&self, stream: u64, origin: &StreamOrigin, holders: &[SocketAddr]) {
        let origin = pack_origin(origin);
        self.send(&Message::StreamBegan { stream, origin }, holders);
    }

    /// Answers a query for the origin of a stream.
    pub fn answer(&self, stream: u64, origin: Option<&StreamOrigin>, address: SocketAddr) {
        let origin = origin.map(pack_origin);
        self.send(&Message::StreamAnswer { stream, origin }, &[address]);
    }

    /// Queries the routers at `holders` where a stream began. Returns `None` once all have answered
    /// that they do not know, or 300 ms later.
    pub async fn look_up(&self, stream: u64, holders: &[SocketAddr]) -> Option<StreamOrigin> {
        let mut lookup = self.lookups.begin(stream);
        let mut unanswered: HashSet<SocketAddr> = holders.iter().copied().collect();
        let deadline = Instant::now() + LOOKUP_TIMEOUT;
        while !unanswered.is_empty() {
            let asked: Vec<SocketAddr> = unanswered.iter().copied().collect();
            self.send(&Message::StreamQuery { stream }, &asked);
            let retry_at = deadline.min(Instant::now() + LOOKUP_RETRY_INTERVAL);
            while let Ok(Some((address, origin))) =
                tokio::time::timeout_at(retry_at, lookup.next_answer()).await
            {
                if origin.is_some() {
                    return origin;
                }
                unanswered.remove(&address);
                if unanswered.is_empty() {
                    return None;
                }
            }
            if Instant::now() >= deadline {
                return None;
            }
        }
        None
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
            if let Message::StreamAnswer { stream, origin } = &message {
                let origin = origin.clone().map(unpack_origin);
                self.lookups.on_answer(*stream, &(sender, origin));
            }
            handle(message, sender);
        }
    }
}
