//! One connection to an upstream while it carries a request.

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

/// Longest idle time of a connection whose upstream does not say how long it keeps it.
const UNSTATED_IDLE: Duration = Duration::from_secs(2);
/// Time before the end of an upstream's stated timeout from which a connection is not used any
/// more: the request would cross the close on its way and might have run.
const IDLE_MARGIN: Duration = Duration::from_secs(1);

/// A connection that carries nothing.
#[derive(Debug)]
pub(super) struct Released {
    pub(super) incarnation: Incarnation,
    pub(super) stream: TcpStream,
    pub(super) since: Duration,
    /// How long the upstream keeps it open, where it says so.
    pub(super) keep_alive: Option<Duration>,
}

impl Released {
    /// Tells whether the upstream surely still reads what is sent now.
    pub(super) fn is_fresh(&self, now: Duration) -> bool {
        let longest = match self.keep_alive {
            None => UNSTATED_IDLE,
            Some(timeout) if timeout >= 2 * IDLE_MARGIN => timeout - IDLE_MARGIN,
            Some(timeout) => timeout / 2,
        };
        now.saturating_sub(self.since) < longest
    }
}

/// One connection to an upstream, which carries one request at a time.
pub(super) struct Connection {
    pub(super) sender: SendRequest<OutgoingBody>,
    keep_alive: Option<Duration>,
    handle: Handle,
    /// Releases the connection: tells its task what is to be kept with the stream.
    release: Option<oneshot::Sender<Release>>,
}

/// What a connection tells its task when it is released.
struct Release {
    since: Duration,
    keep_alive: Option<Duration>,
}

impl Connection {
    /// Starts HTTP on a stream; `on_released` takes the stream back once it is released.
    pub(super) async fn start(
        incarnation: &Incarnation,
        stream: TcpStream,
        keep_alive: Option<Duration>,
        open: &Arc<OpenConnections>,
        on_released: impl FnOnce(Released) + Send + 'static,
    ) -> hyper::Result<Self> {
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
        let (release, released) = oneshot::channel();
        let entry = Entry::new(open, &incarnation.id);
        let number = entry.number;
        let incarnation = incarnation.clone();
        let of_task = incarnation.clone();
        let task = tokio::spawn(async move {
            // Where it fails, its end shows in the sender.
            let Ok(parts) = connection.without_shutdown().await else { return };
            let Ok(Release { since, keep_alive }) = released.await else { return };
            drop(entry);
            // Bytes that nobody asked for would be taken for the next answer.
            if parts.read_buf.is_empty() {
                let stream = parts.io.into_inner();
                on_released(Released { incarnation: of_task, stream, since, keep_alive });
            }
        });
        let task = task.abort_handle();
        let handle = Handle { incarnation, number, task, was_cut: Arc::default() };
        open.add(handle.clone());
        Ok(Self { sender, keep_alive, handle, release: Some(release) })
    }

    /// Notes how long the upstream keeps the connection open while it is idle.
    pub(super) fn set_keep_alive(&mut self, keep_alive: Option<Duration>) {
        self.keep_alive = keep_alive.or(self.keep_alive);
    }

    /// Tells whether the connection was closed since its upstream started again: what has not
    /// arrived never will, though the body ends as if it were whole.
    pub(super) fn was_cut(&self) -> bool {
        self.handle.was_cut.load(Ordering::Relaxed)
    }

    /// Gives the stream back once its answer is whole.
    ///
    /// One on which something is still under way, as the rest of a request that was answered early,
    /// is closed.
    pub(super) fn release(mut self, now: Duration) {
        if !self.sender.is_ready() || self.sender.is_closed() {
            return;
        }
        let Some(release) = self.release.take() else { return };
        // Nobody waits where the connection has ended meanwhile.
        let _ = release.send(Release { since: now, keep_alive: self.keep_alive });
    }
}

impl Drop for Connection {
    /// Closes the connection at once, so that the upstream works no longer for a caller that has
    /// left, and late bytes are not taken for the answer to another request.
    fn drop(&mut self) {
        if self.release.is_some() {
            self.handle.task.abort();
        }
    }
}

/// Ends a connection from elsewhere.
#[derive(Clone, Debug)]
struct Handle {
    incarnation: Incarnation,
    number: u64,
    task: AbortHandle,
    was_cut: Arc<AtomicBool>,
}

/// The place of a connection among the open ones, which ends with its task.
struct Entry {
    open: Arc<OpenConnections>,
    upstream: Arc<str>,
    number: u64,
}

impl Entry {
    fn new(open: &Arc<OpenConnections>, upstream: &Arc<str>) -> Self {
        let number = open.last_number.fetch_add(1, Ordering::Relaxed);
        Self { open: open.clone(), upstream: upstream.clone(), number }
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        let mut handles = self.open.lock();
        let Some(open) = handles.get_mut(&self.upstream) else { return };
        open.retain(|other| other.number != self.number);
        if open.is_empty() {
            handles.remove(&self.upstream);
        }
    }
}

/// Every connection in use, by the identifier of its upstream.
#[derive(Debug, Default)]
pub(super) struct OpenConnections {
    last_number: AtomicU64,
    handles: Mutex<HashMap<Arc<str>, Vec<Handle>>>,
}

impl OpenConnections {
    fn add(&self, handle: Handle) {
        self.lock().entry(handle.incarnation.id.clone()).or_default().push(handle);
    }

    /// Ends the connections to other starts of an upstream than this one.
    pub(super) fn cut_others(&self, incarnation: &Incarnation) {
        for handle in self.lock().get(&incarnation.id).into_iter().flatten() {
            if handle.incarnation == *incarnation {
                continue;
            }
            handle.was_cut.store(true, Ordering::Relaxed);
            handle.task.abort();
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<Arc<str>, Vec<Handle>>> {
        self.handles.lock().expect("the lock is never poisoned")
    }
}
