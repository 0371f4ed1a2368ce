//! Callers that send requests over persistent connections, and probes that find out which
//! configuration each router uses.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

use super::bounds::{CRASHING_PREFIX, REPEATED_PREFIX};
use super::fleet::{SoakFleet, version_route_prefix};
use super::record::{Bug, Outcome, Recorder, RequestKind, RequestRecord, Resumption, VersionProbe};
use super::replica::{CRASHING_BODY, body_for, event_count, is_unframed};
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
/// Time between two requests with a part that crashes replicas.
const CRASHING_INTERVAL: Duration = Duration::from_millis(120);
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
    tasks.push(tokio::spawn(caller(number + 1).repeat_crashing_request(stop.clone())));
    for router in 0..fleet.routers.len() {
        tasks.push(tokio::spawn(caller(callers + router).probe_versions(router, stop.clone())));
    }
    Callers { stop, tasks }
}

impl Caller {
    /// Sends requests to random routers until the soak ends, several over each connection.
    async fn send_requests(mut self, stop: CancellationToken) {
        while !stop.is_cancelled() {
            let funnel = self.recorder.funnel().filter(|_| self.random.random_ratio(9, 10));
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
                if stop.is_cancelled() || !self.send_request(&mut connection, router).await {
                    break;
                }
                let pause_ms = self.random.random_range(0..MAX_REQUEST_PAUSE_MS);
                tokio::time::sleep(Duration::from_millis(pause_ms)).await;
            }
        }
    }

    /// Sends one request and records how it ended. Returns false if the connection cannot be used
    /// for another request.
    async fn send_request(&mut self, connection: &mut Connection, router: usize) -> bool {
        let kind = RequestKind::ALL[self.random.random_range(0..RequestKind::ALL.len())];
        let id = self.next_id();
        let chat_number = self.random.random_range(0..30);
        let call = build_call(kind, &id, chat_number);
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
        let reply = tokio::time::timeout(timeout, reply).await;
        let outcome = self.evaluate(reply, kind, &id, &id);
        let is_reusable = matches!(outcome, Outcome::Response { is_whole: true, .. });
        let resumption = resumption(kind, &id, &outcome);
        let ended_at = self.recorder.now();
        self.recorder.record_request(RequestRecord {
            id,
            kind,
            router,
            sent_at,
            ended_at,
            outcome,
            resumes: None,
            is_interrupted,
        });
        if let Some(resumption) = resumption {
            self.resume_stream(resumption, chat_number).await;
        }
        is_reusable
    }

    /// Takes up a stream that broke off at another router, on a new connection, and records how that
    /// ended.
    async fn resume_stream(&mut self, resumes: Resumption, chat_number: u32) {
        let router = self.random.random_range(0..self.routers.len());
        let kind = RequestKind::ResumableChat;
        let id = self.next_id();
        let call = build_call(kind, &id, chat_number)
            .with_header("Resumes", &resumes.stream)
            .with_header("Last-Event-Id", &resumes.last_event.to_string());
        let sent_at = self.recorder.now();
        let Ok(mut connection) = Connection::open(self.routers[router]).await else { return };
        let timeout = REQUEST_DEADLINE + RESPONSE_GRACE;
        let reply = tokio::time::timeout(timeout, connection.call(&call)).await;
        let mut outcome = self.evaluate(reply, kind, &id, &resumes.stream);
        if self.recorder.simulated_bug == Some(Bug::StreamsStop) {
            outcome = Outcome::NoResponse;
        }
        let ended_at = self.recorder.now();
        self.recorder.record_request(RequestRecord {
            id,
            kind,
            router,
            sent_at,
            ended_at,
            outcome,
            resumes: Some(resumes),
            is_interrupted: false,
        });
    }

    /// Returns an identifier that no other request has.
    fn next_id(&mut self) -> String {
        self.request_count += 1;
        format!("c{}n{}", self.number, self.request_count)
    }

    /// Returns how a request for the stream `stream` ended.
    fn evaluate(
        &self,
        reply: Result<std::io::Result<Option<Reply>>, tokio::time::error::Elapsed>,
        kind: RequestKind,
        id: &str,
        stream: &str,
    ) -> Outcome {
        match reply {
            Err(_) => Outcome::Abandoned,
            Ok(Ok(Some(reply))) => self.evaluate_reply(&reply, kind, id, stream),
            Ok(Ok(None) | Err(_)) => Outcome::NoResponse,
        }
    }

    /// Evaluates a reply, and falsifies the outcome where a bug is simulated.
    fn evaluate_reply(&self, reply: &Reply, kind: RequestKind, id: &str, stream: &str) -> Outcome {
        let status = reply.status();
        let mut is_own = status != 200 || matches_request(reply, kind, id);
        let mut text = reply.text();
        match self.recorder.simulated_bug {
            Some(Bug::ForeignResponse) => is_own &= !self.request_count.is_multiple_of(5),
            Some(Bug::UnframedStreamTruncated) if is_unframed(id) && kind.is_stream() => {
                let kept = text.trim_end().rfind("\n\n").map_or(0, |end| end + 2);
                text.truncate(kept);
            }
            Some(Bug::TruncatedResponse) if status == 200 => text.truncate(text.len() / 2),
            _ => {}
        }
        let is_whole = reply.body.is_whole;
        if status == 200 && !kind.is_stream() && is_whole {
            is_own &= text == body_for(id);
        }
        let mut versions = event_versions(&text);
        if self.recorder.simulated_bug == Some(Bug::JoinedVersions) && stream != id {
            versions.insert("simulated".to_owned());
        }
        Outcome::Response { status, is_own, is_whole, events: event_ids(&text), versions }
    }

    /// Sends requests whose prompts hold the part that crashes replicas at the moment, to each router in
    /// turn. They are not recorded: nobody misses them.
    async fn send_crashing_requests(mut self, stop: CancellationToken) {
        while !stop.is_cancelled() {
            tokio::time::sleep(CRASHING_INTERVAL).await;
            let Some(part) = self.recorder.crashing_part() else { continue };
            let id = format!("{CRASHING_PREFIX}{}", self.next_id());
            let router = self.routers[self.request_count as usize % self.routers.len()];
            let call = build_call(RequestKind::Chat, &id, 0);
            let call =
                replace_prompt(call, &format!("a:100,{part:x}:800,{:x}:100", self.request_count));
            tokio::spawn(async move {
                let _ = crate::caller::call(router, &call).await;
            });
        }
    }

    /// Sends a request that crashes replicas again and again, to the routers in turn, as one caller does:
    /// each time under a new identifier.
    async fn repeat_crashing_request(mut self, stop: CancellationToken) {
        while !stop.is_cancelled() {
            tokio::time::sleep(CRASHING_INTERVAL).await;
            let Some((kind, number)) = self.recorder.crashing_request() else { continue };
            let id = format!("{REPEATED_PREFIX}{number}-{}", self.next_id());
            let router = self.routers[self.request_count as usize % self.routers.len()];
            let call = build_call(kind, &id, 0).with_body(&format!("{CRASHING_BODY}{number}"));
            tokio::spawn(async move {
                let _ = crate::caller::call(router, &call).await;
            });
        }
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

/// Builds a request of a kind. A streaming request carries a prompt prefix of one part that all
/// chats share and two parts that only requests with the same `chat_number` share.
fn build_call(kind: RequestKind, id: &str, chat_number: u32) -> Call {
    let method = if kind == RequestKind::Read { "GET" } else { "POST" };
    let call = Call::new(method, HOST, &format!("{}a", kind.prefix()), id)
        .with_api_key(API_KEY)
        .with_header("X-Deadline-Ms", &REQUEST_DEADLINE.as_millis().to_string());
    if !kind.is_stream() {
        return call;
    }
    call.with_header("X-Model", "m")
        .with_header("X-Token-Usage", "1000,50")
        .with_header(
            "X-Prompt-Prefix",
            &format!("a:100,{:x}:800,{:x}:100", chat_number + 16, chat_number + 4_096),
        )
        .with_body("Which verse is older?")
}

/// Returns the request with another prompt.
fn replace_prompt(mut call: Call, prompt: &str) -> Call {
    call.headers.retain(|(name, _)| name != "X-Prompt-Prefix");
    call.with_header("X-Prompt-Prefix", prompt)
}

/// Returns whether the headers of a reply, and the events of a stream, name the request.
fn matches_request(reply: &Reply, kind: RequestKind, id: &str) -> bool {
    let stamp = format!("stamp-{id}");
    let text = reply.text();
    let data = text.lines().filter_map(|line| line.strip_prefix("data: "));
    let mut foreign = data.filter(|data| !data.starts_with(&format!("{id}-")));
    reply.head.header("x-request-id") == Some(id)
        && reply.head.header("x-server-stamp") == Some(&stamp)
        && (!kind.is_stream() || foreign.next().is_none())
}

/// Returns how a caller takes up a stream after a response; `None` if it is complete, or cannot be
/// resumed.
fn resumption(kind: RequestKind, id: &str, outcome: &Outcome) -> Option<Resumption> {
    match outcome {
        Outcome::Response { status: 200, is_own: true, is_whole: false, events, versions }
            if kind == RequestKind::ResumableChat =>
        {
            let version = versions.first()?.clone();
            Some(Resumption { stream: id.to_owned(), last_event: *events.last()?, version })
        }
        _ => None,
    }
}

/// Returns the software versions that the events in the body of a stream name.
fn event_versions(text: &str) -> BTreeSet<String> {
    let data = text.lines().filter_map(|line| line.strip_prefix("data: "));
    data.filter_map(|data| data.split_once(' ').map(|(_, version)| version.to_owned())).collect()
}

/// Returns the numbers of the events in the body of a stream.
fn event_ids(text: &str) -> Vec<u32> {
    let ids = text.lines().filter_map(|line| line.strip_prefix("id: "));
    ids.filter_map(|id| id.parse().ok()).collect()
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
            let call = build_call(kind, &id, count as u32);
            let reply = crate::caller::call(router.process.callers_address(), &call).await;
            let is_served = reply.is_ok_and(|reply| {
                let has_all_events = !kind.is_stream()
                    || event_ids(&reply.text()).len() == event_count(&id) as usize;
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
