//! Simulation of the retry budget of a fleet whose routers are killed, stopped, suspended and cut off
//! from the store, while replicas reject part of the requests.

mod router;
mod store;

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use teaselworks_policy::retry::{BudgetExcess, BudgetSettings};

use self::router::Router;
use self::store::Store;

/// Length of a tick.
const TICK: Duration = Duration::from_millis(10);
/// Time between two steps of what routers learn of each other.
const LIST_INTERVAL: Duration = Duration::from_millis(500);
/// Time from the end of a process until its VM runs the next one.
const RESTART_DELAY: Duration = Duration::from_millis(500);
/// Time for which a router serves after a planned stop has begun.
const STOP_TIME: Duration = Duration::from_secs(3);
/// Replicas that are tried for one request at most.
const MAX_ATTEMPTS: u32 = 4;

/// What happens to routers or the store in a simulation of retries.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RetryFault {
    /// A share of the routers is killed.
    Kill(f64),
    /// A planned stop of a share of the routers begins.
    Stop(f64),
    /// A share of the routers is suspended for a time that their clocks do not count.
    Suspend(f64, Duration),
    /// A share of the routers does not reach the store for a time.
    CutOff(f64, Duration),
    /// The store answers nobody for a time, and leases do not expire meanwhile.
    StoreAway(Duration),
    /// The store answers nobody for a time, at the end of which all leases have ended.
    StoreLapses(Duration),
    /// Callers send a multiple of the usual requests for a time.
    Burst(f64, Duration),
    /// This share of the callers reaches the first router from now on.
    Funnel(f64),
}

/// A simulated bug.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RetryBug {
    /// A router divides the slack by the routers that are listed at the moment, and uses its part as
    /// soon as it runs.
    DividesByListed,
    /// A process uses its part of the slack as soon as it runs, whatever earlier ones have used.
    SkipsSettling,
}

/// Settings of a simulation of retries.
#[derive(Clone, Debug, PartialEq)]
pub struct RetryLoad {
    /// Number of routers.
    pub routers: u16,
    /// Requests in a second, over all routers.
    pub requests_per_s: f64,
    /// Share of the attempts that replicas reject.
    pub rejected_share: f64,
    /// Retry budget of the fleet.
    pub budget: BudgetSettings,
    /// Simulated time.
    pub length: Duration,
    /// Faults and when they begin, in order.
    pub faults: Vec<(Duration, RetryFault)>,
    /// A bug to simulate.
    pub bug: Option<RetryBug>,
}

/// What happened in a simulation of retries.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RetryOutcome {
    /// Times at which callers sent requests.
    pub requests: Vec<Duration>,
    /// Times at which retries arrived at replicas.
    pub retries: Vec<Duration>,
    /// Retries that the budget did not allow.
    pub withheld: u64,
}

impl RetryOutcome {
    /// Returns the first window with more retries than the budget of the fleet allows.
    pub fn first_excess(&self, budget: &BudgetSettings) -> Option<BudgetExcess> {
        budget.first_excess(&self.requests, &self.retries)
    }
}

struct Simulation<'a> {
    load: &'a RetryLoad,
    random: Pcg32,
    now: Duration,
    routers: Vec<Router>,
    store: Store,
    /// Share of the callers that reach the first router.
    funnel: f64,
    /// Multiple of the usual requests, and until when.
    burst: (f64, Duration),
    outcome: RetryOutcome,
}

/// Simulates a load; equal seeds give equal results.
///
/// ```
/// use std::time::Duration;
/// use teaselworks_model::{RetryLoad, run_retries};
/// use teaselworks_policy::retry::BudgetSettings;
///
/// let window = Duration::from_secs(10);
/// let load = RetryLoad {
///     routers: 3,
///     requests_per_s: 50.0,
///     rejected_share: 0.5,
///     budget: BudgetSettings { ratio: 0.2, slack: 10.0, window },
///     length: Duration::from_secs(5),
///     faults: Vec::new(),
///     bug: None,
/// };
/// let outcome = run_retries(&load, 1);
/// assert_eq!(outcome.first_excess(&load.budget), None);
/// ```
pub fn run_retries(load: &RetryLoad, seed: u64) -> RetryOutcome {
    Simulation::new(load, seed).run()
}

impl<'a> Simulation<'a> {
    fn new(load: &'a RetryLoad, seed: u64) -> Self {
        let mut random = Pcg32::seed_from_u64(seed);
        let routers = (0..load.routers)
            .map(|number| Router::start(number, Duration::ZERO, load.budget, &mut random))
            .collect();
        Self {
            load,
            random,
            now: Duration::ZERO,
            routers,
            store: Store::default(),
            funnel: 0.0,
            burst: (1.0, Duration::ZERO),
            outcome: RetryOutcome::default(),
        }
    }

    fn run(mut self) -> RetryOutcome {
        let mut faults = self.load.faults.iter().copied().peekable();
        while self.now < self.load.length {
            while let Some((_, fault)) = faults.next_if(|(at, _)| *at <= self.now) {
                self.begin(fault);
            }
            if self.now.as_millis().is_multiple_of(LIST_INTERVAL.as_millis()) {
                self.update_lists();
            }
            self.send_requests();
            self.now += TICK;
        }
        self.outcome
    }

    fn begin(&mut self, fault: RetryFault) {
        let now = self.now;
        match fault {
            RetryFault::Kill(share) => {
                self.some_routers(share).for_each(|router| router.kill(now + RESTART_DELAY));
            }
            RetryFault::Stop(share) => {
                for number in self.some_numbers(share) {
                    self.routers[number].stop(now + STOP_TIME);
                    self.store.remove(now, number);
                }
            }
            RetryFault::Suspend(share, lasts) => {
                self.some_routers(share).for_each(|router| router.suspend(now, now + lasts));
            }
            RetryFault::CutOff(share, lasts) => {
                self.some_routers(share).for_each(|router| router.cut_off_until = now + lasts);
            }
            RetryFault::StoreAway(lasts) => self.store.go_away(now + lasts, false),
            RetryFault::StoreLapses(lasts) => self.store.go_away(now + lasts, true),
            RetryFault::Burst(factor, lasts) => self.burst = (factor, now + lasts),
            RetryFault::Funnel(share) => self.funnel = share,
        }
    }

    /// Returns the numbers of a share of the routers, chosen at random.
    fn some_numbers(&mut self, share: f64) -> Vec<usize> {
        let count = self.routers.len();
        (0..count).filter(|_| self.random.random_bool(share)).collect()
    }

    fn some_routers(&mut self, share: f64) -> impl Iterator<Item = &mut Router> {
        let numbers = self.some_numbers(share);
        let routers = self.routers.iter_mut().enumerate();
        routers.filter(move |(number, _)| numbers.contains(number)).map(|(_, router)| router)
    }

    /// Expires leases, restarts processes, and lets routers register and read the list.
    fn update_lists(&mut self) {
        let now = self.now;
        self.store.expire_leases(now);
        // A router that does not reach the store has the list of one that runs.
        let shared = self.routers.iter().filter_map(Router::shared_list).max();
        for (number, router) in self.routers.iter_mut().enumerate() {
            if router.is_due_to_restart(now) {
                *router = router.restart(now, self.load.budget, &mut self.random);
            }
            if router.is_running(now) {
                router.update(now, number, &mut self.store, shared);
            }
        }
    }

    fn send_requests(&mut self) {
        let (factor, until) = self.burst;
        let factor = if self.now < until { factor } else { 1.0 };
        let expected = self.load.requests_per_s * factor * TICK.as_secs_f64();
        let mut count = expected as u32;
        count += u32::from(self.random.random_bool(expected.fract()));
        for _ in 0..count {
            self.send_request();
        }
    }

    /// Sends a request of a caller to a router, which sends it to replicas until one accepts it.
    fn send_request(&mut self) {
        self.outcome.requests.push(self.now);
        let Some(number) = self.choose_router() else { return };
        let router = &mut self.routers[number];
        router.on_request(self.now);
        for attempt in 1..=MAX_ATTEMPTS {
            if attempt > 1 {
                self.outcome.retries.push(self.now);
            }
            let is_rejected = self.random.random_bool(self.load.rejected_share);
            if !is_rejected || attempt == MAX_ATTEMPTS {
                return;
            }
            if !router.try_take_retry(self.now, self.load.bug) {
                self.outcome.withheld += 1;
                return;
            }
        }
    }

    /// Chooses the router that a caller reaches: one that runs.
    fn choose_router(&mut self) -> Option<usize> {
        if self.random.random_bool(self.funnel) && self.routers[0].is_running(self.now) {
            return Some(0);
        }
        let count = self.routers.len();
        let first = self.random.random_range(0..count);
        let mut numbers = (first..first + count).map(|number| number % count);
        numbers.find(|number| self.routers[*number].is_running(self.now))
    }
}
