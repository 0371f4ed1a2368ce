//! Connections to upstreams: their use for one request at a time, their release, and their closing.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use teaselworks_policy::upstream::Incarnation;
use tokio::net::TcpStream;
use tokio::sync::oneshot;
use tokio::task::AbortHandle;

use super::body::OutgoingBody;
use super::write_gate::{GatedStream, WriteGate};

/// Maximum idle time of a connection whose upstream does not state an idle timeout.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(2);
/// Time before the end of the upstream's idle timeout from which a connection is no longer used.
/// Otherwise a request could be sent while the upstream closes the connection, and it would be
/// unknown whether the request was run.
const IDLE_TIMEOUT_MARGIN: Duration = Duration::from_secs(1);

/// A connection that carries no request.
#[derive(Debug)]
pub(super) struct IdleConnection {
    pub(super) incarnation: Incarnation,
    pub(super) stream: TcpStream,
    /// Time at which the connection became idle.
    pub(super) idle_since: Duration,
    /// Idle timeout of the upstream, if it states one.
    pub(super) keep_alive: Option<Duration>,
}

impl IdleConnection {
    /// Returns whether the connection has been idle so briefly that the upstream won't close it
    /// yet.
    pub(super) fn is_usable(&self, now: Duration) -> bool {
        let max_idle_time = match self.keep_alive {
            None => DEFAULT_IDLE_TIMEOUT,
            Some(timeout) if timeout >= 2 * IDLE_TIMEOUT_MARGIN => timeout - IDLE_TIMEOUT_MARGIN,
            Some(timeout) => timeout / 2,
        };
        now.saturating_sub(self.idle_since) < max_idle_time
    }
}

/// One connection to an upstream, which carries one request at a time.
pub(super) struct Connection {
    pub(super) sender: SendRequest<OutgoingBody>,
    /// Tells whether any byte of the request was written.
    pub(super) gate: Arc<WriteGate>,
    /// Idle timeout of the upstream, if it states one.
    keep_alive: Option<Duration>,
    handle: ConnectionHandle,
    /// Sends the task of the connection the message to release the stream; `None` once it was sent.
    release: Option<oneshot::Sender<ReleaseMessage>>,
}

/// Message that makes the task of a connection release its stream, with the values to keep for
/// the idle connection.
struct ReleaseMessage {
    idle_since: Duration,
    keep_alive: Option<Duration>,
}

impl Connection {
    /// Starts HTTP/1 on a stream. `on_released` gets the stream back when the connection is
    /// released.
    pub(super) async fn start(
        incarnation: &Incarnation,
        stream: TcpStream,
        keep_alive: Option<Duration>,
        active: &Arc<ActiveConnections>,
        on_released: impl FnOnce(IdleConnection) + Send + 'static,
    ) -> hyper::Result<Self> {
        let stream = GatedStream::new(stream);
        let gate = stream.gate();
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
        let (release, released) = oneshot::channel();
        let entry = ActiveEntry::new(active, &incarnation.id);
        let connection_id = entry.connection_id;
        let incarnation = incarnation.clone();
        let task_incarnation = incarnation.clone();
        let task = tokio::spawn(async move {
            // An error is also reported to the sender of the request, so it is ignored here.
            let Ok(parts) = connection.without_shutdown().await else { return };
            let Ok(ReleaseMessage { idle_since, keep_alive }) = released.await else { return };
            drop(entry);
            // Unread bytes belong to no request and would be taken for the next answer.
            if parts.read_buf.is_empty() {
                let stream = parts.io.into_inner().into_inner();
                on_released(IdleConnection {
                    incarnation: task_incarnation,
                    stream,
                    idle_since,
                    keep_alive,
                });
            }
        });
        let task = task.abort_handle();
        let handle =
            ConnectionHandle { incarnation, connection_id, task, was_aborted: Arc::default() };
        active.add(handle.clone());
        Ok(Self { sender, gate, keep_alive, handle, release: Some(release) })
    }

    /// Sets the idle timeout of the upstream. `None` keeps the previous one.
    pub(super) fn set_keep_alive(&mut self, keep_alive: Option<Duration>) {
        self.keep_alive = keep_alive.or(self.keep_alive);
    }

    /// Returns whether the router closed the connection because the upstream has restarted. The
    /// body of an answer then ends without an error, though the rest of it is missing.
    pub(super) fn was_aborted(&self) -> bool {
        self.handle.was_aborted.load(Ordering::Relaxed)
    }

    /// Releases the connection for another request once the answer is complete.
    ///
    /// Closes it instead if data is still being transferred, such as the rest of a request that was
    /// answered early.
    pub(super) fn release(mut self, now: Duration) {
        if !self.sender.is_ready() || self.sender.is_closed() {
            return;
        }
        let Some(release) = self.release.take() else { return };
        // The send fails if the connection has closed in the meantime; nothing is left to release.
        let _ = release.send(ReleaseMessage { idle_since: now, keep_alive: self.keep_alive });
    }
}

impl Drop for Connection {
    /// Closes the connection at once unless it was released, so that the upstream stops working for
    /// a caller that has left, and late bytes are not taken for the answer to another request.
    fn drop(&mut self) {
        if self.release.is_some() {
            self.handle.task.abort();
        }
    }
}

/// Handle to close a connection from another task.
#[derive(Clone, Debug)]
struct ConnectionHandle {
    incarnation: Incarnation,
    connection_id: u64,
    task: AbortHandle,
    /// Whether the connection was closed because the upstream has restarted.
    was_aborted: Arc<AtomicBool>,
}

/// Keeps a connection in the list of active ones until the task of the connection drops this value.
struct ActiveEntry {
    active: Arc<ActiveConnections>,
    upstream: Arc<str>,
    connection_id: u64,
}

impl ActiveEntry {
    fn new(active: &Arc<ActiveConnections>, upstream: &Arc<str>) -> Self {
        let connection_id = active.next_connection_id.fetch_add(1, Ordering::Relaxed);
        Self { active: active.clone(), upstream: upstream.clone(), connection_id }
    }
}

impl Drop for ActiveEntry {
    fn drop(&mut self) {
        let mut handles = self.active.lock();
        let Some(upstream_handles) = handles.get_mut(&self.upstream) else { return };
        upstream_handles.retain(|other| other.connection_id != self.connection_id);
        if upstream_handles.is_empty() {
            handles.remove(&self.upstream);
        }
    }
}

/// All connections that are in use, by the identifier of their upstream.
#[derive(Debug, Default)]
pub(super) struct ActiveConnections {
    next_connection_id: AtomicU64,
    handles: Mutex<HashMap<Arc<str>, Vec<ConnectionHandle>>>,
}

impl ActiveConnections {
    fn add(&self, handle: ConnectionHandle) {
        self.lock().entry(handle.incarnation.id.clone()).or_default().push(handle);
    }

    /// Closes the connections to all incarnations of the upstream other than `incarnation`.
    pub(super) fn close_other_incarnations(&self, incarnation: &Incarnation) {
        for handle in self.lock().get(&incarnation.id).into_iter().flatten() {
            if handle.incarnation == *incarnation {
                continue;
            }
            handle.was_aborted.store(true, Ordering::Relaxed);
            handle.task.abort();
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<Arc<str>, Vec<ConnectionHandle>>> {
        self.handles.lock().expect("active connections lock is never poisoned")
    }
}
