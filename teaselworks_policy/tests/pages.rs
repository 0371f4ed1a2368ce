//! The operators' page on refusals against the reasons that the code knows.

use teaselworks_policy::attempt::Dropped;
use teaselworks_policy::retry::RetryReason;
use teaselworks_policy::verdict::RefusalReason;

const PAGE: &str = include_str!("../../docs/operate/refusals.md");

fn rows(heading: &str) -> Vec<&'static str> {
    let section = PAGE.split("\n## ").find(|section| section.starts_with(heading)).unwrap();
    section.lines().filter(|line| line.starts_with("| `")).collect()
}

// Symptom: an operator sees a reason on a dashboard that no page explains.
// Sequence: a reason is added to the code, or its status changes. Cause: nothing ties the page to
// it.
#[test]
fn every_reason_is_explained_once_in_order() {
    let mut expected: Vec<String> = Vec::new();
    for reason in RefusalReason::ALL {
        expected.push(format!("| `{reason}` | {} | ", reason.http_status()));
    }
    let retries = RetryReason::ALL.map(|reason| format!("| `{reason}` | "));
    let dropped = Dropped::ALL.map(|kind| format!("| `{kind}` | "));
    let tables = [
        ("Reasons of refusals", expected),
        ("Reasons of retries", retries.to_vec()),
        ("Messages dropped", dropped.to_vec()),
    ];
    for (heading, expected) in tables {
        let rows = rows(heading);
        assert_eq!(rows.len(), expected.len(), "{heading}");
        for (row, begin) in rows.iter().zip(&expected) {
            assert!(row.starts_with(begin), "{heading}: {row} does not begin with {begin}");
        }
    }
}
