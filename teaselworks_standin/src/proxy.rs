//! TCP proxy on loopback whose faults can be changed while connections are open.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use crate::port::{PortGuard, reset_when_dropped};

/// Maximum number of bytes that are read and passed on at once.
const CHUNK_SIZE_BYTES: usize = 16 << 10;

/// Faults in one direction, all off by default.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DirectionFaults {
    /// Whether data is held back until this is unset, while connections stay open.
    pub is_frozen: bool,
    /// Time by which each chunk is delayed.
    pub delay: Duration,
    /// Maximum rate in bytes per second, for each connection.
    pub bytes_per_s: Option<u64>,
    /// Number of bytes after which a connection is closed, counted for each connection.
    pub cut_after_bytes: Option<u64>,
}

/// Faults of a proxy, all off by default.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ProxyFaults {
    /// Whether new connections are refused.
    pub is_refusing: bool,
    /// Whether attempts to open a connection get no reply, not even a refusal.
    pub is_unresponsive: bool,
    /// Faults from the client to the target.
    pub forward: DirectionFaults,
    /// Faults from the target to the client.
    pub backward: DirectionFaults,
}

/// Direction of data through the proxy.
#[derive(Clone, Copy)]
enum Direction {
    /// From the client to the target.
    Forward,
    /// From the target to the client.
    Backward,
}

impl Direction {
    /// Returns the faults in this direction.
    fn faults_in(self, faults: &ProxyFaults) -> &DirectionFaults {
        match self {
            Direction::Forward => &faults.forward,
            Direction::Backward => &faults.backward,
        }
    }
}

/// Totals over all connections of a proxy.
#[derive(Default)]
struct Counters {
    connections: AtomicU64,
    forward_bytes: AtomicU64,
    backward_bytes: AtomicU64,
}

/// A proxy in front of one address, which stops and closes its connections when it is dropped.
pub struct Proxy {
    address: SocketAddr,
    faults: watch::Sender<ProxyFaults>,
    /// Token that closes the connections that are open now; replaced by each cut.
    cut_token: watch::Sender<CancellationToken>,
    /// Token that stalls the connections that are open now; replaced by each stall.
    stall_token: watch::Sender<CancellationToken>,
    counters: Arc<Counters>,
    stop: CancellationToken,
}

impl Proxy {
    /// Starts a proxy on a free loopback port that connects to `target` for each client.
    pub fn start(target: SocketAddr) -> io::Result<Self> {
        let guard = PortGuard::reserve()?;
        let address = guard.address();
        let listener = guard.listen()?;
        let (faults, fault_receiver) = watch::channel(ProxyFaults::default());
        let (cut_token, cut_receiver) = watch::channel(CancellationToken::new());
        let (stall_token, stall_receiver) = watch::channel(CancellationToken::new());
        let counters = Arc::new(Counters::default());
        let stop = CancellationToken::new();
        let relay = Relay {
            target,
            faults: fault_receiver,
            cut_token: cut_receiver,
            stall_token: stall_receiver,
            counters: counters.clone(),
        };
        let stopped = stop.clone();
        tokio::spawn(async move {
            tokio::select! {
                () = relay.accept(guard, listener) => {}
                () = stopped.cancelled() => {}
            }
        });
        Ok(Self { address, faults, cut_token, stall_token, counters, stop })
    }

    /// Returns the address on which the proxy listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes the faults, for open connections too.
    pub fn set_faults(&self, change: impl FnOnce(&mut ProxyFaults)) {
        self.faults.send_modify(change);
    }

    /// Freezes or unfreezes both directions. While they are frozen, new connections are accepted
    /// but carry no data.
    pub fn set_frozen(&self, is_frozen: bool) {
        self.set_faults(|faults| {
            faults.forward.is_frozen = is_frozen;
            faults.backward.is_frozen = is_frozen;
        });
    }

    /// Closes every open connection.
    pub fn cut(&self) {
        self.cut_token.send_replace(CancellationToken::new()).cancel();
    }

    /// Stalls every open connection: it carries no more data but stays open until [`Proxy::cut`],
    /// as when a middlebox has dropped its state. New connections work.
    pub fn stall(&self) {
        self.stall_token.send_replace(CancellationToken::new()).cancel();
    }

    /// Returns the number of connections accepted so far.
    pub fn connections(&self) -> u64 {
        self.counters.connections.load(Ordering::Relaxed)
    }

    /// Returns the bytes passed on to the target so far.
    pub fn forward_bytes(&self) -> u64 {
        self.counters.forward_bytes.load(Ordering::Relaxed)
    }

    /// Returns the bytes passed back from the target so far.
    pub fn backward_bytes(&self) -> u64 {
        self.counters.backward_bytes.load(Ordering::Relaxed)
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.stop.cancel();
        self.cut();
    }
}

/// Listens with a full queue: whoever connects gets no reply while the returned sockets are open.
async fn fill_queue(guard: &PortGuard) -> io::Result<(TcpListener, TcpStream)> {
    let listener = guard.listen_without_room()?;
    let waiting = TcpStream::connect(guard.address()).await?;
    Ok((listener, waiting))
}

/// Accepts connections and copies data between clients and the target.
#[derive(Clone)]
struct Relay {
    target: SocketAddr,
    faults: watch::Receiver<ProxyFaults>,
    cut_token: watch::Receiver<CancellationToken>,
    stall_token: watch::Receiver<CancellationToken>,
    counters: Arc<Counters>,
}

impl Relay {
    /// Accepts connections until the proxy is dropped; closes the listener while connections are
    /// refused or get no reply.
    async fn accept(mut self, guard: PortGuard, listener: TcpListener) {
        let mut listener = Some(listener);
        loop {
            let ProxyFaults { is_refusing, is_unresponsive, .. } = *self.faults.borrow_and_update();
            if is_refusing || is_unresponsive {
                listener = None;
            } else if listener.is_none() {
                listener = Some(guard.listen().expect("the reserved port is free"));
            }
            let Some(open) = &listener else {
                let _full_queue = match is_unresponsive {
                    true => fill_queue(&guard).await.ok(),
                    false => None,
                };
                if self.faults.changed().await.is_err() {
                    return;
                }
                continue;
            };
            tokio::select! {
                accepted = open.accept() => {
                    let Ok((stream, _)) = accepted else { continue };
                    self.counters.connections.fetch_add(1, Ordering::Relaxed);
                    tokio::spawn(self.clone().connect(stream));
                }
                changed = self.faults.changed() => if changed.is_err() { return },
            }
        }
    }

    /// Relays one connection until it ends or is cut. A stalled connection stays open until it is
    /// cut.
    async fn connect(self, client: TcpStream) {
        let cut = self.cut_token.borrow().clone();
        let stalled = self.stall_token.borrow().clone();
        let relay = self.relay(client);
        tokio::pin!(relay);
        tokio::select! {
            () = cut.cancelled() => return,
            () = stalled.cancelled() => {}
            () = &mut relay => return,
        }
        // The relay is neither dropped nor polled here, so its connections stay open.
        cut.cancelled().await;
    }

    /// Connects to the target and copies data in both directions until both have ended.
    async fn relay(&self, mut client: TcpStream) {
        let Ok(mut target) = TcpStream::connect(self.target).await else { return };
        let _ = (client.set_nodelay(true), target.set_nodelay(true));
        reset_when_dropped(&client, true);
        reset_when_dropped(&target, true);
        // Borrowed halves: dropping an owned write half would send a FIN before the reset.
        let (client_reader, client_writer) = client.split();
        let (target_reader, target_writer) = target.split();
        // An error in one direction resets both. The end of one direction (a FIN) is passed on
        // alone, so that half-closed connections reach the other side as such.
        let copied = tokio::try_join!(
            self.copy_direction(Direction::Forward, client_reader, target_writer),
            self.copy_direction(Direction::Backward, target_reader, client_writer),
        );
        if copied.is_ok() {
            reset_when_dropped(&client, false);
            reset_when_dropped(&target, false);
        }
    }

    /// Copies one direction of a connection, with the faults that are active for each chunk.
    async fn copy_direction(
        &self,
        direction: Direction,
        mut reader: impl AsyncReadExt + Unpin,
        mut writer: impl AsyncWriteExt + Unpin,
    ) -> io::Result<()> {
        let mut faults = self.faults.clone();
        let mut buffer = vec![0; CHUNK_SIZE_BYTES];
        let mut passed_bytes = 0;
        loop {
            let length = reader.read(&mut buffer).await?;
            let unfrozen = faults.wait_for(|faults| !direction.faults_in(faults).is_frozen).await;
            let active_faults =
                unfrozen.map(|faults| direction.faults_in(&faults).clone()).unwrap_or_default();
            tokio::time::sleep(active_faults.delay).await;
            if length == 0 {
                return writer.shutdown().await;
            }
            if let Some(bytes_per_s) = active_faults.bytes_per_s {
                let seconds = length as f64 / bytes_per_s.max(1) as f64;
                tokio::time::sleep(Duration::from_secs_f64(seconds)).await;
            }
            let remaining_bytes = active_faults
                .cut_after_bytes
                .map_or(u64::MAX, |limit| limit - passed_bytes.min(limit));
            let passed_length = length.min(usize::try_from(remaining_bytes).unwrap_or(usize::MAX));
            writer.write_all(&buffer[..passed_length]).await?;
            passed_bytes += passed_length as u64;
            self.count(direction, passed_length as u64);
            if passed_length < length {
                return Err(io::Error::other("fault limit cut_after_bytes reached"));
            }
        }
    }

    /// Adds to the byte total of a direction.
    fn count(&self, direction: Direction, bytes: u64) {
        let counter = match direction {
            Direction::Forward => &self.counters.forward_bytes,
            Direction::Backward => &self.counters.backward_bytes,
        };
        counter.fetch_add(bytes, Ordering::Relaxed);
    }
}
