//! Memory that a router uses for its connections.

mod common;

use common::{fleet, request};
use teaselworks_standin::caller::Connection;
use teaselworks_standin::fleet::Fleet;

/// Number of idle connections that the test opens.
const CONNECTIONS: u32 = 200;

/// Returns the private resident memory of the first router in KB, as `RssAnon` states it.
fn private_memory_kb(fleet: &Fleet) -> u64 {
    let process = fleet.routers[0].process_id().unwrap();
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap();
    let line = status.lines().find(|line| line.starts_with("RssAnon:")).unwrap();
    line.split_whitespace().nth(1).unwrap().parse().unwrap()
}

/// Guards against buffers that the router keeps for each connection of a caller while it waits for
/// the next request.
#[tokio::test]
async fn idle_connections_use_little_memory() {
    let fleet = fleet(1).await;
    let mut idle = Vec::new();
    let before_kb = private_memory_kb(&fleet);
    for number in 0..CONNECTIONS {
        let mut connection = Connection::open(fleet.routers[0].callers_address()).await.unwrap();
        let call = request("GET", "/read/a", &format!("r{number}"));
        assert_eq!(connection.call(&call).await.unwrap().unwrap().status(), 200);
        idle.push(connection);
    }
    let per_connection_kb =
        private_memory_kb(&fleet).saturating_sub(before_kb) / u64::from(CONNECTIONS);
    println!("{per_connection_kb} KB for each of {} idle connections", idle.len());
    assert!(per_connection_kb < 4, "{per_connection_kb} KB for each idle connection");
}
