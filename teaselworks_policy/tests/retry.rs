//! Retries: safety, budgets, deadlines and circuits.

use std::collections::HashMap;
use std::time::Duration;

use proptest::prelude::*;
use rand_pcg::Pcg32;
use teaselworks_policy::attempt::{Assembly, Event, RequestTraits, Step};
use teaselworks_policy::name::{AttemptId, Name};
use teaselworks_policy::retry::breaker::{Breaker, BreakerState, is_upstream_failure};
use teaselworks_policy::retry::budget::{BudgetSettings, REFILL, RetryBudget};
use teaselworks_policy::retry::{
    Continuation, Failure, RetryDecision, RetryPolicy, RetryReason, RetrySettings,
};
use teaselworks_policy::verdict::{Refusal, RefusalReason, Verdict};

const BUDGET: BudgetSettings =
    BudgetSettings { ratio: 0.1, workspace_burst: 5.0, overall_burst: 12.0 };

fn policy(attempts: u32) -> RetryPolicy {
    RetryPolicy::new(RetrySettings { budget: BUDGET, attempts })
}

fn verdict() -> impl Strategy<Value = Verdict> {
    prop_oneof![Just(Verdict::NotRun), Just(Verdict::MayHaveRun), Just(Verdict::Ran)]
}

fn continuation() -> impl Strategy<Value = Continuation> {
    prop_oneof![
        Just(Continuation::Never),
        Just(Continuation::Restart),
        Just(Continuation::Regenerate),
        Just(Continuation::Resume)
    ]
}

prop_compose! {
    fn failure()(
        (verdict, earlier_verdict, continuation) in (verdict(), verdict(), continuation()),
        reason in prop_oneof![
            Just(RefusalReason::UpstreamFailed),
            proptest::sample::select(RefusalReason::ALL.to_vec()),
        ],
        (idempotent, reached_caller) in any::<(bool, bool)>(),
        (left_ms, attempt, tokens) in (prop_oneof![0..20_u64, 0..2_000_u64], 0..5_u32, 0..3_u64),
        (redirects, retry_after_ms) in (0..3_u32, proptest::option::of(1..9_000_u64)),
    ) -> Failure {
        Failure {
            workspace: "school".into(),
            verdict,
            earlier_verdict,
            reason,
            idempotent,
            continuation,
            deadline_left: Duration::from_millis(left_ms),
            attempt,
            retries: attempt.saturating_sub(redirects),
            reached_caller_tokens: if reached_caller { tokens } else { 0 },
            reached_caller,
            retry_after_ms,
        }
    }
}

/// Checks that a window holds no more retries than its requests and its length earn.
#[derive(Default)]
struct Window {
    spent: f64,
    updated: Duration,
}

impl Window {
    fn earn(&mut self, now: Duration, requests: f64, burst: f64) {
        let by_time = burst * (now - self.updated).as_secs_f64() / REFILL.as_secs_f64();
        self.spent = (self.spent - by_time - requests * BUDGET.ratio).max(0.0);
        self.updated = now;
    }

    fn spend(&mut self, now: Duration, burst: f64) -> bool {
        self.earn(now, 0.0, burst);
        self.spent += 1.0;
        self.spent <= burst + 1e-6
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(1_000))]

    // Symptom: a booking is made twice; a caller gets an answer joined from two; a retry starts
    // that cannot end in time. Sequence: any failure at any point of a request.
    // Cause: the decision looks at the last failure's reason alone.
    #[test]
    fn a_retry_is_safe_in_time_and_joins_the_answer(failure in failure(), seed in any::<u64>()) {
        let worst = failure.verdict.max(failure.earlier_verdict);
        let safe = failure.idempotent || worst == Verdict::NotRun;
        match policy(4).decide(Duration::ZERO, &failure, &mut Pcg32::new(seed, 1)) {
            RetryDecision::Retry { delay, reason } => {
                prop_assert!(safe);
                prop_assert!(delay < failure.deadline_left);
                prop_assert!(failure.retries < 3 || reason.is_redirect());
                prop_assert!(!reason.is_redirect() || delay.is_zero());
                let joins = match failure.continuation {
                    Continuation::Never => !failure.reached_caller,
                    Continuation::Restart => failure.reached_caller_tokens == 0,
                    Continuation::Regenerate | Continuation::Resume => true,
                };
                prop_assert!(joins);
            }
            RetryDecision::GiveUp(refusal) => {
                prop_assert_eq!(refusal.verdict, worst);
                prop_assert!(safe || refusal.retry_after_ms.is_none());
            }
        }
    }

    // Symptom: upstreams fail and routers send them a multiple of the load.
    // Sequence: requests of several workspaces fail again and again, with pauses.
    // Cause: each request decides on its retries by itself.
    #[test]
    fn budgets_are_never_exceeded(
        steps in proptest::collection::vec((0..4_usize, any::<bool>(), 0..3_000_u64), 1..400),
    ) {
        let mut policy = policy(u32::MAX);
        let mut now = Duration::ZERO;
        let (mut overall, mut own) = (Window::default(), HashMap::<Name, Window>::new());
        for (workspace, is_request, gap_ms) in steps {
            now += Duration::from_millis(gap_ms * gap_ms / 3_000);
            let workspace: Name = format!("w{workspace}").as_str().into();
            let window = own.entry(workspace.clone()).or_default();
            if is_request {
                policy.on_request(now, &workspace);
                overall.earn(now, 1.0, BUDGET.overall_burst);
                window.earn(now, 1.0, BUDGET.workspace_burst);
                continue;
            }
            let failure = Failure { workspace, ..unreachable(0) };
            let decision = policy.decide(now, &failure, &mut Pcg32::new(1, 1));
            if matches!(decision, RetryDecision::Retry { .. }) {
                prop_assert!(overall.spend(now, BUDGET.overall_burst));
                prop_assert!(window.spend(now, BUDGET.workspace_burst));
            }
        }
    }

    // Symptom: a workspace is refused retries, or gets too many, depending on how many others
    // passed through. Sequence: its balance is dropped and made anew. Cause: it was not full.
    #[test]
    fn forgetting_full_balances_changes_no_decision(
        steps in proptest::collection::vec((0..3_usize, any::<bool>(), 0..9_000_u64), 1..200),
    ) {
        let settings = BudgetSettings { overall_burst: 1e9, ..BUDGET };
        let (mut small, mut large) = (RetryBudget::new(settings), RetryBudget::new(settings));
        let mut now = Duration::ZERO;
        for (count, (workspace, is_request, gap_ms)) in steps.into_iter().enumerate() {
            now += Duration::from_millis(gap_ms);
            let workspace: Name = format!("w{workspace}").as_str().into();
            if is_request {
                small.on_request(now, &workspace);
                large.on_request(now, &workspace);
            } else {
                prop_assert_eq!(small.try_take(now, &workspace), large.try_take(now, &workspace));
            }
            for other in 0..9 {
                large.try_take(now, &format!("other{count}-{other}").as_str().into());
            }
            prop_assert!(large.len() <= 512, "{}", large.len());
        }
    }

    // Symptom: a booking runs twice; or "not run" is answered for one that ran.
    // Sequence: attempts are refused, break before or after they were sent, or run and lose their
    // answer; each failure is decided on. Cause: a verdict is guessed.
    #[test]
    fn the_final_verdict_agrees_with_the_runs_counted(
        fates in proptest::collection::vec(0..6_u8, 8),
        idempotent in any::<bool>(),
        seed in any::<u64>(),
    ) {
        let mut policy = policy(5);
        let mut rng = Pcg32::new(seed, 1);
        let workspace: Name = "weddings".into();
        policy.on_request(Duration::ZERO, &workspace);
        let traits = RequestTraits { workspace, idempotent, continuation: Continuation::Never };
        let id = AttemptId { router: "a".into(), incarnation: 7, sequence: 1, attempt: 0 };
        let mut assembly = Assembly::new(id);
        let (mut runs, mut outcomes) = (0, Vec::new());
        // A search that never ends by itself ends after 64 redirects and five attempts.
        for fate in fates.into_iter().cycle().take(70) {
            let attempt = assembly.attempt().clone();
            if fate > 0 {
                assembly.sending();
            }
            runs += u32::from(fate >= 3);
            let refusal = Refusal::not_run(RefusalReason::OverBound, None, "full");
            let events = match fate {
                1 => vec![Event::Refused(refusal)],
                4 => vec![Event::Head { status: 200 }],
                5 => vec![
                    Event::Head { status: 200 },
                    Event::Finish { size_bytes: 0, output_tokens: None },
                ],
                _ => vec![],
            };
            let mut last = Step::Skip;
            for event in events.iter().chain([&Event::Lost]) {
                match assembly.accept(&attempt, event) {
                    Step::Drop(_) => {}
                    step => last = step,
                }
            }
            let Step::Fail(fault) = last else {
                outcomes.push(Verdict::Ran);
                break;
            };
            let failure = assembly.failure(&fault, &traits, Duration::from_secs(9));
            match policy.decide(Duration::ZERO, &failure, &mut rng) {
                RetryDecision::Retry { .. } => {
                    prop_assert!(assembly.next_attempt(traits.continuation).is_some());
                }
                RetryDecision::GiveUp(refusal) => {
                    prop_assert!(assembly.end());
                    outcomes.push(refusal.verdict);
                    break;
                }
            }
        }
        prop_assert_eq!(outcomes.len(), 1);
        prop_assert!(idempotent || runs <= 1);
        prop_assert!(outcomes[0] != Verdict::NotRun || runs == 0);
        prop_assert!(outcomes[0] != Verdict::Ran || runs > 0);
    }

    // Symptom: a returning upstream is hit by all its work at once, or never gets any again.
    // Sequence: attempts pass, succeed, fail, are cancelled or never heard of, at any time, also
    // long after the circuit changed. Cause: results are counted without asking whose they are.
    #[test]
    fn a_circuit_admits_one_trial_and_always_closes_again(
        steps in proptest::collection::vec((0..8_u8, 0..2_000_u64, any::<u32>()), 1..400),
    ) {
        let mut breaker = Breaker::default();
        let mut now = Duration::ZERO;
        let mut passes = Vec::new();
        let mut trial_at: Option<Duration> = None;
        for (step, gap_ms, choice) in steps {
            now += Duration::from_millis(gap_ms);
            let was = breaker.state();
            if step < 4 {
                let pass = breaker.allow(now);
                if let Some(pass) = pass && breaker.state() == BreakerState::HalfOpen {
                    let lost = Duration::from_secs(10);
                    prop_assert!(trial_at.is_none_or(|at| now >= at + lost));
                    trial_at = Some(now);
                    passes.push((pass, true));
                } else if let Some(pass) = pass {
                    prop_assert_eq!(breaker.state(), BreakerState::Closed);
                    passes.push((pass, false));
                }
            } else if !passes.is_empty() {
                let (pass, is_trial) = passes.swap_remove(choice as usize % passes.len());
                match step {
                    4 => breaker.success(now, pass),
                    5..=6 => breaker.failure(now, pass),
                    _ => breaker.cancelled(pass),
                }
                let changed = breaker.state() != was;
                prop_assert!(!changed || is_trial || was == BreakerState::Closed);
                if is_trial && (changed || step == 7) {
                    trial_at = None;
                }
            }
            let share = breaker.work_share(now);
            prop_assert!((0.0..=1.0).contains(&share));
            prop_assert_eq!(share == 0.0, breaker.state() == BreakerState::Open);
        }
        now += Duration::from_secs(40);
        if let Some(pass) = breaker.allow(now) {
            breaker.success(now, pass);
        }
        prop_assert_eq!(breaker.state(), BreakerState::Closed);
        prop_assert_eq!(breaker.work_share(now + Duration::from_secs(10)), 1.0);
    }
}

fn unreachable(attempt: u32) -> Failure {
    Failure {
        workspace: "school".into(),
        verdict: Verdict::NotRun,
        earlier_verdict: Verdict::NotRun,
        reason: RefusalReason::UpstreamUnreachable,
        idempotent: true,
        continuation: Continuation::Resume,
        deadline_left: Duration::from_secs(60),
        attempt,
        retries: attempt,
        reached_caller_tokens: 0,
        reached_caller: false,
        retry_after_ms: None,
    }
}

// Symptom: all upstreams fail for a minute and get two or three times the requests.
// Sequence: 1,000 requests of ten workspaces, every attempt of which fails.
// Cause: retries are limited for each request only.
#[test]
fn a_total_failure_is_amplified_by_the_ratio_alone() {
    let mut policy = policy(4);
    let mut retries = 0;
    for count in 0..1_000 {
        let workspace: Name = format!("w{}", count % 10).as_str().into();
        policy.on_request(Duration::ZERO, &workspace);
        for attempt in 0..9 {
            let failure = Failure { workspace: workspace.clone(), ..unreachable(attempt) };
            match policy.decide(Duration::ZERO, &failure, &mut Pcg32::new(1, 1)) {
                RetryDecision::Retry { .. } => retries += 1,
                RetryDecision::GiveUp(refusal) => {
                    assert!(refusal.retry_after_ms.is_some());
                    break;
                }
            }
        }
    }
    assert!((100..=112).contains(&retries), "{retries}");
}

// Symptom: a full fleet answers "retry budget spent" where only the next replica had to be asked.
// Sequence: owners refuse for want of room; the budget is spent. Cause: being turned away, which
// costs no upstream work, is charged like a retry.
#[test]
fn redirects_cost_no_budget_and_no_pause() {
    let mut policy = policy(100);
    let mut rng = Pcg32::new(1, 1);
    let turned_away = Failure { reason: RefusalReason::OverBound, ..unreachable(0) };
    for _ in 0..50 {
        let decision = policy.decide(Duration::ZERO, &turned_away, &mut rng);
        let (reason, delay) = (RetryReason::NextCandidate, Duration::ZERO);
        assert_eq!(decision, RetryDecision::Retry { reason, delay });
    }
    let endless = Failure { attempt: 200, retries: 0, ..turned_away };
    let decision = policy.decide(Duration::ZERO, &endless, &mut rng);
    assert!(matches!(decision, RetryDecision::GiveUp(_)));
    let resumed = Failure { reached_caller: true, reached_caller_tokens: 9, ..unreachable(0) };
    let decision = policy.decide(Duration::ZERO, &resumed, &mut rng);
    assert!(matches!(decision, RetryDecision::Retry { reason: RetryReason::Resumed, .. }));
    // The break was counted; owners that turn the resumed attempt away are not further breaks.
    for reason in [RefusalReason::NotOwner, RefusalReason::OwnerUnreachable] {
        let resumed = Failure { reason, earlier_verdict: Verdict::Ran, ..resumed.clone() };
        let decision = policy.decide(Duration::ZERO, &resumed, &mut rng);
        let (reason, delay) = (RetryReason::OwnerMoved, Duration::ZERO);
        assert_eq!(decision, RetryDecision::Retry { reason, delay });
    }
}

// Symptom: an upstream that fails half of its requests keeps its full share; one that flaps is
// tried each second for ever; one that returns is flooded.
// Sequence: mixed results; then failures in a row, failed trials, and a return.
// Cause: only failures in a row open the circuit; its opening has a fixed length; it closes fully.
#[test]
fn a_circuit_opens_on_ratio_backs_off_and_starts_slowly() {
    let mut breaker = Breaker::default();
    let mut now = Duration::ZERO;
    for count in 0..20 {
        let pass = breaker.allow(now).unwrap();
        if count % 2 == 0 { breaker.success(now, pass) } else { breaker.failure(now, pass) }
    }
    assert_eq!(breaker.state(), BreakerState::Open);
    for open_s in [1, 2, 4, 8, 16, 30, 30] {
        let open = Duration::from_secs(open_s);
        assert!(breaker.allow(now + open - Duration::from_millis(1)).is_none());
        now += open;
        let trial = breaker.allow(now).unwrap();
        assert!(breaker.allow(now).is_none());
        breaker.failure(now, trial);
    }
    now += Duration::from_secs(30);
    let trial = breaker.allow(now).unwrap();
    breaker.success(now, trial);
    let shares = [0, 5, 10].map(|s| breaker.work_share(now + Duration::from_secs(s)));
    assert_eq!(shares, [0.1, 0.55, 1.0]);
    let own = RefusalReason::ALL.into_iter().filter(|reason| is_upstream_failure(*reason));
    assert_eq!(own.count(), 2);
}
