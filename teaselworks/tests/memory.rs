//! What the connections of a router take of its memory.

mod common;

use common::{fleet, request};
use teaselworks_standin::caller::Connection;
use teaselworks_standin::fleet::Fleet;

/// Connections that a test opens.
const CONNECTIONS: u32 = 200;

/// Returns the private memory of the first router in KB.
fn private_kb(fleet: &Fleet) -> u64 {
    let process = fleet.routers[0].process_id().unwrap();
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap();
    let line = status.lines().find(|line| line.starts_with("RssAnon:")).unwrap();
    line.split_whitespace().nth(1).unwrap().parse().unwrap()
}

/// Guards against buffers that connections of callers keep while they wait for their next request.
#[tokio::test]
async fn idle_callers_take_little_memory() {
    let fleet = fleet(1).await;
    let mut idle = Vec::new();
    let before_kb = private_kb(&fleet);
    for number in 0..CONNECTIONS {
        let mut connection = Connection::open(fleet.routers[0].callers_address()).await.unwrap();
        let call = request("GET", "/read/a", &format!("r{number}"));
        assert_eq!(connection.call(&call).await.unwrap().unwrap().status(), 200);
        idle.push(connection);
    }
    let each_kb = private_kb(&fleet).saturating_sub(before_kb) / u64::from(CONNECTIONS);
    println!("{each_kb} KB for each of {} idle connections", idle.len());
    assert!(each_kb < 4, "{each_kb} KB for each idle connection");
}
