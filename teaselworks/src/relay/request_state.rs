//! The state of one request across its attempts, and the decisions on placement and retries.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::HeaderMap;
use teaselworks_policy::configuration::Configuration;
use teaselworks_policy::crash::SharedParts;
use teaselworks_policy::placement::{Placement, PlacementRequest};
use teaselworks_policy::retry::{
    AttemptHistory, BudgetReading, Decision, Failure, RetryReason, SlackShare, decide_retry,
};
use teaselworks_policy::shares::Admission;
use teaselworks_policy::stop::Acceptance;
use teaselworks_policy::stream_origin::StreamOrigin;
use teaselworks_policy::upstream::RequestOutcome;
use teaselworks_policy::verdict::{Refusal, RefusalReason, Verdict};

use super::Shared;
use super::in_flight::{InFlightRequest, RequestIdentity};
use super::origin::Origin;
use super::request::{PreparedRequest, RequestBody};
use crate::event::{self, Event};
use crate::kernel::ShutdownPhase;

/// State of a request that is being served, across all its attempts.
pub(super) struct RequestState {
    pub(super) shared: Arc<Shared>,
    pub(super) prepared: Arc<PreparedRequest>,
    pub(super) configuration: Arc<Configuration>,
    pub(super) body: RequestBody,
    /// Identifiers of the upstreams that were chosen so far, in order, and addresses of the routers
    /// that took the request.
    tried: Vec<Arc<str>>,
    /// Number of failed attempts that may have run the request.
    pub(super) runs: u32,
    /// Limit on `runs`: with this many, the request is not retried.
    max_runs: u32,
    /// Whether another router took the request, and retries it if that is allowed.
    is_handed_over: bool,
    /// How the answer may be passed on, as a planned stop requires.
    pub(super) acceptance: Acceptance,
    pub(super) origin: Origin,
    /// Where the stream began that this request answers or resumes; `None` before its first event.
    stream_origin: Option<Arc<StreamOrigin>>,
    /// Whether the origin was recorded for callers that come back.
    is_origin_recorded: bool,
}

impl RequestState {
    pub(super) fn new(
        shared: Arc<Shared>,
        prepared: PreparedRequest,
        configuration: Arc<Configuration>,
        body: RequestBody,
        origin: Origin,
        stream_origin: Option<Arc<StreamOrigin>>,
    ) -> Self {
        let max_runs = match origin {
            Origin::Caller => prepared.route.max_attempts,
            Origin::Router { max_runs } => max_runs.min(prepared.route.max_attempts),
        };
        Self {
            shared,
            prepared: Arc::new(prepared),
            configuration,
            body,
            tried: Vec::new(),
            runs: 0,
            max_runs,
            is_handed_over: false,
            acceptance: Acceptance::Unchanged,
            origin,
            stream_origin,
            is_origin_recorded: false,
        }
    }

    /// Records that the router at `address` took the request.
    pub(super) fn hand_over(&mut self, address: SocketAddr) {
        self.count_admission();
        self.tried.push(address.to_string().into());
        self.is_handed_over = true;
    }

    /// Counts a request of a caller that is sent for the first time.
    fn count_admission(&self) {
        if self.origin == Origin::Caller && self.tried.is_empty() {
            let rank = self.prepared.class.rank;
            self.shared.metrics.add_admitted_request(&self.prepared.service, rank);
        }
    }

    /// Records that the first event of a stream arrived from a replica with this software version.
    /// Other routers are notified before the caller can come back with the event.
    pub(super) fn on_first_event(&mut self, version: &Arc<str>) {
        if self.is_origin_recorded || !self.prepared.route.is_resumable {
            return;
        }
        self.is_origin_recorded = true;
        let service = self.prepared.service.clone();
        let version = version.clone();
        let origin =
            self.stream_origin.get_or_insert_with(|| Arc::new(StreamOrigin { service, version }));
        self.shared.on_stream_began(self.prepared.stream_keys(), origin);
    }

    /// Returns the time after the deadline for which the answer of an upstream is awaited.
    ///
    /// A router that forwards a request has left itself that time already: the deadline that it
    /// states is earlier than its own. A stopping router admits requests by their deadlines and exits
    /// when these have passed.
    pub(super) fn reply_wait(&self) -> Duration {
        let is_stopping = self.shared.shutdown.phase() > ShutdownPhase::Running;
        match self.origin {
            Origin::Caller if !is_stopping => self.shared.fleet().connect_times.reply_margin(),
            Origin::Caller | Origin::Router { .. } => Duration::ZERO,
        }
    }

    /// Returns the time left for an answer whose head has arrived.
    pub(super) fn remaining_for_answer(&self) -> Duration {
        (self.prepared.deadline.end() + self.reply_wait()).saturating_sub(self.shared.now())
    }

    /// Returns how many more times the request may run.
    pub(super) fn remaining_runs(&self) -> u32 {
        self.max_runs.saturating_sub(self.runs)
    }

    /// Refuses the request before an attempt if it may outlast a planned stop, or may crash replicas.
    ///
    /// That is decided again for each attempt: the body may have taken long to arrive, or an earlier
    /// attempt to fail.
    pub(super) fn admit_attempt(&mut self, has_begun: bool) -> Result<(), Refusal> {
        if !has_begun {
            self.acceptance = self.shared.admit(&self.prepared, self.origin)?;
        }
        let max_retry_after = self.prepared.deadline.max_retry_after(self.shared.now());
        let (id, fingerprint) = (&self.prepared.metadata.id, self.prepared.fingerprint);
        self.shared.admit_fingerprint(id, fingerprint, max_retry_after)
    }

    /// Returns the refusal of a request whose answer has not begun when the process is about to exit.
    pub(super) fn closing_refusal(&self) -> Refusal {
        if self.tried.is_empty() {
            return self.unsent(RefusalReason::Stopping);
        }
        Refusal::may_have_run(RefusalReason::Stopping)
    }

    /// Returns the number of attempts so far.
    pub(super) fn attempts(&self) -> u32 {
        u32::try_from(self.tried.len()).unwrap_or(u32::MAX)
    }

    /// Chooses the upstream for the next attempt, or refuses the request. The request counts as in
    /// flight there until the returned guard is dropped.
    ///
    /// `resumed_after` is the identifier of the last complete event of a stream that is resumed.
    pub(super) fn place(
        &self,
        resumed_after: Option<&str>,
    ) -> Result<(Placement, InFlightRequest), Refusal> {
        let request = self.placement_request(resumed_after);
        let placed = self.shared.fleet().place(self.shared.now(), &self.prepared.service, &request);
        let mut placement = placed?;
        placement.holder = placement.holder.filter(|_| self.has_kv_transfer());
        let in_flight = self.track_in_flight(&placement);
        Ok((placement, in_flight))
    }

    /// Records that the request is sent to the upstream that was chosen.
    pub(super) fn on_placed(&mut self, placement: &Placement, resumed_after: Option<&str>) {
        let now = self.shared.now();
        if placement.is_home_cold {
            self.shared.metrics.add_cold_home();
        }
        let report_age = placement.report_age.map_or(-1, |age| age.as_millis() as i64);
        event::REQUEST_PLACED.log(&[
            event::text("request", &self.prepared.metadata.id),
            event::text("fingerprint", &format_args!("{:x}", self.prepared.fingerprint)),
            event::text("service", &self.prepared.service),
            event::text("rank", &self.prepared.class.rank),
            event::text("workspace", &self.prepared.class.workspace.as_deref().unwrap_or("")),
            event::text("upstream", &placement.upstream.id),
            event::text("reason", &placement.reason.as_str()),
            event::text("load", &format_args!("{:.1}", placement.load)),
            event::text("bound", &format_args!("{:.1}", placement.bound)),
            event::text("report_age_ms", &report_age),
            event::text(
                "holder",
                &placement.holder.map(|address| address.to_string()).as_deref().unwrap_or(""),
            ),
            event::text("is_home_cold", &placement.is_home_cold),
            event::number("attempt", u64::from(self.attempts()) + 1),
            event::text("is_late", &self.prepared.is_late),
            event::number("configuration", self.configuration.version),
            event::number("remaining_ms", self.prepared.deadline.remaining(now).as_millis() as u64),
            event::text("after_event", &resumed_after.unwrap_or("")),
            event::text("version", &placement.upstream.version),
            event::text("resumes", &self.resumed_stream_id()),
        ]);
        self.count_admission();
        self.tried.push(placement.upstream.id.clone());
    }

    /// Returns what placement needs to know of the request.
    fn placement_request(&self, resumed_after: Option<&str>) -> PlacementRequest<'_> {
        let now = self.shared.now();
        let deadline = &self.prepared.deadline;
        // The router that the caller sent the request to has decided on its class.
        let class = (self.origin == Origin::Caller).then_some(&self.prepared.class);
        PlacementRequest {
            prompt: self.prepared.prompt(),
            zone: &self.shared.zone,
            tried: &self.tried,
            version: self.stream_origin.as_ref().map(|origin| &*origin.version),
            begins_stream: self.prepared.route.is_resumable,
            remaining: deadline.remaining(now),
            max_retry_after: deadline.max_retry_after(now),
            is_late: self.prepared.is_late,
            class,
            admission: Admission::Normal,
            has_started: self.stream_origin.is_some() || resumed_after.is_some() || self.runs > 0,
        }
    }

    /// Decides whether the request may be handed to another router, which does not decide on its class
    /// again.
    pub(super) fn admit_detour(&self, resumed_after: Option<&str>) -> Result<(), Refusal> {
        let now = self.shared.now();
        let request = self.placement_request(resumed_after);
        self.shared.fleet().admit_detour(now, &self.prepared.service, &request)
    }

    /// Returns the identifier of the stream that the caller resumes, or an empty string.
    fn resumed_stream_id(&self) -> &str {
        self.prepared.metadata.resumed_stream.as_ref().map_or("", |stream| &*stream.id)
    }

    /// Returns the identifiers of the prompt's parts that other requests may share; `None` if the
    /// request has no such part.
    fn shared_part_ids(&self) -> Option<SharedParts> {
        let parts = self.prepared.prompt()?.shared_parts();
        (!parts.is_empty()).then(|| parts.iter().map(|part| part.id).collect())
    }

    /// Returns the identifiers of the parts that other requests may share, in hexadecimal.
    fn shared_parts(&self) -> String {
        let parts = self.shared_part_ids().unwrap_or_default();
        let names: Vec<String> = parts.iter().map(|part| format!("{part:x}")).collect();
        names.join(",")
    }

    /// Returns whether an attempt that failed like this broke off, and not because of the deadline.
    pub(super) fn is_break(&self, failure: Failure) -> bool {
        let remaining = self.prepared.deadline.remaining(self.shared.now());
        failure == Failure::Broken && !remaining.is_zero()
    }

    /// Returns whether the engines of the service can transfer the key-value cache of prompt parts
    /// to each other.
    fn has_kv_transfer(&self) -> bool {
        let service = self.configuration.services.get(&self.prepared.service);
        service.is_some_and(|service| service.has_kv_transfer)
    }

    /// Frees the body and headers of the request once its answer has begun, unless another upstream
    /// may still have to resume the answer.
    pub(super) fn release_request(&mut self) {
        let route = &self.prepared.route;
        if route.is_idempotent() && self.runs + 1 < self.max_runs && !self.is_handed_over {
            return;
        }
        self.body.release();
        // No attempt refers to the request any more.
        if let Some(prepared) = Arc::get_mut(&mut self.prepared) {
            prepared.headers = HeaderMap::new();
        }
    }

    /// Returns a guard that keeps the request counted as in flight at the upstream until it is
    /// dropped. The placement already counted the request.
    fn track_in_flight(&self, placement: &Placement) -> InFlightRequest {
        let service = self.prepared.service.clone();
        let request = RequestIdentity {
            id: self.prepared.metadata.id.clone(),
            fingerprint: self.prepared.fingerprint,
            parts: self.shared_part_ids(),
        };
        InFlightRequest::new(self.shared.clone(), service, placement, request)
    }

    /// Decides whether another attempt follows a failed one. `has_begun` is true if the answer had
    /// already begun, so that the next attempt would resume it.
    ///
    /// Takes the retry from the retry budget if the decision requires that. Returns the refusal of
    /// the request as the error if no attempt follows.
    pub(super) fn authorize_retry(
        &mut self,
        failure: Failure,
        has_begun: bool,
    ) -> Result<(), Refusal> {
        if failure.verdict() == Verdict::MayHaveRun {
            self.runs += 1;
        }
        let now = self.shared.now();
        let history = self.history();
        let max_retry_after = self.prepared.deadline.max_retry_after(now);
        let service = &self.prepared.service;
        let mut fleet = self.shared.fleet();
        let (reason, is_budgeted) = match decide_retry(failure, &history) {
            Decision::Retry { is_budgeted, .. } if has_begun => (RetryReason::Resumed, is_budgeted),
            Decision::Retry { reason, is_budgeted } => (reason, is_budgeted),
            Decision::GiveUp(mut refusal) => {
                if refusal.verdict == Verdict::NotRun {
                    refusal.retry_after =
                        Some(fleet.schedule_retry_after(now, service, max_retry_after));
                }
                drop(fleet);
                self.log_failure(failure, &refusal);
                return Err(refusal);
            }
        };
        // The retry was taken from the budget when the request was sent elsewhere.
        let is_already_taken = failure == Failure::Silent;
        let is_taken_now = is_budgeted && !is_already_taken;
        let reading = is_taken_now.then(|| fleet.try_take_retry(now, service));
        if let Some(withheld) = reading.filter(|reading| !reading.is_granted) {
            let retry_after = fleet.schedule_retry_after(now, service, max_retry_after);
            drop(fleet);
            self.on_withheld(reason, withheld);
            let refusal = Refusal::not_run(RefusalReason::RetryBudget, Some(retry_after));
            self.log_failure(failure, &refusal);
            return Err(self.correct_verdict(refusal));
        }
        drop(fleet);
        self.shared.metrics.add_retry(reason);
        self.log_retry(event::ATTEMPT_RETRIED, reason, reading);
        Ok(())
    }

    /// Returns the attempts so far and the limits on further ones.
    fn history(&self) -> AttemptHistory {
        // A body that was forwarded while it arrived is not buffered and can't be sent to another
        // upstream. `decide_retry` allows no retry at the maximum count.
        let can_be_sent_again = self.body.is_buffered() && !self.is_handed_over;
        AttemptHistory {
            is_idempotent: self.prepared.route.is_idempotent(),
            tried_count: if can_be_sent_again { self.attempts() } else { u32::MAX },
            runs: self.runs,
            max_runs: self.max_runs,
            remaining: self.prepared.deadline.remaining(self.shared.now()),
        }
    }

    /// Records a retry that the retry budget does not allow.
    fn on_withheld(&self, reason: RetryReason, reading: BudgetReading) {
        self.shared.metrics.add_withheld_retry(reason, reading.share);
        self.log_retry(event::RETRY_WITHHELD, reason, Some(reading));
    }

    /// Logs a decision on a retry. `reading` is what it rests on; `None` if the retry counts against
    /// no budget, or was taken from it before.
    fn log_retry(&self, event: Event, reason: RetryReason, reading: Option<BudgetReading>) {
        let credit = reading.map_or(-1.0, |reading| reading.credit);
        let slack_left = reading.map_or(-1.0, |reading| reading.slack_left);
        let used = reading.map_or(-1, |reading| i64::from(reading.used));
        let share = reading.map_or("", |reading| reading.share.as_str());
        let routers = match reading.map(|reading| reading.share) {
            Some(SlackShare::Divided(routers)) => i64::from(routers),
            _ => -1,
        };
        let list_age = self.shared.fleet().list_age(self.shared.now());
        let list_age_ms = list_age.map_or(-1, |age| age.as_millis() as i64);
        event.log(&[
            event::text("request", &self.prepared.metadata.id),
            event::text("reason", &reason.as_str()),
            event::number("attempt", self.attempts().into()),
            event::text("upstream", &self.tried.last().map_or("", |id| id)),
            event::text("parts", &self.shared_parts()),
            event::text("service", &self.prepared.service),
            event::text("used", &used),
            event::text("credit", &format_args!("{credit:.1}")),
            event::text("slack_left", &format_args!("{slack_left:.1}")),
            event::text("share", &share),
            event::text("routers", &routers),
            event::text("list_age_ms", &list_age_ms),
        ]);
    }

    /// Returns whether an earlier attempt may have run the request.
    pub(super) fn has_possible_run(&self) -> bool {
        self.runs > 0
    }

    /// Returns whether the request may be sent elsewhere while an attempt is silent, which counts as a
    /// run already.
    pub(super) fn may_be_sent_elsewhere(&self) -> bool {
        let history = self.history();
        let is_retried = matches!(decide_retry(Failure::Silent, &history), Decision::Retry { .. });
        is_retried && history.remaining > self.prepared.route.target_latency
    }

    /// Takes a retry from the retry budget for a request that is sent elsewhere while an attempt is
    /// silent; returns whether it is granted.
    pub(super) fn try_take_silence_retry(&self, has_begun: bool) -> bool {
        let reason =
            if has_begun { RetryReason::Resumed } else { RetryReason::Failed(Failure::Silent) };
        let now = self.shared.now();
        let reading = self.shared.fleet().try_take_retry(now, &self.prepared.service);
        if reading.is_granted {
            self.shared.metrics.add_retry(reason);
            self.log_retry(event::ATTEMPT_RETRIED, reason, Some(reading));
        } else {
            self.on_withheld(reason, reading);
        }
        reading.is_granted
    }

    /// Logs a failed attempt that is not retried.
    fn log_failure(&self, failure: Failure, refusal: &Refusal) {
        event::ATTEMPT_FAILED.log(&[
            event::text("request", &self.prepared.metadata.id),
            event::text("upstream", &self.tried.last().map_or("", |id| id)),
            event::text("failure", &failure.as_str()),
            event::text("verdict", &failure.verdict()),
            event::text("reason", &refusal.reason),
            event::number("attempt", self.attempts().into()),
            event::number("max_runs", self.max_runs.into()),
            event::text("parts", &self.shared_parts()),
        ]);
    }

    /// Returns the refusal unchanged, unless it states that the request was not run although an
    /// earlier attempt may have run it. It is then replaced by one that states that the request may
    /// have run.
    pub(super) fn correct_verdict(&self, refusal: Refusal) -> Refusal {
        if self.runs == 0 || refusal.verdict == Verdict::MayHaveRun {
            return refusal;
        }
        Refusal::may_have_run(RefusalReason::UpstreamFailed)
    }
}

/// Returns the outcome that a failure counts as for the health of the upstream.
pub(super) fn request_outcome(failure: Failure) -> RequestOutcome {
    match failure {
        // Overloaded and faulty replicas both reject requests. A faulty one stands out because it
        // does so more often than the other replicas of its service.
        Failure::Rejected | Failure::Failed => RequestOutcome::Error,
        Failure::Unreachable
        | Failure::NotSent
        | Failure::Moved
        | Failure::Broken
        | Failure::Silent
        | Failure::Foreign => RequestOutcome::NoAnswer,
    }
}
