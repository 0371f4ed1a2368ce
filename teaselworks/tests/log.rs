//! Tests of the log with a stalled reader of standard output.

mod common;

use common::{fleet, request};
use teaselworks_standin::caller::Connection;

/// Number of requests; their log lines exceed the pipe and the router's queue together.
const REQUESTS: u32 = 4_000;

/// Returns the number of dropped log lines from the metrics page.
fn dropped_lines(page: &str) -> u64 {
    let line = page.lines().find(|line| line.starts_with("teaselworks_log_lines_dropped_total"));
    line.and_then(|line| line.rsplit(' ').next()?.parse().ok()).unwrap()
}

/// Guards against requests that block while the reader of the log has stalled, and against dropped
/// lines that the metrics do not count.
#[tokio::test]
async fn a_stalled_log_reader_does_not_block_requests() {
    let fleet = fleet(1).await;
    let router = &fleet.routers[0];
    router.set_log_reading(false);
    let mut connection = Connection::open(router.callers_address()).await.unwrap();
    for number in 0..REQUESTS {
        let sent = request("GET", "/read/a", &format!("r{number}"));
        let reply = connection.call(&sent).await.unwrap().unwrap();
        assert_eq!(reply.status(), 200, "{number}");
    }
    assert!(dropped_lines(&router.metrics().await.unwrap()) > 0);
    router.set_log_reading(true);
    let answered = router.wait_for_events("request_answered", 1_000).await.unwrap();
    assert!(answered.len() < REQUESTS as usize);
}
