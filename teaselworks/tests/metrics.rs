//! Metrics of one router, as Prometheus text.

use std::time::Duration;

use teaselworks::metrics::Metrics;
use teaselworks_policy::verdict::{RefusalReason, Verdict};
use teaselworks_standin::router::sum_metric;

const VERDICTS: [Verdict; 3] = [Verdict::NotRun, Verdict::MayHaveRun, Verdict::Ran];

#[test]
fn every_reason_and_verdict_is_counted_under_its_own_labels() {
    // Symptom: refusals are counted without reason and verdict, under `otel_metric_overflow`.
    // Sequence: a router refuses requests for every reason there is, with every verdict.
    // Cause: the limit on label sets of an instrument, kept low for its memory, is too low.
    let metrics = Metrics::new();
    for reason in RefusalReason::ALL {
        for verdict in VERDICTS {
            metrics.add_refusal(reason, verdict);
        }
    }

    let text = metrics.to_text();
    for reason in RefusalReason::ALL {
        for verdict in VERDICTS {
            let reason_label = format!("reason=\"{}\"", reason.as_str());
            let verdict_label = format!("verdict=\"{}\"", verdict.as_str());
            let labels = [reason_label.as_str(), verdict_label.as_str()];
            let count = sum_metric(&text, "teaselworks_refusals_total", &labels);
            assert_eq!(count, 1.0, "{labels:?}");
        }
    }
    assert!(!text.contains("overflow"), "{text}");
}

#[test]
fn instruments_keep_names_descriptions_and_bounds() {
    // Symptom: dashboards lose latencies, or see them in other buckets.
    // Sequence: a router starts, measures a first token and is scraped.
    // Cause: what limits the label sets of an instrument replaces the rest of its description.
    let metrics = Metrics::new();
    metrics.record_first_token(Duration::from_millis(700));

    let text = metrics.to_text();
    assert!(text.contains("# HELP teaselworks_retries_total Attempts repeated, by reason."));
    let in_bucket = |bound: &str| {
        let bound = format!("le=\"{bound}\"");
        sum_metric(&text, "teaselworks_first_token_ms_bucket", &[bound.as_str()])
    };
    assert_eq!(in_bucket("320"), 0.0, "{text}");
    assert_eq!(in_bucket("740"), 1.0, "{text}");
}
