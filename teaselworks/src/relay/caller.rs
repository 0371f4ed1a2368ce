//! The port that callers connect to.

use std::convert::Infallible;
use std::io;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use http::{HeaderValue, Request, header};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use teaselworks_policy::configuration::RequestLimits;
use tokio::net::{TcpListener, TcpStream};

use super::Shared;
use super::body::Guarded;
use super::io::{Activity, CallerStream};
use super::serve::serve;
use crate::kernel::ShutdownPhase;
use crate::net;

/// Part of the descriptors that callers' connections may take; the rest is for upstreams, the store,
/// other routers and files.
const CALLERS_SHARE: f64 = 0.75;
/// Time between looks for room where callers hold all that they may.
const ROOM_LOOK_INTERVAL: Duration = Duration::from_millis(50);
/// Shortest time between looks at a connection that is idle.
const SHORTEST_LOOK: Duration = Duration::from_millis(50);
/// Smallest buffer that the HTTP library allows for a head.
const HEAD_BUFFER_MIN_BYTES: usize = 8 << 10;

/// Number of open connections.
#[derive(Clone, Debug, Default)]
pub struct OpenConnections(Arc<AtomicUsize>);

impl OpenConnections {
    /// Returns the number.
    pub fn count(&self) -> usize {
        self.0.load(Ordering::Relaxed)
    }

    fn add(&self) -> OpenConnection {
        self.0.fetch_add(1, Ordering::Relaxed);
        OpenConnection(self.0.clone())
    }
}

struct OpenConnection(Arc<AtomicUsize>);

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// The place of one connection in the number of open ones, once it has any.
#[derive(Clone)]
struct Counted {
    open: OpenConnections,
    most: usize,
    place: Arc<Mutex<Option<OpenConnection>>>,
}

impl Counted {
    fn new(open: &OpenConnections, most: usize) -> Self {
        Self { open: open.clone(), most, place: Arc::default() }
    }

    /// Tells whether callers hold so many connections that none should stay open idle: those that
    /// wait to be accepted would be read after their callers have left.
    fn is_scarce(&self) -> bool {
        self.open.count() * 2 > self.most
    }

    fn begin(&self) {
        let mut place = self.place.lock().expect("the lock is never poisoned");
        place.get_or_insert_with(|| self.open.add());
    }
}

/// The port that callers connect to.
pub struct CallerPort {
    shared: Arc<Shared>,
    open: OpenConnections,
    most: usize,
}

impl CallerPort {
    /// Makes the port of a process that may have so many descriptors.
    ///
    /// Callers' connections leave descriptors for those to upstreams.
    pub fn new(shared: Arc<Shared>, file_descriptors: u32) -> Self {
        let most = f64::from(file_descriptors) * CALLERS_SHARE;
        Self { shared, open: OpenConnections::default(), most: most as usize }
    }

    /// Returns the count of open connections.
    pub fn connections(&self) -> OpenConnections {
        self.open.clone()
    }

    /// Serves connections until the process ends.
    pub async fn run(self, listener: TcpListener) {
        loop {
            while self.open.count() >= self.most {
                tokio::time::sleep(ROOM_LOOK_INTERVAL).await;
            }
            let stream = net::accept(&listener).await;
            let shared = self.shared.clone();
            let count = Counted::new(&self.open, self.most);
            // One that comes while the router finishes is not waited for until it asks something.
            if shared.shutdown.phase() < ShutdownPhase::Draining {
                count.begin();
            }
            tokio::spawn(async move {
                // A caller that breaks off is told of in the line of its request.
                let _ = serve_connection(shared, stream, count).await;
            });
        }
    }
}

/// Marks a connection as busy until the answer is whole.
struct InRequest {
    shared: Arc<Shared>,
    activity: Arc<Activity>,
}

impl InRequest {
    fn begin(shared: &Arc<Shared>, activity: Arc<Activity>) -> Self {
        activity.begin();
        Self { shared: shared.clone(), activity }
    }
}

impl Drop for InRequest {
    fn drop(&mut self) {
        self.activity.end(self.shared.now());
    }
}

async fn serve_connection(
    shared: Arc<Shared>,
    stream: TcpStream,
    count: Counted,
) -> io::Result<()> {
    let limits = limits(&shared);
    let activity = Arc::new(Activity::new(shared.now()));
    let io = CallerStream { stream, activity: activity.clone(), clock: shared.clock.clone() };
    let service = service_fn(|request: Request<Incoming>| {
        let shared = shared.clone();
        let activity = activity.clone();
        let count = count.clone();
        async move {
            count.begin();
            let guard = InRequest::begin(&shared, activity);
            let mut response = serve(shared.clone(), request).await;
            // Told in each answer of a router that stops, so that callers come back elsewhere.
            let is_stopping = shared.shutdown.phase() > ShutdownPhase::Running;
            if is_stopping || count.is_scarce() {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(header::CONNECTION, close);
            }
            Ok::<_, Infallible>(response.map(|body| Guarded { body, _guard: guard }))
        }
    });
    let connection = http1::Builder::new()
        .half_close(false)
        .max_buf_size(limits.header_size_bytes.max(HEAD_BUFFER_MIN_BYTES))
        .serve_connection(TokioIo::new(io), service);
    let mut connection = std::pin::pin!(connection);
    let mut check = std::pin::pin!(tokio::time::sleep(limits.header_timeout));
    // A late connection would be closed before its request is read.
    let mut is_closing = shared.shutdown.phase() >= ShutdownPhase::Draining;
    loop {
        tokio::select! {
            result = connection.as_mut() => return result.map_err(io::Error::other),
            () = shared.shutdown.reached(ShutdownPhase::Draining), if !is_closing => {
                is_closing = true;
                connection.as_mut().graceful_shutdown();
            }
            () = check.as_mut() => {}
        }
        let limits = self::limits(&shared);
        let now = shared.now();
        let due = activity.due(limits.idle_timeout, limits.header_timeout);
        if due.is_some_and(|due| due <= now) {
            if activity.has_partial_head() {
                return Ok(());
            }
            is_closing = true;
            connection.as_mut().graceful_shutdown();
        }
        let pause = due.map_or(limits.idle_timeout, |due| due.saturating_sub(now));
        let pause = pause.max(SHORTEST_LOOK).min(limits.header_timeout);
        check.as_mut().reset(tokio::time::Instant::now() + pause);
    }
}

fn limits(shared: &Shared) -> RequestLimits {
    shared.fleet().configuration().map(|configuration| configuration.limits).unwrap_or_default()
}
