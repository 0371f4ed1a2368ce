//! Serves the HTTP requests on one connection of a caller, and closes it when it times out or the
//! router drains.

use std::convert::Infallible;
use std::future::poll_fn;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Request, Response, Version, header};
use hyper::body::{Body, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use teaselworks_policy::configuration::RequestLimits;
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep};

use super::Shared;
use super::body::GuardedBody;
use super::io::{Activity, CallerStream};
use super::open_connections::ConnectionCounter;
use super::origin::Origin;
use super::serve::serve;
use crate::kernel::ShutdownPhase;
use crate::net::YieldingStream;

/// Minimum interval between checks of a connection for an expired timeout.
const MIN_TIMEOUT_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Smallest read buffer that hyper accepts. A request head must fit into the read buffer.
const HEAD_BUFFER_MIN_BYTES: usize = 8 << 10;

/// Marks a request as in progress on its connection until its answer is sent or dropped.
struct RequestGuard {
    shared: Arc<Shared>,
    activity: Arc<Activity>,
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.activity.end_request(self.shared.now());
    }
}

/// State of a connection when hyper stops serving it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ConnectionState {
    /// The last answer was sent and the connection waits for the next request.
    Idle,
    /// The caller or the router closed the connection.
    Closed,
}

/// A connection on which no request is in progress.
struct IdleCallerConnection {
    stream: TcpStream,
    /// Bytes of the next request that were already read.
    unread: Bytes,
}

/// Serves the requests of one connection of a caller, one after the other.
pub(super) struct CallerConnection {
    shared: Arc<Shared>,
    activity: Arc<Activity>,
    counter: ConnectionCounter,
    /// No further request is accepted after the one in progress.
    is_closing: bool,
}

impl CallerConnection {
    pub(super) fn new(shared: Arc<Shared>, counter: ConnectionCounter) -> Self {
        let activity = Arc::new(Activity::new(shared.now()));
        // A connection that is accepted while the router drains still serves its first request:
        // with `is_closing` set already, the drain does not close it before that request is read.
        let is_closing = shared.shutdown.phase() >= ShutdownPhase::Draining;
        Self { shared, activity, counter, is_closing }
    }

    /// Serves requests until the caller or the router closes the connection.
    ///
    /// While no request is in progress, only the socket is kept and hyper's connection state is
    /// dropped: most connections are idle at any time, and hyper's buffers for them would take far
    /// more memory than everything else in the router.
    ///
    /// # Errors
    ///
    /// Fails if hyper reports an error, for example a malformed head or a caller that
    /// disconnects during a request.
    pub(super) async fn run(mut self, stream: TcpStream) -> io::Result<()> {
        let mut idle = IdleCallerConnection { stream, unread: Bytes::new() };
        while !idle.unread.is_empty() || self.has_next_request(&idle.stream).await {
            // Boxed, since the memory of the inner future would otherwise be part of this one and
            // stay allocated while the connection is idle.
            let Some(next) = Box::pin(self.serve_requests(idle)).await? else { break };
            idle = next;
        }
        Ok(())
    }

    /// Waits for bytes of the next request. Returns false if the connection is to be closed
    /// instead: its timeout expired, the router drains, or the socket failed.
    async fn has_next_request(&self, stream: &TcpStream) -> bool {
        loop {
            let limits = request_limits(&self.shared);
            let timeout_at = self.activity.timeout_at(limits.idle_timeout, limits.header_timeout);
            let time_left = timeout_at.unwrap_or_default().saturating_sub(self.shared.now());
            if time_left.is_zero() {
                return false;
            }
            tokio::select! {
                biased;
                readable = stream.readable() => return readable.is_ok(),
                () = self.shared.shutdown.reached(ShutdownPhase::Draining), if !self.is_closing => {
                    return false;
                }
                () = sleep(time_left) => {}
            }
        }
    }

    /// Serves the next request and any that directly follow it.
    ///
    /// Returns the connection once it is idle, and `None` once it is closed.
    async fn serve_requests(
        &mut self,
        idle: IdleCallerConnection,
    ) -> io::Result<Option<IdleCallerConnection>> {
        let limits = request_limits(&self.shared);
        let IdleCallerConnection { stream, unread } = idle;
        let (shared, activity) = (self.shared.clone(), self.activity.clone());
        // Cleared until a request has arrived, since the connection would otherwise count as idle
        // before hyper has read the request.
        activity.set_reusable(false);
        let clock = shared.clock.clone();
        let stream = YieldingStream::new(stream);
        let io = CallerStream { unread, stream, activity: activity.clone(), clock };
        let counter = self.counter.clone();
        let service = service_fn(|request: Request<Incoming>| {
            // Boxed, since hyper reserves space for the future also while it sends the answer.
            Box::pin(answer_request(shared.clone(), activity.clone(), counter.clone(), request))
        });
        let mut connection = http1::Builder::new()
            .half_close(false)
            .max_buf_size(limits.header_size_bytes.max(HEAD_BUFFER_MIN_BYTES))
            .serve_connection(TokioIo::new(io), service);
        let mut timeout_check = std::pin::pin!(sleep(limits.header_timeout));
        loop {
            let is_closing = self.is_closing;
            let state = poll_fn(|context| match Pin::new(&mut connection).poll(context) {
                Poll::Ready(result) => Poll::Ready(result.map(|()| ConnectionState::Closed)),
                Poll::Pending if !is_closing && activity.is_between_requests() => {
                    Poll::Ready(Ok(ConnectionState::Idle))
                }
                Poll::Pending => Poll::Pending,
            });
            tokio::select! {
                state = state => {
                    let state = match state {
                        Ok(state) => state,
                        Err(error) => {
                            if activity.is_close_delimited() {
                                // Closing it would look like the end of the answer.
                                let io = connection.into_parts().io.into_inner();
                                let _ = io.stream.into_inner().set_zero_linger();
                            }
                            return Err(io::Error::other(error));
                        }
                    };
                    if state == ConnectionState::Closed {
                        return Ok(None);
                    }
                    let parts = connection.into_parts();
                    let stream = parts.io.into_inner().stream.into_inner();
                    // Copied, since even an empty slice would keep the whole read buffer alive.
                    let unread = Bytes::copy_from_slice(&parts.read_buf);
                    return Ok(Some(IdleCallerConnection { stream, unread }));
                }
                () = self.shared.shutdown.reached(ShutdownPhase::Draining), if !self.is_closing => {
                    self.is_closing = true;
                    Pin::new(&mut connection).graceful_shutdown();
                }
                () = timeout_check.as_mut() => {}
            }
            let limits = self::request_limits(&self.shared);
            let now = self.shared.now();
            let timeout_at = activity.timeout_at(limits.idle_timeout, limits.header_timeout);
            if timeout_at.is_some_and(|timeout_at| timeout_at <= now) {
                if activity.has_partial_head() {
                    return Ok(None);
                }
                self.is_closing = true;
                Pin::new(&mut connection).graceful_shutdown();
            }
            let check_after =
                timeout_at.map_or(limits.idle_timeout, |timeout_at| timeout_at.saturating_sub(now));
            let check_after =
                check_after.max(MIN_TIMEOUT_CHECK_INTERVAL).min(limits.header_timeout);
            timeout_check.as_mut().reset(Instant::now() + check_after);
        }
    }
}

/// Answers one request and sets whether the connection can be reused after it.
async fn answer_request(
    shared: Arc<Shared>,
    activity: Arc<Activity>,
    counter: ConnectionCounter,
    request: Request<Incoming>,
) -> Result<Response<GuardedBody<RequestGuard>>, Infallible> {
    counter.count_connection();
    let has_no_body = request.body().is_end_stream();
    let is_last_request =
        request.version() != Version::HTTP_11 || requests_close(request.headers());
    activity.start_request(has_no_body);
    activity.set_close_delimited(request.version() == Version::HTTP_10);
    let guard = RequestGuard { shared: shared.clone(), activity: activity.clone() };
    let mut response = serve(shared.clone(), request, &activity, Origin::Caller).await;
    // A stopping router closes the connection after each answer, so that callers send their next
    // request to another router. While many connections are open, none stays open idle.
    let is_stopping = shared.shutdown.phase() > ShutdownPhase::Running;
    let must_close = is_stopping || counter.is_above_half_limit();
    if must_close {
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    if must_close || is_last_request {
        activity.set_reusable(false);
    }
    Ok(response.map(|body| GuardedBody::new(body, guard)))
}

/// Returns whether the `Connection` header contains the option `close`.
fn requests_close(headers: &HeaderMap) -> bool {
    let values = headers.get_all(header::CONNECTION).iter().filter_map(|value| value.to_str().ok());
    let mut options = values.flat_map(|value| value.split(','));
    options.any(|option| option.trim().eq_ignore_ascii_case("close"))
}

/// Returns the request limits of the current configuration, or the defaults before one is known.
fn request_limits(shared: &Shared) -> RequestLimits {
    shared.fleet().configuration().map(|configuration| configuration.limits).unwrap_or_default()
}
