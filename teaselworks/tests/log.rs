//! The log under a reader that is slow or stands still.

mod common;

use common::{fleet, request};
use teaselworks_standin::caller::Connection;

/// Requests that log more than the pipe and the queue before it hold.
const REQUESTS: u32 = 4_000;

fn dropped(page: &str) -> u64 {
    let line = page.lines().find(|line| line.starts_with("teaselworks_log_lines_dropped_total"));
    line.and_then(|line| line.rsplit(' ').next()?.parse().ok()).unwrap()
}

/// Guards against requests that wait for the reader of the log, and lines that are lost untold.
#[tokio::test]
async fn a_reader_that_stands_still_stops_no_request() {
    let fleet = fleet(1).await;
    let router = &fleet.routers[0];
    router.set_log_reading(false);
    let mut connection = Connection::open(router.callers_address()).await.unwrap();
    for number in 0..REQUESTS {
        let sent = request("GET", "/read/a", &format!("r{number}"));
        let reply = connection.call(&sent).await.unwrap().unwrap();
        assert_eq!(reply.status(), 200, "{number}");
    }
    assert!(dropped(&router.metrics().await.unwrap()) > 0);
    router.set_log_reading(true);
    let told = router.wait_for_events("request_answered", 1_000).await.unwrap();
    assert!(told.len() < REQUESTS as usize);
}
