//! Checks of streams that go on after a break, in one answer or over a caller's tries.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::content::{StreamEvent, event_count};
use super::record::{Observations, Outcome, RequestKind, RequestRecord, Resumption};
use super::violation::{Violation, is_undisturbed};

/// Number of streams that callers must have taken up before their share that goes on is compared.
const MIN_RESUMED: usize = 12;
/// Time before a request from which an unplanned fault disturbs it.
const DISTURBED_TIME: Duration = Duration::from_secs(1);

/// Checks the events of each answer: that they are those of the request, in order, without gaps or
/// duplicates, and all of them if the answer ended as complete. An answer that cannot be resumed
/// must hold those of one run.
pub(super) fn check_streams(observations: &Observations, violations: &mut Vec<Violation>) {
    for request in observations.requests.iter().filter(|request| request.kind.is_stream()) {
        let RequestRecord { id, kind, content, outcome, .. } = request;
        let Outcome::Response { status: 200, is_whole, events, .. } = outcome else { continue };
        let mut report = |guarantee, problem: &str| {
            let numbers: Vec<u32> = events.iter().map(|event| event.number).collect();
            let resumes = request.resumes.as_ref();
            let resumed =
                resumes.map(|resumes| (&resumes.stream, resumes.last_event, resumes.is_named));
            let details =
                format!("{id} ({kind:?}) {problem}; events {numbers:?}, resumes {resumed:?}");
            violations.push(Violation::new(guarantee, details));
        };
        let resumed_after = request.resumes.as_ref().map_or(0, |resumes| resumes.last_event);
        let mut last = resumed_after;
        for event in events {
            if event.content != *content || event.request != *id {
                let problem = format!("got {event:?}");
                report("streams hold events of their request", &problem);
            }
            if event.number <= last {
                report("no event of a stream repeats", &format!("got {} again", event.number));
            } else if event.number > last + 1 {
                report("no event of a stream is skipped", &format!("did not get {}", last + 1));
            }
            last = last.max(event.number);
        }
        if *is_whole && last != event_count(*content) {
            let problem = format!("ended as complete after event {last}");
            report("streams end as complete after their last event", &problem);
        }
        let runs: BTreeSet<&str> = events.iter().map(|event| event.run.as_str()).collect();
        if *kind != RequestKind::ResumableChat && runs.len() > 1 {
            let problem = format!("holds events of {runs:?}");
            report("streams that cannot be resumed keep to one run", &problem);
        }
    }
}

/// Checks that no stream contains events of two services or of two software versions, in one answer
/// or over all requests of its caller.
pub(super) fn check_origins(observations: &Observations, violations: &mut Vec<Violation>) {
    let mut events_by_stream: BTreeMap<&str, Vec<(&RequestRecord, &StreamEvent)>> = BTreeMap::new();
    for request in &observations.requests {
        let Outcome::Response { events, .. } = &request.outcome else { continue };
        let known = events_by_stream.entry(request.stream()).or_default();
        known.extend(events.iter().map(|event| (request, event)));
    }
    for (stream, events) in events_by_stream {
        let Some((_, first)) = events.first() else { continue };
        let mut report = |guarantee, is_other: &dyn Fn(&StreamEvent) -> bool| {
            let Some((request, event)) = events.iter().find(|(_, event)| is_other(event)) else {
                return;
            };
            let is_named = request.resumes.as_ref().map(|resumes| resumes.is_named);
            let details = format!(
                "{stream} began with {first:?}; {} at router-{}, sent at {:?}, named {is_named:?}, \
                 got {event:?}",
                request.id, request.router, request.sent_at
            );
            violations.push(Violation::new(guarantee, details));
        };
        report("streams keep to one service", &|event| event.service != first.service);
        report("streams keep to one version", &|event| event.version != first.version);
    }
}

/// Checks that streams which callers take up again, and whose version has two replicas, go on at least
/// half as often as new ones begin. Streams that an unplanned fault disturbs do not count.
pub(super) fn check_resumptions(observations: &Observations, violations: &mut Vec<Violation>) {
    let (mut resumed, mut went_on, mut new, mut began) = (0_usize, 0, 0, 0);
    for request in observations.requests.iter().filter(|request| is_compared(observations, request))
    {
        let from = request.sent_at.saturating_sub(DISTURBED_TIME);
        if !is_undisturbed(observations, from, request.ended_at) {
            continue;
        }
        let has_events = matches!(&request.outcome, Outcome::Response { status: 200, events, .. } if !events.is_empty());
        match &request.resumes {
            Some(_) => {
                resumed += 1;
                went_on += usize::from(has_events);
            }
            None => {
                new += 1;
                began += usize::from(has_events);
            }
        }
    }
    if resumed >= MIN_RESUMED && 2 * went_on * new < began * resumed {
        let details = format!(
            "{went_on} of {resumed} resumed streams went on, {began} of {new} new ones began"
        );
        violations.push(Violation::new("resumed streams go on", details));
    }
}

/// Returns whether a request is for a resumable stream, and its route still leads to the service that
/// began it, where two replicas have its version.
fn is_compared(observations: &Observations, request: &RequestRecord) -> bool {
    if request.kind != RequestKind::ResumableChat || request.outcome == Outcome::Abandoned {
        return false;
    }
    let Some(Resumption { first, last_event, .. }) = &request.resumes else { return true };
    let is_target = |services: &Vec<&str>| services.contains(&first.service.as_str());
    let serving = observations.serving_spans.iter().filter(|span| {
        let is_serving =
            span.from < request.sent_at && span.to.is_none_or(|to| to > request.ended_at);
        is_serving && span.service == first.service && span.version == first.version
    });
    // The last event leaves nothing to go on with.
    let has_rest = *last_event < event_count(request.content);
    has_rest && observations.targets(request).iter().all(is_target) && serving.count() >= 2
}
