//! The state of one request over its attempts, and the decisions that it asks for.

use std::sync::Arc;

use http::HeaderMap;
use teaselworks_policy::configuration::Configuration;
use teaselworks_policy::placement::{Placement, PlacementRequest};
use teaselworks_policy::retry::{AttemptHistory, Decision, Failure, RetryReason, decide_retry};
use teaselworks_policy::upstream::RequestOutcome;
use teaselworks_policy::verdict::{Refusal, RefusalReason, Verdict};

use super::Shared;
use super::in_flight::InFlightRequest;
use super::request::{PreparedRequest, RequestBody};
use crate::event;

/// A request that is being served.
pub(super) struct Serving {
    pub(super) shared: Arc<Shared>,
    pub(super) prepared: PreparedRequest,
    pub(super) configuration: Arc<Configuration>,
    pub(super) body: RequestBody,
    tried: Vec<Arc<str>>,
    runs: u32,
}

impl Serving {
    pub(super) fn new(
        shared: Arc<Shared>,
        prepared: PreparedRequest,
        configuration: Arc<Configuration>,
        body: RequestBody,
    ) -> Self {
        Self { shared, prepared, configuration, body, tried: Vec::new(), runs: 0 }
    }

    /// Returns the number of upstreams that the request was sent to.
    pub(super) fn attempts(&self) -> u32 {
        u32::try_from(self.tried.len()).unwrap_or(u32::MAX)
    }

    /// Chooses an upstream.
    pub(super) fn place(&mut self, resumed_after: Option<&str>) -> Result<Placement, Refusal> {
        let now = self.shared.now();
        let deadline = &self.prepared.deadline;
        let request = PlacementRequest {
            prompt: self.prepared.facts.prompt.as_ref().filter(|_| self.prepared.route.has_prompts),
            zone: &self.shared.zone,
            tried: &self.tried,
            remaining: deadline.remaining(now),
            max_retry_after: deadline.max_retry_after(now),
            is_late: self.prepared.is_late,
            has_started: resumed_after.is_some() || self.runs > 0,
        };
        let mut placement = self.shared.fleet().place(now, &self.prepared.service, &request)?;
        placement.holder = placement.holder.filter(|_| self.copies_prompts());
        let report_age = placement.report_age.map_or(-1, |age| age.as_millis() as i64);
        event::REQUEST_PLACED.log(&[
            event::text("request", &self.prepared.facts.id),
            event::text("service", &self.prepared.service),
            event::text("upstream", &placement.upstream.id),
            event::text("reason", &placement.reason.as_str()),
            event::text("load", &format_args!("{:.1}", placement.load)),
            event::text("bound", &format_args!("{:.1}", placement.bound)),
            event::text("report_age_ms", &report_age),
            event::text(
                "holder",
                &placement.holder.map(|address| address.to_string()).as_deref().unwrap_or(""),
            ),
            event::number("attempt", u64::from(self.attempts()) + 1),
            event::text("is_late", &self.prepared.is_late),
            event::number("configuration", self.configuration.version),
            event::number("remaining_ms", deadline.remaining(now).as_millis() as u64),
            event::text("after_event", &resumed_after.unwrap_or("")),
        ]);
        self.tried.push(placement.upstream.id.clone());
        Ok(placement)
    }

    /// Tells whether the engines of the service can copy prompts from each other.
    fn copies_prompts(&self) -> bool {
        let service = self.configuration.services.get(&self.prepared.service);
        service.is_some_and(|service| service.has_kv_transfer)
    }

    /// Lets go of the request once its answer has begun, unless another upstream may go on with it.
    pub(super) fn release_request(&mut self) {
        let route = &self.prepared.route;
        if route.is_idempotent() && self.runs + 1 < route.max_attempts {
            return;
        }
        self.body.release();
        self.prepared.headers = HeaderMap::new();
    }

    /// Takes over the count of a placement.
    pub(super) fn in_flight(&self, placement: &Placement) -> InFlightRequest {
        InFlightRequest::new(self.shared.clone(), self.prepared.service.clone(), placement)
    }

    /// Decides what follows a failed attempt, or a stream that broke off; a refusal where nothing
    /// does.
    pub(super) fn next(&mut self, failure: Failure, is_begun: bool) -> Result<(), Refusal> {
        if failure.verdict() == Verdict::MayHaveRun {
            self.runs += 1;
        }
        let now = self.shared.now();
        // A body that was sent on while it arrived is gone: no other upstream can be offered it.
        let tried_count = if self.body.is_buffered() { self.attempts() } else { u32::MAX };
        let attempts = AttemptHistory {
            is_idempotent: self.prepared.route.is_idempotent(),
            tried_count,
            runs: self.runs,
            max_runs: self.prepared.route.max_attempts,
            remaining: self.prepared.deadline.remaining(now),
        };
        let max_retry_after = self.prepared.deadline.max_retry_after(now);
        let service = &self.prepared.service;
        let mut fleet = self.shared.fleet();
        let (reason, is_budgeted) = match decide_retry(failure, &attempts) {
            Decision::Retry { is_budgeted, .. } if is_begun => (RetryReason::Resumed, is_budgeted),
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
        let is_paid = failure == Failure::Silent;
        if is_budgeted && !is_paid && !fleet.try_take_retry(now, service) {
            let retry_after = fleet.schedule_retry_after(now, service, max_retry_after);
            drop(fleet);
            let refusal = Refusal::not_run(RefusalReason::RetryBudget, Some(retry_after));
            self.log_failure(failure, &refusal);
            return Err(self.honest(refusal));
        }
        drop(fleet);
        self.shared.metrics.add_retry(reason);
        event::ATTEMPT_RETRIED.log(&[
            event::text("request", &self.prepared.facts.id),
            event::text("reason", &reason.as_str()),
            event::number("attempt", self.attempts().into()),
            event::text("upstream", &self.tried.last().map_or("", |id| id)),
        ]);
        Ok(())
    }

    /// Tells whether a silent attempt is given up for another one, and takes that from the retry
    /// budget. Silence alone is no reason to end a request.
    pub(super) fn takes_repeat(&self) -> bool {
        let route = &self.prepared.route;
        let now = self.shared.now();
        let remaining = self.prepared.deadline.remaining(now);
        let has_run_left = self.runs + 1 < route.max_attempts;
        route.is_idempotent()
            && self.body.is_buffered()
            && has_run_left
            && remaining > route.target_latency
            && self.shared.fleet().try_take_retry(now, &self.prepared.service)
    }

    /// Logs a failed attempt that no other follows.
    fn log_failure(&self, failure: Failure, refusal: &Refusal) {
        event::ATTEMPT_FAILED.log(&[
            event::text("request", &self.prepared.facts.id),
            event::text("upstream", &self.tried.last().map_or("", |id| id)),
            event::text("failure", &failure.as_str()),
            event::text("verdict", &failure.verdict()),
            event::text("reason", &refusal.reason),
            event::number("attempt", self.attempts().into()),
            event::number("max_runs", self.prepared.route.max_attempts.into()),
        ]);
    }

    /// Turns a refusal into one that does not promise what an earlier attempt may have broken.
    pub(super) fn honest(&self, refusal: Refusal) -> Refusal {
        if self.runs == 0 || refusal.verdict == Verdict::MayHaveRun {
            return refusal;
        }
        Refusal::may_have_run(RefusalReason::UpstreamFailed)
    }
}

/// Returns what a failure says of the upstream.
pub(super) fn symptom(failure: Failure) -> RequestOutcome {
    match failure {
        // A replica that is full and one that is ill turn requests away alike; against its peers the
        // ill one does so more often.
        Failure::Rejected | Failure::Failed => RequestOutcome::Error,
        Failure::Unreachable
        | Failure::NotSent
        | Failure::Moved
        | Failure::Broken
        | Failure::Silent
        | Failure::Foreign => RequestOutcome::NoAnswer,
    }
}
