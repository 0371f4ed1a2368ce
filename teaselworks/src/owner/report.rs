//! Asks engines for their own count of requests, by which work that others sent is noticed.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::join_all;
use teaselworks_config::configuration::UpstreamKind;
use teaselworks_policy::load::ReportSchedule;
use teaselworks_policy::membership::Duty;
use teaselworks_policy::name::Name;
use teaselworks_wire::message::Purpose;

use super::replica::Tenure;
use super::service::Owner;
use crate::kernel::{Shutdown, ShutdownPhase};
use crate::metrics::Direction;
use crate::upstream::LoadReport;

/// Time between looks at what is due.
const LOOK_INTERVAL: Duration = Duration::from_millis(500);

/// What a report told.
struct Told {
    replica: Name,
    size_bytes: u64,
    has_foreign: bool,
}

impl Owner {
    /// Asks the engines of owned replicas until the process stops.
    pub fn start_reports(self: &Arc<Self>, shutdown: Shutdown) {
        let owner = self.clone();
        tokio::spawn(async move {
            let mut schedule = ReportSchedule::default();
            loop {
                owner.ask_due(&mut schedule).await;
                tokio::select! {
                    () = shutdown.reached(ShutdownPhase::Stopped) => return,
                    () = tokio::time::sleep(LOOK_INTERVAL) => {}
                }
            }
        });
    }

    async fn ask_due(&self, schedule: &mut ReportSchedule) {
        let numbered = self.numbered();
        let now = self.parts.clock.monotonic();
        let upstreams = &numbered.configuration.upstreams;
        schedule.retain(|replica| upstreams.contains_key(replica));
        schedule.set_split(self.parts.fleet.view().split_off() > 0);
        let refusing: HashSet<String> = self.parts.engines.take_refusing();
        let mut due = Vec::new();
        for (name, upstream) in upstreams {
            if upstream.kind != UpstreamKind::Engine {
                continue;
            }
            let Duty::Mine { since, exclusive_from } = self.parts.fleet.duty(name) else {
                schedule.remove(name);
                continue;
            };
            if refusing.contains(&upstream.url) {
                schedule.doubt(name, now);
            }
            if schedule.is_due(name, exclusive_from, now) {
                let tenure = Tenure { since, shared_until: exclusive_from };
                due.push(self.ask(name, &upstream.url, tenure));
            }
        }
        for told in join_all(due).await.into_iter().flatten() {
            schedule.learn(&told.replica, told.size_bytes, told.has_foreign);
        }
    }

    /// Asks an engine.
    async fn ask(&self, name: &Name, url: &str, tenure: Tenure) -> Option<Told> {
        // A missing report costs the correction alone; the circuit judges by real requests.
        let report = self.parts.engines.load_report(url).await.ok()?;
        let LoadReport { requests, size_bytes } = report;
        self.parts.metrics.add_control_bytes(Purpose::Upstream, Direction::In, size_bytes);
        let numbered = self.numbered();
        let replica = self.replica(name, &numbered.configuration.policy);
        let now = self.parts.clock.monotonic();
        let has_foreign = replica.take_report(now, tenure, requests);
        Some(Told { replica: name.clone(), size_bytes, has_foreign })
    }
}
