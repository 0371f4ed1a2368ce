//! The lending of limits in a fleet of full size: messages of a router, by its rate of requests.

use std::collections::VecDeque;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use serde::Serialize;
use teaselworks_policy::admission::lending::{FleetLimits, Lender, base_share};
use teaselworks_policy::admission::limits::{Limits, Permit, Work, WorkspaceLimiter};
use teaselworks_policy::admission::open::OpenShare;
use teaselworks_policy::name::Name;
use teaselworks_wire::message::Purpose;

use super::usage::{RATES, size_bytes};
use crate::slopes::collect::Collector;
use crate::slopes::name::SlopeName;

const ROUTERS: u32 = 410;
const WORKSPACES: f64 = 18_000.0;
/// Time before counting begins, in which what was saved up while idle is used, and time counted.
const WARM_S: u32 = 45;
const COUNTED_S: u32 = 30;
/// Time that a request takes: a first token after 0.74 s, then 255 tokens of 40 ms.
const REQUEST_TIME: Duration = Duration::from_millis(10_900);
const WORK: Work = Work { tokens: 1_455, deadline_left: Duration::from_secs(60) };
/// Limits of a workspace as a multiple of what it uses on average.
const HEADROOM: f64 = 4.0;
/// Tokens for each request that a limit allows.
const TOKENS_EACH: f64 = 2_500.0;
/// Seconds of its limit on requests that a workspace may have in progress.
const IN_PROGRESS_S: f64 = 12.8;
/// Least limit of a workspace, in requests a second.
const LEAST_PER_S: f64 = 20.0;
/// Surge of the three busiest workspaces, above their limits.
const SURGE: f64 = 10.0;
const SURGING: usize = 3;

/// Time between two looks at leases that ended, as the service has it.
const TICK: Duration = Duration::from_millis(250);

/// All routers, and a lender that stands for all owners.
struct World {
    routers: Vec<WorkspaceLimiter>,
    lender: Lender,
    running: VecDeque<Request>,
    ticked_at: Duration,
    /// Of all workspaces, and of the busiest one alone.
    all: Count,
    busiest: Count,
}

/// A request in progress.
struct Request {
    end: Duration,
    rank: usize,
    router: usize,
    limits: Limits,
    permit: Permit,
}

/// What was asked and sent, one way.
#[derive(Default)]
struct Count {
    /// Requests that arrived; of the busiest workspace those that were admitted.
    requests: u32,
    asks: u32,
    sent_bytes: usize,
}

/// How a world is loaded.
#[derive(Clone, Copy, Debug)]
struct Load {
    /// Requests a second at each router.
    rate: u32,
    /// What the busiest workspaces send, as a multiple of their usual demand.
    surge: f64,
    /// Whether routers grant open shares.
    open: bool,
}

/// Measures every rate.
pub fn measure(points: &mut Collector) {
    for rate in RATES {
        let size = rate as f64;
        let usual = Load { rate: rate as u32, surge: 1.0, open: true };
        let world = World::after(usual);
        points.add(SlopeName::LimitsTraffic, size, world.bytes_per_router());
        let asks = f64::from(world.all.asks) / f64::from(world.all.requests);
        points.add(SlopeName::LimitsAsks, size, asks);
        points.add(SlopeName::BusiestLimitBytes, size, world.busiest_bytes());
        let exact = World::after(Load { open: false, ..usual });
        points.add(SlopeName::ExactLimitsTraffic, size, exact.bytes_per_router());
        let surge = World::after(Load { surge: SURGE, ..usual });
        points.add(SlopeName::SurgeLimitBytes, size, surge.busiest_bytes());
        points.add(SlopeName::SurgeLimitAsks, size, surge.busiest_asks());
        points.add(SlopeName::SurgeLimitUsed, size, surge.busiest_used(rate as u32));
    }
}

impl World {
    /// Returns what was counted under a load.
    fn after(load: Load) -> Self {
        let mut world = Self {
            routers: (0..ROUTERS).map(|seed| WorkspaceLimiter::new(seed.into())).collect(),
            lender: Lender::new(1),
            running: VecDeque::new(),
            ticked_at: Duration::ZERO,
            all: Count::default(),
            busiest: Count::default(),
        };
        let mut random = Pcg64::seed_from_u64(7);
        let per_s = load.rate * ROUTERS;
        let start = Duration::from_secs(60);
        for number in 0..per_s * (WARM_S + COUNTED_S) {
            if number == per_s * WARM_S {
                (world.all, world.busiest) = (Count::default(), Count::default());
            }
            let now =
                start + Duration::from_nanos(1_000_000_000 / u64::from(per_s) * u64::from(number));
            world.end_requests(now);
            world.end_leases(now);
            let rank = WORKSPACES.powf(random.random()) as usize;
            let times = if rank <= SURGING { load.surge as u32 } else { 1 };
            for _ in 0..times {
                let router = random.random_range(0..ROUTERS);
                world.begin_request(now, rank, router, load);
            }
        }
        world
    }

    /// Returns the bytes of a router, as asker and as owner.
    ///
    /// What a router asks others, it is also asked: requests and answers both count twice.
    fn bytes_per_router(&self) -> f64 {
        2.0 * self.all.sent_bytes as f64 / f64::from(ROUTERS) / f64::from(COUNTED_S)
    }

    /// Returns the bytes of the owner of the busiest workspace, for this workspace alone.
    fn busiest_bytes(&self) -> f64 {
        self.busiest.sent_bytes as f64 / f64::from(COUNTED_S)
    }

    /// Returns the questions a second to the owner of the busiest workspace, for it alone.
    fn busiest_asks(&self) -> f64 {
        f64::from(self.busiest.asks) / f64::from(COUNTED_S)
    }

    /// Returns the part of its limit on requests that the busiest workspace uses.
    fn busiest_used(&self, rate: u32) -> f64 {
        let per_s = fleet_limits(1, rate).requests_per_s.unwrap_or_default();
        f64::from(self.busiest.requests) / f64::from(COUNTED_S) / per_s
    }

    fn begin_request(&mut self, now: Duration, rank: usize, router: u32, load: Load) {
        let name = workspace(rank);
        let fleet = fleet_limits(rank, load.rate);
        let open = if load.open { OpenShare::of(&fleet, &name, router) } else { OpenShare::NONE };
        let limits = Limits {
            requests_per_s: fleet.requests_per_s,
            tokens_per_s: fleet.tokens_per_s,
            concurrent_requests: fleet.concurrent_requests,
            share: base_share(ROUTERS),
            owner_reachable: true,
            owner: 1,
            open,
        };
        let router = router as usize;
        self.all.requests += 1;
        let taken = match self.routers[router].try_take(now, &name, &limits, WORK) {
            Ok(permit) => Some(permit),
            Err(shortage) => shortage.ask.and_then(|ask| {
                let grant = self.lender.lend(now, Duration::ZERO, &fleet, &ask);
                self.all.asks += 1;
                self.busiest.asks += u32::from(rank == 1);
                self.count(rank, &("a", &ask));
                self.count(rank, &grant);
                self.routers[router].take_lent(now, &name, &limits, WORK, &grant).ok()
            }),
        };
        if let Some(permit) = taken {
            self.busiest.requests += u32::from(rank == 1);
            let end = now + REQUEST_TIME;
            self.running.push_back(Request { end, rank, router, limits, permit });
        }
    }

    fn count(&mut self, rank: usize, message: &impl Serialize) {
        let sent_bytes = size_bytes(Purpose::Limits, message);
        self.all.sent_bytes += sent_bytes;
        self.busiest.sent_bytes += if rank == 1 { sent_bytes } else { 0 };
    }

    fn end_leases(&mut self, now: Duration) {
        if now < self.ticked_at + TICK {
            return;
        }
        self.ticked_at = now;
        for router in 0..self.routers.len() {
            for end in self.routers[router].lease_ends(now) {
                let rank = if *end.workspace == *workspace(1) { 1 } else { 0 };
                self.count(rank, &("e", &end));
                self.count(rank, &());
                self.lender.end_lease(&end);
            }
        }
    }

    fn end_requests(&mut self, now: Duration) {
        while self.running.front().is_some_and(|request| request.end <= now) {
            let Some(mut request) = self.running.pop_front() else { break };
            let limiter = &mut self.routers[request.router];
            let used_tokens = WORK.tokens - 100;
            limiter.settle(now, &mut request.permit, &request.limits, used_tokens);
            if let Some(settlement) = limiter.release(now, request.permit) {
                self.count(request.rank, &("s", &settlement));
                self.count(request.rank, &());
                self.lender.settle(&settlement);
            }
        }
    }
}

fn workspace(rank: usize) -> Name {
    format!("workspace-{rank:05}").into()
}

/// Returns the limits of a workspace over the fleet.
fn fleet_limits(rank: usize, rate: u32) -> FleetLimits {
    let demand = f64::from(rate * ROUTERS) / WORKSPACES.ln() / rank as f64;
    let per_s = (HEADROOM * demand).max(LEAST_PER_S);
    FleetLimits {
        requests_per_s: Some(per_s),
        tokens_per_s: Some(per_s * TOKENS_EACH),
        concurrent_requests: Some((per_s * IN_PROGRESS_S) as u32),
        live_routers: ROUTERS,
    }
}
