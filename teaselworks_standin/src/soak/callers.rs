//! Callers that send requests over persistent connections, and probes that find out which
//! configuration each router uses.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

use super::bounds::{CRASHING_PREFIX, LONG_STREAM_TOKENS, REPEATED_PREFIX};
use super::broken_answers::{falsify_outcome, upload};
use super::bug::Bug;
use super::content::{call_content, event_count, falsify_events, parse_events};
use super::fleet::{SoakFleet, version_route_prefix};
use super::record::{
    Outcome, Recorder, RequestKind, RequestRecord, Resumption, Traffic, VersionProbe,
};
use super::replica::{CRASHING_BODY, body_for};
use super::violation::Violation;
use crate::caller::{Call, Connection, Reply};
use crate::configuration::{API_KEY, HOST};

/// Deadline that callers send with a request.
const REQUEST_DEADLINE: Duration = Duration::from_millis(3_000);
/// How long after its deadline a response may still arrive.
const RESPONSE_GRACE: Duration = Duration::from_millis(1_000);
/// Longest pause of a caller between two requests.
const MAX_REQUEST_PAUSE_MS: u64 = 60;
/// One request in this many is abandoned by its caller soon after it was sent.
const ABANDON_ONE_IN: u32 = 25;
/// One resumable stream in this many is left by its caller after an event, to be resumed elsewhere.
const INTERRUPT_ONE_IN: u32 = 4;
/// One streaming request in this many is identical to others, but for its identifier.
const IDENTICAL_ONE_IN: u32 = 8;
/// One request that resumes a stream in this many names the stream.
const NAMED_ONE_IN: u32 = 6;
/// One stream in this many is resumed only some time after it broke off, at most
/// [`MAX_RESUMPTION_PAUSE_MS`].
const RESUMED_LATE_ONE_IN: u32 = 4;
const MAX_RESUMPTION_PAUSE_MS: u64 = 1_500;
/// Limit on the requests by which a caller resumes one stream.
const MAX_RESUMPTIONS: u32 = 3;
/// Time between two requests with a part that crashes replicas.
const CRASHING_INTERVAL: Duration = Duration::from_millis(120);
/// Time between two requests for long streams.
const LONG_STREAM_INTERVAL: Duration = Duration::from_millis(150);
/// Beginning of the identifiers of requests for long streams.
const LONG_PREFIX: &str = "long";
/// Deadline that callers send with a request for a long stream.
const LONG_DEADLINE: Duration = Duration::from_secs(12);
/// Time before its deadline from which a request may end without an answer.
const DEADLINE_MARGIN: Duration = Duration::from_millis(100);
/// Pause between two probes for the newest configuration, and before a caller connects again after
/// a failed attempt.
const PROBE_INTERVAL: Duration = Duration::from_millis(100);
/// Requests of each kind that every router must answer after all faults have ended.
const RECOVERY_REQUESTS_PER_KIND: usize = 5;

/// The tasks of all callers and probes.
pub(super) struct Callers {
    stop: CancellationToken,
    tasks: Vec<JoinHandle<()>>,
}

impl Callers {
    /// Stops the callers and probes, and waits until their last requests have ended.
    pub(super) async fn stop(self) {
        self.stop.cancel();
        for task in self.tasks {
            let _ = task.await;
        }
    }
}

/// State of one caller or probe.
#[derive(Clone)]
struct Caller {
    number: usize,
    /// Addresses of the routers for callers.
    routers: Vec<SocketAddr>,
    restart_counts: Vec<Arc<AtomicU64>>,
    newest_version: Arc<AtomicU64>,
    recorder: Arc<Recorder>,
    random: Pcg32,
    request_count: u32,
}

/// What a request asks for: requests with the same content are identical but for their identifier.
#[derive(Clone, Copy)]
struct Content {
    /// Chat to which the request belongs.
    chat: u32,
    /// What no request with another content has in its body, its last part of the prompt, or both.
    own: u32,
}

/// Starts callers that send requests of every kind, and one configuration probe for each router.
pub(super) fn start(
    fleet: &SoakFleet,
    recorder: &Arc<Recorder>,
    callers: usize,
    seed: u64,
) -> Callers {
    let stop = CancellationToken::new();
    let caller = |number: usize| Caller {
        number,
        routers: fleet.routers.iter().map(|router| router.process.callers_address()).collect(),
        restart_counts: fleet.routers.iter().map(|router| router.restart_count.clone()).collect(),
        newest_version: fleet.newest_version.clone(),
        recorder: recorder.clone(),
        random: Pcg32::seed_from_u64(seed + number as u64 + 1),
        request_count: 0,
    };
    let mut tasks = Vec::new();
    for number in 0..callers {
        tasks.push(tokio::spawn(caller(number).send_requests(stop.clone())));
    }
    let number = callers + fleet.routers.len();
    tasks.push(tokio::spawn(caller(number).send_crashing_requests(stop.clone())));
    tasks.push(tokio::spawn(caller(number + 1).send_long_streams(stop.clone())));
    for router in 0..fleet.routers.len() {
        tasks.push(tokio::spawn(caller(callers + router).probe_versions(router, stop.clone())));
    }
    Callers { stop, tasks }
}

impl Caller {
    /// Sends requests to random routers until the soak ends, several over each connection.
    async fn send_requests(mut self, stop: CancellationToken) {
        while !stop.is_cancelled() {
            let funnel = self.recorder.traffic().funnel.filter(|_| self.random.random_ratio(9, 10));
            let chosen = self.random.random_range(0..self.routers.len());
            let router = funnel.unwrap_or(chosen);
            let Ok(mut connection) = Connection::open(self.routers[router]).await else {
                tokio::time::sleep(PROBE_INTERVAL).await;
                continue;
            };
            // Callers also open new connections more often then.
            let most_requests = if funnel.is_some() { 3 } else { 40 };
            let max_requests = self.random.random_range(1..most_requests);
            for _ in 0..max_requests {
                if stop.is_cancelled() {
                    break;
                }
                let Some(kept) = self.send_request(connection, router).await else { break };
                connection = kept;
                let pause_ms = self.random.random_range(0..MAX_REQUEST_PAUSE_MS);
                tokio::time::sleep(Duration::from_millis(pause_ms)).await;
            }
        }
    }

    /// Sends one request, takes up its stream at other routers while it breaks off, and records how
    /// that ended. Returns the connection if it can be used for another request.
    async fn send_request(
        &mut self,
        mut connection: Connection,
        router: usize,
    ) -> Option<Connection> {
        let kind = RequestKind::ALL[self.random.random_range(0..RequestKind::ALL.len())];
        let content = self.draw_content();
        let mut request = self.send(&mut connection, router, kind, content, None).await;
        let is_reusable = matches!(request.outcome, Outcome::Response { is_whole: true, .. });
        // The caller closes the connection before it takes up the stream.
        let connection = is_reusable.then_some(connection);
        for _ in 0..MAX_RESUMPTIONS {
            let resumption = self.resumption(&request);
            self.recorder.record_request(request);
            let Some(resumes) = resumption else { return connection };
            if self.random.random_range(0..RESUMED_LATE_ONE_IN) == 0 {
                let pause_ms = self.random.random_range(0..MAX_RESUMPTION_PAUSE_MS);
                tokio::time::sleep(Duration::from_millis(pause_ms)).await;
            }
            let router = self.random.random_range(0..self.routers.len());
            let Ok(mut next) = Connection::open(self.routers[router]).await else { return None };
            request = self.send(&mut next, router, kind, content, Some(resumes)).await;
        }
        self.recorder.record_request(request);
        connection
    }

    /// Sends a request and returns how it ended.
    async fn send(
        &mut self,
        connection: &mut Connection,
        router: usize,
        kind: RequestKind,
        content: Content,
        resumes: Option<Resumption>,
    ) -> RequestRecord {
        let id = self.next_id();
        let mut call = build_call(kind, &id, content);
        if let Some(resumes) = &resumes {
            call = call.with_header("Last-Event-Id", &resumes.last_event.to_string());
            if resumes.is_named {
                call = call.with_header("Resumes", &resumes.stream);
            }
        }
        let is_abandoned = self.random.random_range(0..ABANDON_ONE_IN) == 0;
        let timeout =
            if is_abandoned { REQUEST_DEADLINE / 30 } else { REQUEST_DEADLINE + RESPONSE_GRACE };
        let is_interrupted = kind == RequestKind::ResumableChat
            && self.random.random_range(0..INTERRUPT_ONE_IN) == 0;
        let sent_at = self.recorder.now();
        let reply = async {
            match is_interrupted {
                true => connection.call_for_events(&call, 1).await,
                false => connection.call(&call).await,
            }
        };
        let outcome = match tokio::time::timeout(timeout, reply).await {
            Err(_) => Outcome::Abandoned,
            Ok(Ok(None) | Err(_)) => Outcome::NoResponse,
            Ok(Ok(Some(reply))) => self.evaluate(&reply, kind, &id, resumes.as_ref()),
        };
        let outcome = falsify_outcome(self.recorder.simulated_bug, kind, &id, &call, outcome);
        RequestRecord {
            id,
            kind,
            content: call_content(&call),
            router,
            sent_at,
            ended_at: self.recorder.now(),
            outcome,
            resumes,
            is_interrupted,
        }
    }

    /// Returns how the caller takes up a stream after a response; `None` if it is complete, or cannot
    /// be resumed.
    fn resumption(&mut self, request: &RequestRecord) -> Option<Resumption> {
        match &request.outcome {
            Outcome::Response { status: 200, is_own: true, is_whole: false, events }
                if request.kind == RequestKind::ResumableChat =>
            {
                let last_event = events.last()?.number;
                let is_named = self.random.random_range(0..NAMED_ONE_IN) == 0;
                Some(match &request.resumes {
                    Some(resumes) => Resumption { last_event, is_named, ..resumes.clone() },
                    None => Resumption {
                        stream: request.id.clone(),
                        first: events.first()?.clone(),
                        last_event,
                        is_named,
                    },
                })
            }
            _ => None,
        }
    }

    /// Draws what a request asks for: what no other request does, or one of a few that callers share.
    fn draw_content(&mut self) -> Content {
        let chat = self.random.random_range(0..30);
        let is_shared = self.random.random_range(0..IDENTICAL_ONE_IN) == 0;
        let unique = (self.number as u32 + 1) * 0x1_0000 + self.request_count % 0x1_0000;
        Content { chat, own: if is_shared { chat } else { unique } }
    }

    /// Returns an identifier that no other request has.
    fn next_id(&mut self) -> String {
        self.request_count += 1;
        format!("c{}n{}", self.number, self.request_count)
    }

    /// Evaluates a reply, and falsifies the outcome where a bug is simulated.
    fn evaluate(
        &self,
        reply: &Reply,
        kind: RequestKind,
        id: &str,
        resumes: Option<&Resumption>,
    ) -> Outcome {
        match (self.recorder.simulated_bug, resumes) {
            (Some(Bug::StreamsStop), Some(_)) => return Outcome::NoResponse,
            (Some(Bug::UnnamedStreamsStop), Some(resumes)) if !resumes.is_named => {
                return Outcome::NoResponse;
            }
            _ => {}
        }
        let status = reply.status();
        let mut is_own = status != 200 || matches_request(reply, id);
        let mut text = reply.text();
        match self.recorder.simulated_bug {
            Some(Bug::ForeignResponse) => is_own &= !self.request_count.is_multiple_of(5),
            Some(Bug::TruncatedResponse) if status == 200 => text.truncate(text.len() / 2),
            _ => {}
        }
        let is_whole = reply.body.is_whole;
        if status == 200 && !kind.is_stream() && is_whole {
            is_own &= text == body_for(id);
        }
        let mut events =
            if status == 200 && kind.is_stream() { parse_events(&text) } else { Vec::new() };
        falsify_events(self.recorder.simulated_bug, kind, resumes.is_some(), &mut events);
        Outcome::Response { status, is_own, is_whole, events }
    }

    /// Sends the request that crashes replicas at the moment, or requests with the part that does, to
    /// the routers in turn, each under a new identifier. They are not recorded: nobody misses them.
    async fn send_crashing_requests(mut self, stop: CancellationToken) {
        while !stop.is_cancelled() {
            tokio::time::sleep(CRASHING_INTERVAL).await;
            let Traffic { crashing_part, crashing_request, .. } = *self.recorder.traffic();
            let (id, content) = (self.next_id(), Content { chat: 0, own: 0 });
            let call = match (crashing_part, crashing_request) {
                (Some(part), _) => {
                    let call =
                        build_call(RequestKind::Chat, &format!("{CRASHING_PREFIX}{id}"), content);
                    replace_prompt(
                        call,
                        &format!("a:100,{part:x}:800,{:x}:100", self.request_count),
                    )
                }
                (None, Some((kind, number))) => {
                    build_call(kind, &format!("{REPEATED_PREFIX}{number}-{id}"), content)
                        .with_body(&format!("{CRASHING_BODY}{number}"))
                }
                (None, None) => continue,
            };
            let router = self.routers[self.request_count as usize % self.routers.len()];
            tokio::spawn(async move {
                let _ = crate::caller::call(router, &call).await;
            });
        }
    }

    /// Sends requests for long streams to the routers in turn while they are due, each over a connection
    /// of its own.
    async fn send_long_streams(mut self, stop: CancellationToken) {
        while !stop.is_cancelled() {
            tokio::time::sleep(LONG_STREAM_INTERVAL).await;
            if !self.recorder.traffic().has_long_streams {
                continue;
            }
            self.request_count += 1;
            let mut caller = self.clone();
            tokio::spawn(async move { caller.send_long_stream().await });
        }
    }

    async fn send_long_stream(&mut self) {
        let is_resumable = self.request_count.is_multiple_of(2);
        let kind = if is_resumable { RequestKind::ResumableChat } else { RequestKind::Chat };
        let router = self.request_count as usize / 2 % self.routers.len();
        let id = format!("{LONG_PREFIX}{}n{}", self.number, self.request_count);
        let own = (self.number as u32 + 1) * 0x1_0000 + self.request_count;
        let mut call = build_call(kind, &id, Content { chat: 0, own });
        let replaced = ["X-Deadline-Ms", "X-Token-Usage"];
        call.headers.retain(|(name, _)| !replaced.contains(&name.as_str()));
        let call = call
            .with_header("X-Deadline-Ms", &LONG_DEADLINE.as_millis().to_string())
            .with_header("X-Token-Usage", &format!("1000,{LONG_STREAM_TOKENS}"));
        let Ok(mut connection) = Connection::open(self.routers[router]).await else { return };
        let sent_at = self.recorder.now();
        let outcome = match connection.call(&call).await {
            Ok(Some(reply)) => self.evaluate(&reply, kind, &id, None),
            Ok(None) | Err(_) => Outcome::NoResponse,
        };
        self.recorder.record_request(RequestRecord {
            id,
            kind,
            content: call_content(&call),
            router,
            sent_at,
            ended_at: self.recorder.now(),
            outcome,
            resumes: None,
            is_interrupted: false,
        });
    }

    /// Requests the route of the newest configuration from one router until the soak ends, and
    /// records whether the router has it.
    async fn probe_versions(mut self, router: usize, stop: CancellationToken) {
        while !stop.is_cancelled() {
            tokio::time::sleep(PROBE_INTERVAL).await;
            let version = self.newest_version.load(Ordering::Relaxed);
            let restart_count = self.restart_counts[router].load(Ordering::Relaxed) as u32;
            let Ok(mut connection) = Connection::open(self.routers[router]).await else { continue };
            self.request_count += 1;
            let id = format!("l{}n{}", self.number, self.request_count);
            let call =
                Call::new("GET", HOST, &format!("{}look", version_route_prefix(version)), &id)
                    .with_api_key(API_KEY)
                    .with_header("X-Deadline-Ms", "1000");
            let sent_at = self.recorder.now();
            let reply = tokio::time::timeout(REQUEST_DEADLINE, connection.call(&call)).await;
            let Ok(Ok(Some(reply))) = reply else { continue };
            // 404 means that the router has no such route. Any other failure, such as the 503 of a
            // router without a configuration, does not tell which configuration it has.
            let is_known = match reply.status() {
                404 => false,
                200 => true,
                _ => continue,
            };
            let is_falsified = self.recorder.simulated_bug == Some(Bug::ConfigurationRollback)
                && self.request_count.is_multiple_of(5);
            let is_known = is_known && !is_falsified;
            let ended_at = self.recorder.now();
            let probe =
                VersionProbe { router, restart_count, version, is_known, sent_at, ended_at };
            self.recorder.observations().version_probes.push(probe);
        }
    }
}

/// Builds a request of a kind. A streaming request carries a prompt of a part that all chats share,
/// one of its chat, and one that may be its own.
fn build_call(kind: RequestKind, id: &str, content: Content) -> Call {
    let method = if kind == RequestKind::Read { "GET" } else { "POST" };
    let call = Call::new(method, HOST, &format!("{}a", kind.prefix()), id)
        .with_api_key(API_KEY)
        .with_header("X-Deadline-Ms", &REQUEST_DEADLINE.as_millis().to_string());
    let Content { chat, own } = content;
    if !kind.is_stream() {
        return call.with_body(&upload(kind, own));
    }
    let (verse, part) = match own % 3 {
        0 => (own, chat),
        1 => (chat, own),
        _ => (own, own),
    };
    call.with_header("X-Model", "m")
        .with_header("X-Token-Usage", "1000,50")
        .with_header(
            "X-Prompt-Prefix",
            &format!("a:100,{:x}:800,{:x}:100", chat + 16, part + 4_096),
        )
        .with_body(&format!("Which verse is older than verse {verse}?"))
}

/// Returns whether a request ended at the deadline that its caller sent with it.
pub(super) fn has_reached_deadline(request: &RequestRecord) -> bool {
    let is_long = request.id.starts_with(LONG_PREFIX);
    let deadline = if is_long { LONG_DEADLINE } else { REQUEST_DEADLINE };
    request.ended_at.saturating_sub(request.sent_at) + DEADLINE_MARGIN >= deadline
}

/// Returns the request with another prompt.
fn replace_prompt(mut call: Call, prompt: &str) -> Call {
    call.headers.retain(|(name, _)| name != "X-Prompt-Prefix");
    call.with_header("X-Prompt-Prefix", prompt)
}

/// Returns whether the headers of a reply name the request.
fn matches_request(reply: &Reply, id: &str) -> bool {
    reply.head.header("x-request-id") == Some(id)
        && reply.head.header("x-server-stamp") == Some(&format!("stamp-{id}"))
}

/// Checks that every router serves every kind of request, and uses the newest configuration, after
/// all faults have ended.
pub(super) async fn check_recovery(fleet: &SoakFleet) -> Vec<Violation> {
    let mut violations = Vec::new();
    for (number, router) in fleet.routers.iter().enumerate() {
        for (count, kind) in
            RequestKind::ALL.into_iter().cycle().take(4 * RECOVERY_REQUESTS_PER_KIND).enumerate()
        {
            let id = format!("last{number}n{count}");
            let call = build_call(kind, &id, Content { chat: count as u32, own: count as u32 });
            let reply = crate::caller::call(router.process.callers_address(), &call).await;
            let is_served = reply.is_ok_and(|reply| {
                let has_all_events = !kind.is_stream()
                    || reply.events().len() == event_count(call_content(&call)) as usize;
                reply.status() == 200 && reply.body.is_whole && has_all_events
            });
            if !is_served {
                let details = format!("router-{number} did not serve {id} ({kind:?})");
                violations.push(Violation::new("recovery", details));
            }
        }
        let newest_version = fleet.newest_version.load(Ordering::Relaxed);
        let call = Call::new(
            "GET",
            HOST,
            &format!("{}last", version_route_prefix(newest_version)),
            "newest",
        )
        .with_api_key(API_KEY);
        let reply = crate::caller::call(router.process.callers_address(), &call).await;
        if !reply.is_ok_and(|reply| reply.status() == 200) {
            let details = format!(
                "router-{number} does not serve the route of configuration version {newest_version}"
            );
            violations.push(Violation::new("recovery", details));
        }
    }
    violations
}
