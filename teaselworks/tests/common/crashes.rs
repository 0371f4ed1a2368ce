//! Replicas that crash and start again.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use teaselworks_standin::fleet::Fleet;
use teaselworks_standin::upstream::Upstream;

/// Time after which a crashed replica is back.
const DOWN_TIME: Duration = Duration::from_millis(500);
/// Pause between two checks for crashed replicas.
const CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// Starts crashed replicas of a service again, each after [`DOWN_TIME`], until `is_over`. Returns the
/// times of all crashes.
pub async fn restart_replicas(
    fleet: &Fleet,
    replicas: &[Upstream],
    service: &str,
    is_over: &AtomicBool,
) -> Vec<Instant> {
    let mut crashes = Vec::new();
    let mut down_since: HashMap<usize, Instant> = HashMap::new();
    while !is_over.load(Ordering::Relaxed) {
        for (number, replica) in replicas.iter().enumerate() {
            if replica.is_running() {
                continue;
            }
            let since = *down_since.entry(number).or_insert_with(|| {
                crashes.push(Instant::now());
                Instant::now()
            });
            if since.elapsed() >= DOWN_TIME {
                replica.restart().await.unwrap();
                fleet.put_entry(replica, service, "ready");
                down_since.remove(&number);
            }
        }
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
    crashes
}
