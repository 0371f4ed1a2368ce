//! Limits of workspaces over many routers: overshoot, concurrency, and what is forgotten.

use std::collections::VecDeque;
use std::time::Duration;

use proptest::prelude::*;
use rand::RngExt;
use rand_pcg::Pcg32;
use teaselworks_policy::admission::bucket::BURST;
use teaselworks_policy::admission::lending::{
    BASE_FRACTION, FleetLimits, LEAST_BURST, Lender, base_share,
};
use teaselworks_policy::admission::limits::{Limits, Permit, Shortage, Work, WorkspaceLimiter};
use teaselworks_policy::admission::loan::{Ask, Grant, LOAN_VALIDITY, Settlement};
use teaselworks_policy::admission::open::OpenShare;
use teaselworks_policy::name::Name;
use teaselworks_policy::verdict::RefusalReason;

fn size_bytes(message: &impl serde::Serialize) -> usize {
    let mut bytes = Vec::new();
    ciborium::into_writer(message, &mut bytes).unwrap();
    bytes.len()
}

/// Routers before one owner, which answers at once or cannot be reached.
struct Fleet {
    routers: Vec<WorkspaceLimiter>,
    lender: Lender,
    limits: FleetLimits,
    reachable: bool,
    asks: u32,
    control_bytes: usize,
}

impl Fleet {
    fn new(limits: FleetLimits) -> Self {
        let routers = (0..limits.live_routers).map(|seed| WorkspaceLimiter::new(seed.into()));
        let routers = routers.collect();
        Self {
            routers,
            lender: Lender::new(1 << 40),
            limits,
            reachable: true,
            asks: 0,
            control_bytes: 0,
        }
    }

    fn router_limits(&self) -> Limits {
        Limits {
            requests_per_s: self.limits.requests_per_s,
            tokens_per_s: self.limits.tokens_per_s,
            concurrent_requests: self.limits.concurrent_requests,
            share: base_share(self.limits.live_routers),
            owner_reachable: self.reachable,
            owner: 1,
            open: OpenShare::NONE,
        }
    }

    fn take(
        &mut self,
        now: Duration,
        router: usize,
        name: &Name,
        tokens: u64,
    ) -> Result<Permit, Box<Shortage>> {
        let limits = self.router_limits();
        let work = Work { tokens, deadline_left: Duration::from_secs(60) };
        let router = &mut self.routers[router];
        let shortage = match router.try_take(now, name, &limits, work) {
            Ok(permit) => return Ok(permit),
            Err(shortage) => shortage,
        };
        let Some(ask) = &shortage.ask else { return Err(shortage) };
        self.asks += 1;
        self.control_bytes += size_bytes(ask);
        let grant = self.lender.lend(now, Duration::ZERO, &self.limits, ask);
        self.control_bytes += size_bytes(&grant);
        let taken = router.take_lent(now, name, &limits, work, &grant);
        if let Err(shortage) = &taken
            && let Some(settlement) = &shortage.give_back
        {
            self.lender.settle(settlement);
        }
        taken
    }
}

fn limits(
    routers: u32,
    requests: Option<f64>,
    tokens: Option<f64>,
    slots: Option<u32>,
) -> FleetLimits {
    FleetLimits {
        requests_per_s: requests,
        tokens_per_s: tokens,
        concurrent_requests: slots,
        live_routers: routers,
    }
}

/// Checks that no window of time sees more than the rate and the stated overshoot.
struct Window {
    per_s: f64,
    most: f64,
    level: f64,
    updated: Duration,
}

impl Window {
    fn new(per_s: f64, longest: f64) -> Self {
        let most = per_s * (BURST + LOAN_VALIDITY).as_secs_f64() + LEAST_BURST * longest;
        Self { per_s, most, level: 0.0, updated: Duration::ZERO }
    }

    fn admit(&mut self, now: Duration, amount: f64) -> bool {
        let elapsed_s = (now - self.updated).as_secs_f64();
        self.level = (self.level - elapsed_s * self.per_s).max(0.0) + amount;
        self.updated = now;
        self.level <= self.most + 1e-6
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    // Symptom: a workspace gets several times its limit since each router lets some of it pass.
    // Sequence: a surge far above the limit is sprayed over few or many routers; the owner is
    // reachable. Cause: each router grants at least one request, or lent allowance never lapses.
    #[test]
    fn lending_keeps_a_surge_within_the_stated_overshoot(
        routers in prop_oneof![1..9_u32, Just(410_u32)],
        per_s in prop_oneof![1..5_u32, 5..400_u32],
        gaps_us in proptest::collection::vec(
            prop_oneof![200 => 0..5_000_u64, 1 => Just(3_000_000_u64)],
            1..3_000,
        ),
        spray in any::<u64>(),
        tokens_each in prop_oneof![Just(10.0), Just(300.0)],
    ) {
        let per_s = f64::from(per_s);
        let mut fleet = Fleet::new(limits(routers, Some(per_s), Some(per_s * tokens_each), None));
        let name: Name = "surge".into();
        let mut now = Duration::ZERO;
        let mut requests = Window::new(per_s, 1.0);
        let mut tokens = Window::new(per_s * tokens_each, 300.0);
        for (count, gap_us) in gaps_us.iter().enumerate() {
            now += Duration::from_micros(*gap_us);
            let router = (count as u64).wrapping_mul(spray | 1) % u64::from(routers);
            let work = gap_us % 300 + 1;
            if fleet.take(now, router as usize, &name, work).is_ok() {
                prop_assert!(requests.admit(now, 1.0), "{} requests", requests.level);
                prop_assert!(tokens.admit(now, work as f64), "{} tokens", tokens.level);
            }
        }
    }

    // Symptom: more requests of a workspace run at once than its limit, or a slot is lost for good.
    // Sequence: requests begin and end at any router; returns of slots arrive late, twice, or never
    // before the lease ends. Cause: rounding of shares, or a slot counted free twice.
    #[test]
    fn concurrency_is_never_exceeded_and_slots_come_back(
        routers in prop_oneof![1..9_u32, Just(410_u32)],
        limit in 1..40_u32,
        steps in proptest::collection::vec((0..4_u8, any::<u32>()), 1..400),
    ) {
        let mut fleet = Fleet::new(limits(routers, None, None, Some(limit)));
        let name: Name = "school".into();
        let mut running: Vec<(usize, Permit)> = Vec::new();
        let mut returns: VecDeque<Settlement> = VecDeque::new();
        let mut now = Duration::ZERO;
        for (step, choice) in steps {
            now += Duration::from_millis(20);
            match step {
                0..=1 => {
                    let router = (choice % routers) as usize;
                    if let Ok(permit) = fleet.take(now, router, &name, 1) {
                        running.push((router, permit));
                    }
                }
                2 if !running.is_empty() => {
                    let (router, permit) = running.swap_remove(choice as usize % running.len());
                    returns.extend(fleet.routers[router].release(now, permit));
                }
                _ => {
                    if let Some(settlement) = returns.pop_front() {
                        fleet.lender.settle(&settlement);
                        fleet.lender.settle(&settlement);
                    }
                }
            }
            prop_assert!(running.len() <= limit as usize);
        }
        for (router, permit) in running.drain(..) {
            fleet.routers[router].release(now, permit);
        }
        now += Duration::from_secs(61);
        let mut again = 0;
        for round in 0..limit * 2 {
            now += Duration::from_secs(6);
            if let Ok(permit) = fleet.take(now, (round % routers) as usize, &name, 1) {
                running.push((0, permit));
                again += 1;
            }
            if again == 8 {
                break;
            }
        }
        prop_assert!(again >= limit.min(8) / 2);
    }

    // Symptom: a workspace passes its limit by being quiet for a while, or is refused for it.
    // Sequence: its state is dropped among many others' and made anew. Cause: state is dropped
    // while it still says something.
    #[test]
    fn forgetting_idle_workspaces_changes_no_decision(
        steps in proptest::collection::vec((0..6_usize, 0..900_u64, 1..400_u64), 1..300),
        others in 100..1_000_usize,
    ) {
        let limits = Limits {
            requests_per_s: Some(4.0),
            tokens_per_s: Some(400.0),
            concurrent_requests: Some(6),
            share: 0.5,
            owner_reachable: false,
            owner: 1,
            open: OpenShare::NONE,
        };
        let free = Limits { requests_per_s: None, tokens_per_s: None, ..limits };
        let (mut small, mut large) = (WorkspaceLimiter::new(1), WorkspaceLimiter::new(1));
        let mut now = Duration::ZERO;
        for (count, (workspace, gap_ms, tokens)) in steps.into_iter().enumerate() {
            now += Duration::from_millis(gap_ms);
            let work = Work { tokens, deadline_left: Duration::from_secs(9) };
            let name: Name = format!("w{workspace}").as_str().into();
            let decide = |limiter: &mut WorkspaceLimiter| {
                let taken = limiter.try_take(now, &name, &limits, work);
                let reason = taken.as_ref().err().map(|shortage| shortage.refusal.reason);
                if let Ok(mut permit) = taken {
                    limiter.settle(now, &mut permit, &limits, tokens / 2);
                    limiter.release(now, permit);
                }
                reason
            };
            prop_assert_eq!(decide(&mut small), decide(&mut large));
            for other in 0..others / 50 {
                let name = format!("other{count}-{other}").as_str().into();
                let permit = large.try_take(now, &name, &free, work).unwrap();
                large.release(now, permit);
            }
            prop_assert!(large.len() <= 2 * (6 + others / 50) + 128);
        }
    }
}

// Symptom: a workspace without traffic elsewhere gets a fraction of its limit, or none in an
// outage of its owner. Sequence: all of its requests come through one of 410 routers, first with
// the owner reachable, then without. Cause: the limit is split evenly and never lent.
#[test]
fn one_router_gets_what_is_lent_and_one_request_without_the_owner() {
    let mut fleet = Fleet::new(limits(410, Some(50.0), None, Some(4)));
    let name: Name = "school".into();
    let mut admitted = 0;
    for tenth_ms in 0..100_000 {
        let now = Duration::from_micros(100 * tenth_ms);
        if tenth_ms % 100 != 0 {
            continue;
        }
        if let Ok(permit) = fleet.take(now, 7, &name, 1) {
            admitted += 1;
            let settlement = fleet.routers[7].release(now, permit).unwrap();
            fleet.lender.settle(&settlement);
        }
    }
    let least = 10.0 * 50.0 * (1.0 - BASE_FRACTION) * 0.9;
    assert!(f64::from(admitted) >= least, "{admitted} of {least}");

    fleet.reachable = false;
    let now = Duration::from_secs(20);
    let permit = fleet.take(now, 9, &name, 1).unwrap();
    let refusal = fleet.take(now, 9, &name, 1).unwrap_err();
    assert_eq!((refusal.refusal.reason, refusal.ask), (RefusalReason::Concurrency, None));
    assert_eq!(fleet.routers[9].release(now, permit), None);

    // A long request is granted too, but its share has to make up for all of it.
    fleet.limits = limits(410, None, Some(100.0), None);
    assert!(fleet.take(now, 9, &name, 5_000).is_ok());
    let refused = fleet.take(now + Duration::from_secs(60), 9, &name, 1).unwrap_err();
    assert_eq!(refused.refusal.reason, RefusalReason::TokenRate);
}

// Symptom: a surging workspace floods its owner with permits to deny.
// Sequence: 8 routers each get 1,000 requests a second of a workspace limited to 10.
// Cause: each refused request asks again.
#[test]
fn asks_stay_few_under_a_surge() {
    let mut fleet = Fleet::new(limits(8, Some(10.0), None, None));
    let name: Name = "surge".into();
    for ms in 0..10_000 {
        let router = (ms % 8) as usize;
        let _refused = fleet.take(Duration::from_millis(ms), router, &name, 1).is_err();
    }
    let per_router_s = f64::from(fleet.asks) / 8.0 / 10.0;
    assert!(per_router_s <= 20.0, "{per_router_s} asks a router a second");
}

// Symptom: a workspace that passes its rate is told of too many in progress, and its owner is asked
// for each request though it denied a moment ago. Sequence: 1,000 requests a second reach one of
// 410 routers, which needs a slot for each; the rate is spent, the slots are not. Cause: the router
// compares the reason of the denial with what it lacks itself, which is a slot.
#[test]
fn a_spent_rate_is_told_and_not_asked_for_again() {
    let mut fleet = Fleet::new(limits(410, Some(10.0), None, Some(1_000)));
    let name: Name = "surge".into();
    for ms in 0..10_000 {
        let now = Duration::from_secs(60) + Duration::from_millis(ms);
        if let Err(shortage) = fleet.take(now, 7, &name, 1) {
            assert_eq!(shortage.refusal.reason, RefusalReason::RequestRate);
        }
    }
    // Each of 8 granted a second and of the 16 saved up is asked for, and 20 denials a second.
    assert!(fleet.asks <= 300, "{} asks", fleet.asks);
}

// Symptom: a workspace that keeps to its concurrency limit gets a third of it.
// Sequence: one caller more than the limit allows asks at one router, each anew as soon as it was
// answered or refused. Cause: after a denial the router does not ask, though it gave slots back.
#[test]
fn a_limit_on_concurrency_is_used_up_under_overload() {
    let mut fleet = Fleet::new(limits(8, None, None, Some(4)));
    let name: Name = "quotes".into();
    let mut running: VecDeque<(Duration, Permit)> = VecDeque::new();
    let (mut used, mut callers) = (0, 5);
    for ms in 0..10_000 {
        let now = Duration::from_millis(ms);
        while running.front().is_some_and(|(end, _)| *end <= now) {
            let (_, permit) = running.pop_front().unwrap();
            callers += 1;
            fleet.lender.settle(&fleet.routers[0].release(now, permit).unwrap());
        }
        if callers > 0
            && let Ok(permit) = fleet.take(now, 0, &name, 1)
        {
            callers -= 1;
            running.push_back((now + Duration::from_millis(50), permit));
        }
        used += running.len();
    }
    assert!(used >= 9 * 4 * 10_000 / 10, "{used} of {}", 4 * 10_000);
    assert!(fleet.asks <= 1_600, "{} asks", fleet.asks);
}

// Symptom: a workspace's burst is granted twice when its owner changes.
// Sequence: the old owner lends all; a new one takes over and is asked at once; later the first
// one is the owner again. Cause: the new owner starts with a full bucket, or the old one's filled
// while another router lent.
#[test]
fn a_new_owner_starts_with_one_request_to_lend() {
    let limits = limits(8, Some(10.0), None, None);
    let workspace = "school".into();
    let ask = Ask { workspace, requests: 16, tokens: 0, slot: false, slot_lease_ms: 0, wish: None };
    let since = Duration::from_secs(100);
    let mut lender = Lender::new(1);
    let second = Duration::from_secs(1);
    for since in [since, since + 10 * second] {
        let lent = lender.lend(since, since, &limits, &ask);
        assert_eq!(lent, Grant::Lent { requests: 1, tokens: 0, slot: None, scarce: true });
        let denied = lender.lend(since, since, &limits, &ask);
        assert!(matches!(denied, Grant::Denied { reason: RefusalReason::RequestRate, .. }));
        let lent = lender.lend(since + second, since, &limits, &ask);
        assert_eq!(lent, Grant::Lent { requests: 8, tokens: 0, slot: None, scarce: true });
    }
}

// Symptom: slots of the concurrency limit vanish until a deadline of minutes; or allowance that
// was lent long ago is used in one go. Sequence: a grant comes for a request that has grown or is
// gone, or is followed by others before it lapses. Cause: nobody gives the slot back; each new
// grant makes the older ones live longer.
#[test]
fn what_was_lent_in_vain_is_given_back_or_lapses() {
    let fleet = Fleet::new(limits(410, Some(10.0), Some(100.0), Some(1)));
    let (limits, name) = (fleet.router_limits(), Name::from("school"));
    let work = |tokens| Work { tokens, deadline_left: Duration::from_secs(60) };
    let grant = |requests, slot| Grant::Lent { requests, tokens: 50, slot, scarce: false };
    let given_back = |slot| Some(Settlement { workspace: "school".into(), slot, extra_tokens: 0 });
    let mut router = WorkspaceLimiter::new(1);
    let start = Duration::ZERO;
    let shortage =
        router.take_lent(start, &name, &limits, work(90), &grant(9, Some(5))).unwrap_err();
    assert_eq!(shortage.give_back, given_back(Some(5)));
    let at = Duration::from_millis(900);
    assert_eq!(router.discard(at, &name, &grant(1, Some(6))), given_back(Some(6)));
    let limits = Limits { concurrent_requests: None, ..limits };
    let mut permit = router.try_take(at, &name, &limits, work(90)).unwrap();
    router.settle(at, &mut permit, &limits, 70);
    assert_eq!(router.release(at, permit).unwrap().extra_tokens, -20);
    assert!(router.try_take(start + LOAN_VALIDITY, &name, &limits, work(1)).is_err());
}

// Symptom: asking for allowance takes the routers' whole budget of control traffic, or their
// memory grows with the workspaces of the fleet. Sequence: 410 routers, 18,000 workspaces with a
// Zipf share of 9,800 requests a second, each with every kind of limit; a balancer that sprays.
// Cause: long messages, or several for a request; state that is kept.
#[test]
fn lending_at_full_size_stays_within_its_control_budget() {
    const SECONDS: u64 = 5;
    let harmonic: f64 = (1..=18_000).map(|rank| 1.0 / f64::from(rank)).sum();
    let demand = |rank: u32| 9_800.0 / harmonic / f64::from(rank + 1);
    let upto: Vec<f64> = (0..18_000)
        .scan(0.0, |sum, rank| {
            *sum += demand(rank);
            Some(*sum)
        })
        .collect();
    let mut fleet = Fleet::new(limits(410, None, None, None));
    let mut rng = Pcg32::new(1, 1);
    let mut refused = 0;
    let mut ending: VecDeque<(Duration, usize, Permit)> = VecDeque::new();
    for count in 0..9_800 * SECONDS {
        let now = Duration::from_secs(100) + Duration::from_micros(count * 1_000_000 / 9_800);
        while let Some((at, router, permit)) = ending.pop_front() {
            if at > now {
                ending.push_front((at, router, permit));
                break;
            }
            if let Some(settlement) = fleet.routers[router].release(now, permit) {
                fleet.control_bytes += size_bytes(&settlement);
                fleet.lender.settle(&settlement);
            }
        }
        let drawn = rng.random_range(0.0..9_800.0);
        let rank = upto.partition_point(|upto| *upto < drawn).min(17_999) as u32;
        let per_s = (2.0 * demand(rank)).max(1.0);
        fleet.limits.requests_per_s = Some(per_s);
        fleet.limits.tokens_per_s = Some(per_s * 2_000.0);
        fleet.limits.concurrent_requests = Some((per_s * 8.0).ceil() as u32);
        let router = rng.random_range(0..410_usize);
        let name: Name = format!("workspace-{rank}").as_str().into();
        match fleet.take(now, router, &name, rng.random_range(100..3_900)) {
            Ok(permit) => ending.push_back((now + Duration::from_secs(2), router, permit)),
            Err(_) => refused += 1,
        }
    }
    let per_router_s = |sum: f64| sum / 410.0 / SECONDS as f64;
    let bytes_per_s = per_router_s(fleet.control_bytes as f64);
    let held = fleet.routers.iter().map(WorkspaceLimiter::len).max().unwrap();
    println!(
        "{:.1} asks and {bytes_per_s:.0} bytes a router a second, {refused} of {} refused, \
         at most {held} workspaces held by a router",
        per_router_s(f64::from(fleet.asks)),
        9_800 * SECONDS,
    );
    assert!(bytes_per_s < 2_000.0);
    assert!(held < 400);
    assert!(refused < 9_800 * SECONDS / 50);
}
