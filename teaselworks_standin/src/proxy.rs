//! TCP proxy on loopback whose faults are switched while connections run.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use crate::port::PortGuard;

/// Most bytes passed on at once.
const CHUNK_SIZE_BYTES: usize = 16 << 10;

/// Faults of one direction, all off by default.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DirectionFaults {
    /// Bytes wait and nothing is passed on, while connections stay open.
    pub is_frozen: bool,
    /// Time that each piece is held back.
    pub delay: Duration,
    /// Highest rate in bytes a second.
    pub bytes_per_s: Option<u64>,
    /// Bytes after which a connection is cut, counted for each connection.
    pub cut_after_bytes: Option<u64>,
}

/// Faults of a proxy, all off by default.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ProxyFaults {
    /// New connections are refused.
    pub is_refusing: bool,
    /// From the connecting side to the target.
    pub forward: DirectionFaults,
    /// From the target to the connecting side.
    pub backward: DirectionFaults,
}

#[derive(Clone, Copy)]
enum Direction {
    Forward,
    Backward,
}

impl Direction {
    fn of(self, faults: &ProxyFaults) -> &DirectionFaults {
        match self {
            Direction::Forward => &faults.forward,
            Direction::Backward => &faults.backward,
        }
    }
}

#[derive(Default)]
struct Counters {
    connections: AtomicU64,
    forward_bytes: AtomicU64,
    backward_bytes: AtomicU64,
}

/// Running proxy in front of one address.
pub struct Proxy {
    address: SocketAddr,
    faults: watch::Sender<ProxyFaults>,
    cuts: watch::Sender<CancellationToken>,
    stalls: watch::Sender<CancellationToken>,
    counters: Arc<Counters>,
    stop: CancellationToken,
}

impl Proxy {
    /// Starts a proxy that passes everything on to `target`.
    pub fn start(target: SocketAddr) -> io::Result<Self> {
        let guard = PortGuard::reserve()?;
        let address = guard.address();
        let listener = guard.listen()?;
        let (faults, fault_reader) = watch::channel(ProxyFaults::default());
        let (cuts, cut_reader) = watch::channel(CancellationToken::new());
        let (stalls, stall_reader) = watch::channel(CancellationToken::new());
        let counters = Arc::new(Counters::default());
        let stop = CancellationToken::new();
        let relay = Relay {
            target,
            faults: fault_reader,
            cuts: cut_reader,
            stalls: stall_reader,
            counters: counters.clone(),
        };
        let stopped = stop.clone();
        tokio::spawn(async move {
            tokio::select! {
                () = relay.accept(guard, listener) => {}
                () = stopped.cancelled() => {}
            }
        });
        Ok(Self { address, faults, cuts, stalls, counters, stop })
    }

    /// Returns the address to connect to.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes the faults, for open connections too.
    pub fn set_faults(&self, change: impl FnOnce(&mut ProxyFaults)) {
        self.faults.send_modify(change);
    }

    /// Freezes both directions or lets them go on; new connections open but carry nothing.
    pub fn set_frozen(&self, frozen: bool) {
        self.set_faults(|faults| {
            faults.forward.is_frozen = frozen;
            faults.backward.is_frozen = frozen;
        });
    }

    /// Cuts every open connection.
    pub fn cut(&self) {
        self.cuts.send_replace(CancellationToken::new()).cancel();
    }

    /// Stalls every open connection: it stays open and carries nothing any more, as when a
    /// middlebox has forgotten it; new connections work.
    pub fn stall(&self) {
        self.stalls.send_replace(CancellationToken::new()).cancel();
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

#[derive(Clone)]
struct Relay {
    target: SocketAddr,
    faults: watch::Receiver<ProxyFaults>,
    cuts: watch::Receiver<CancellationToken>,
    stalls: watch::Receiver<CancellationToken>,
    counters: Arc<Counters>,
}

impl Relay {
    async fn accept(mut self, guard: PortGuard, listener: TcpListener) {
        let mut listener = Some(listener);
        loop {
            let refuse = self.faults.borrow_and_update().is_refusing;
            if refuse {
                listener = None;
            } else if listener.is_none() {
                listener = Some(guard.listen().expect("the port is kept"));
            }
            let Some(open) = &listener else {
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

    async fn connect(self, near: TcpStream) {
        let cut = self.cuts.borrow().clone();
        let stalled = self.stalls.borrow().clone();
        let relay = self.relay(near);
        tokio::pin!(relay);
        tokio::select! {
            () = cut.cancelled() => return,
            () = stalled.cancelled() => {}
            () = &mut relay => return,
        }
        // The relay is kept and not polled: its connections stay open.
        cut.cancelled().await;
    }

    async fn relay(&self, near: TcpStream) {
        let Ok(far) = TcpStream::connect(self.target).await else { return };
        let _ = (near.set_nodelay(true), far.set_nodelay(true));
        let (near_reader, near_writer) = near.into_split();
        let (far_reader, far_writer) = far.into_split();
        // An error in one direction ends both; a plain end of one direction is passed on alone,
        // so that half-closed connections reach the target as such.
        let _ = tokio::try_join!(
            self.copy(Direction::Forward, near_reader, far_writer),
            self.copy(Direction::Backward, far_reader, near_writer),
        );
    }

    async fn copy(
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
            let thawed = faults.wait_for(|faults| !direction.of(faults).is_frozen).await;
            let current = thawed.map(|faults| direction.of(&faults).clone()).unwrap_or_default();
            tokio::time::sleep(current.delay).await;
            if length == 0 {
                return writer.shutdown().await;
            }
            if let Some(bytes_per_s) = current.bytes_per_s {
                let seconds = length as f64 / bytes_per_s.max(1) as f64;
                tokio::time::sleep(Duration::from_secs_f64(seconds)).await;
            }
            let left =
                current.cut_after_bytes.map_or(u64::MAX, |most| most - passed_bytes.min(most));
            let passed = length.min(usize::try_from(left).unwrap_or(usize::MAX));
            writer.write_all(&buffer[..passed]).await?;
            passed_bytes += passed as u64;
            self.count(direction, passed as u64);
            if passed < length {
                return Err(io::Error::other("cut on purpose"));
            }
        }
    }

    fn count(&self, direction: Direction, bytes: u64) {
        let counter = match direction {
            Direction::Forward => &self.counters.forward_bytes,
            Direction::Backward => &self.counters.backward_bytes,
        };
        counter.fetch_add(bytes, Ordering::Relaxed);
    }
}
