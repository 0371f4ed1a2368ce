//! The promises, checked against what was seen.

use std::collections::{HashMap, HashSet};
use std::fmt;
use std::time::Duration;

use super::fleet::{DRAINING, RETRY_RATIO, RETRY_SLACK, RETRY_WINDOW, STOP_GRACE, event_count};
use super::record::{Arrival, Got, Outcome, Plant, Record, Seen, Span};
use crate::configuration::{ARCHIVE, CHAT};

/// Time after the end of a fault from which promises with a bound in time hold again.
const CONTACT: Duration = Duration::from_secs(3);
/// Time for which an answer that was under way may still follow an older configuration.
const ROLLBACK_SLACK: Duration = Duration::from_millis(250);
/// Way of a request through the proxies.
const WAY: Duration = Duration::from_millis(200);

/// A broken promise.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Finding {
    /// The promise.
    pub promise: &'static str,
    /// What was seen.
    pub what: String,
}

impl Finding {
    pub(super) fn new(promise: &'static str, what: String) -> Self {
        Self { promise, what }
    }
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.promise, self.what)
    }
}

/// Checks every promise.
pub(super) fn check(record: &Record) -> Vec<Finding> {
    let seen = record.seen();
    let mut findings = Vec::new();
    check_runs(&seen, &mut findings);
    check_answers(&seen, &mut findings);
    check_looks(&seen, &mut findings);
    check_drains(&seen, &mut findings);
    check_repeats(&seen, &mut findings);
    check_stops(&seen, record.plant, &mut findings);
    for (router, at) in &seen.ended {
        let what = format!("router-{router} had ended at {at:?}");
        findings.push(Finding::new("no router ends by itself", what));
    }
    findings
}

fn runs(seen: &Seen) -> HashMap<&str, usize> {
    let mut runs = HashMap::new();
    for arrival in seen.arrivals.iter().filter(|arrival| arrival.has_run) {
        *runs.entry(arrival.id.as_str()).or_default() += 1;
    }
    runs
}

/// At most once, as often as the route allows, and never after a refusal that says "not run".
fn check_runs(seen: &Seen, findings: &mut Vec<Finding>) {
    let runs = runs(seen);
    for outcome in &seen.outcomes {
        let Outcome { id, kind, got, .. } = outcome;
        let count = runs.get(id.as_str()).copied().unwrap_or(0);
        if count > kind.most_runs() {
            findings
                .push(Finding::new("at most once", format!("{id} ({kind:?}) ran {count} times")));
        }
        let Got::Answer { status, .. } = got else { continue };
        if [408, 421, 429, 503].contains(status) && count > 0 && kind.most_runs() == 1 {
            let what = format!("{id} ({kind:?}) was answered {status} and ran");
            findings.push(Finding::new("true refusals", what));
        }
    }
}

/// Own and whole answers; events in order, each once, and to the last where the end was seen.
fn check_answers(seen: &Seen, findings: &mut Vec<Finding>) {
    for Outcome { id, kind, got, .. } in &seen.outcomes {
        let Got::Answer { status: 200, is_own, is_whole, events } = got else { continue };
        if !is_own {
            let what = format!("{id} ({kind:?}) got another answer than its own");
            findings.push(Finding::new("own and whole answers", what));
        }
        if !kind.is_stream() {
            continue;
        }
        let in_order = events.iter().zip(1..).all(|(event, number)| *event == number);
        if !in_order {
            let what = format!("{id} ({kind:?}) got events {events:?}");
            findings.push(Finding::new("order of events", what));
        }
        if *is_whole && events.len() != event_count(id) as usize {
            let what = format!("{id} ({kind:?}) ended as whole after {} events", events.len());
            findings.push(Finding::new("order of events", what));
        }
    }
}

/// A router that served by a version never goes back to an older one in the same process.
fn check_looks(seen: &Seen, findings: &mut Vec<Finding>) {
    for earlier in seen.looks.iter().filter(|look| look.is_known) {
        let is_later = |look: &&_| {
            let look: &super::record::Look = look;
            look.router == earlier.router
                && look.start == earlier.start
                && look.sent_at > earlier.ended_at + ROLLBACK_SLACK
                && look.version <= earlier.version
                && !look.is_known
        };
        if let Some(later) = seen.looks.iter().find(is_later) {
            let what = format!(
                "router-{} knew version {} at {:?} and not version {} at {:?}",
                earlier.router, earlier.version, earlier.ended_at, later.version, later.sent_at
            );
            findings.push(Finding::new("no older configuration", what));
            return;
        }
    }
}

/// A draining replica gets nothing new after its bound, where nothing kept routers from the news.
fn check_drains(seen: &Seen, findings: &mut Vec<Finding>) {
    for (upstream, drained_at) in &seen.drained {
        let bound = *drained_at + DRAINING + WAY;
        let late = |arrival: &&Arrival| arrival.upstream == *upstream && arrival.at > bound;
        for arrival in seen.arrivals.iter().filter(late) {
            if is_calm(seen, drained_at.saturating_sub(CONTACT), arrival.at) {
                let what = format!(
                    "{} reached {upstream} {:?} after it drained",
                    arrival.id,
                    arrival.at - *drained_at
                );
                findings.push(Finding::new("nothing to draining replicas", what));
            }
        }
    }
}

/// Tells whether nothing unplanned was under way in a time.
fn is_calm(seen: &Seen, from: Duration, to: Duration) -> bool {
    let overlaps =
        |span: &Span| span.from < to && span.to.is_none_or(|ended| ended + CONTACT > from);
    !seen.spans.iter().any(|span| !span.is_planned && overlaps(span))
}

/// Repeats stay within a ratio of the requests and a slack in every window, over all routers.
fn check_repeats(seen: &Seen, findings: &mut Vec<Finding>) {
    for service in [ARCHIVE, CHAT] {
        let at_service = |arrival: &&Arrival| arrival.upstream.starts_with(service);
        let mut firsts = HashSet::new();
        let (mut requests, mut repeats) = (Vec::new(), Vec::new());
        for arrival in seen.arrivals.iter().filter(at_service) {
            if firsts.insert(arrival.id.as_str()) {
                requests.push(arrival.at);
            } else {
                repeats.push(arrival.at);
            }
        }
        let within = |times: &[Duration], from: Duration| {
            times.iter().filter(|at| (from..from + RETRY_WINDOW).contains(at)).count()
        };
        for from in repeats.iter().copied() {
            let before = [Duration::ZERO, RETRY_WINDOW / 2, RETRY_WINDOW];
            let most = before.iter().map(|by| within(&requests, from.saturating_sub(*by))).max();
            let allowed = RETRY_RATIO * most.unwrap_or(0) as f64 + f64::from(RETRY_SLACK);
            let count = within(&repeats, from);
            if count as f64 > allowed {
                let what = format!("{count} repeats at {service} from {from:?}, allowed {allowed}");
                findings.push(Finding::new("retry budget", what));
                break;
            }
        }
    }
}

/// A planned stop cuts nothing that was passed on, where nothing else was wrong.
fn check_stops(seen: &Seen, plant: Option<Plant>, findings: &mut Vec<Finding>) {
    let runs = runs(seen);
    let stops = seen.spans.iter().filter_map(|span| span.stops.map(|router| (router, span)));
    for (router, stop) in stops {
        let end = stop.from + STOP_GRACE + Duration::from_secs(1);
        for outcome in seen.outcomes.iter().filter(|outcome| outcome.router == router) {
            let is_concerned = outcome.ended_at >= stop.from && outcome.sent_at < end;
            let ran = runs.contains_key(outcome.id.as_str());
            let is_cut = match &outcome.got {
                Got::Nothing => ran,
                Got::Answer { is_whole, .. } => !is_whole || plant == Some(Plant::CutByStop),
                Got::Left => false,
            };
            let from = outcome.sent_at.saturating_sub(CONTACT);
            if is_concerned && is_cut && is_calm(seen, from, outcome.ended_at) {
                let what = format!(
                    "{} ({:?}) at router-{router}, sent {:?} after its stop began",
                    outcome.id,
                    outcome.kind,
                    outcome.sent_at.saturating_sub(stop.from)
                );
                findings.push(Finding::new("no request cut by a planned stop", what));
            }
        }
    }
}
