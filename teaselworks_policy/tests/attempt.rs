//! Attempts under lost, duplicated, delayed, reordered and crossed events.

use std::time::Duration;

use proptest::prelude::*;
use rand_pcg::Pcg32;
use teaselworks_policy::attempt::{Assembly, Dropped, Event, Pace, Progress, RequestTraits, Step};
use teaselworks_policy::name::AttemptId;
use teaselworks_policy::retry::budget::BudgetSettings;
use teaselworks_policy::retry::{
    Continuation, DoubtDecision, RetryPolicy, RetryReason, RetrySettings, WaitReason,
};
use teaselworks_policy::verdict::{Refusal, RefusalReason, Verdict};

fn id(sequence: u64, attempt: u32) -> AttemptId {
    AttemptId { router: "a".into(), incarnation: 7, sequence, attempt }
}

fn data(offset_bytes: u64, size_bytes: u64, output_tokens: u64) -> Event {
    Event::Data { offset_bytes, size_bytes, output_tokens }
}

/// An answer of `tokens`, three bytes each, in parts of `part` tokens from `first` on, with an
/// opening and a closing part that bring no token.
fn answer(first: u64, tokens: u64, part: u64) -> Vec<Event> {
    let mut events = vec![Event::Head { status: 200 }, data(0, 10, first)];
    let mut offset_bytes = 10;
    let mut at = first;
    while at < tokens {
        let next = (at + part).min(tokens);
        events.push(data(offset_bytes, (next - at) * 3, next));
        offset_bytes += (next - at) * 3;
        at = next;
    }
    events.push(data(offset_bytes, 5, tokens));
    events.push(Event::Finish { size_bytes: offset_bytes + 5, output_tokens: Some(tokens) });
    events
}

/// What the caller has, told apart by the sizes that `answer` gives to parts.
#[derive(Debug, Default)]
struct Caller {
    tokens: u64,
    openings: u32,
    closings: u32,
}

impl Caller {
    fn take(&mut self, event: &Event) {
        let Event::Data { size_bytes, output_tokens, .. } = event else { panic!("no part") };
        match size_bytes {
            10 => self.openings += 1,
            5 => self.closings += 1,
            _ => {
                assert_eq!(self.tokens, output_tokens - size_bytes / 3, "hole or repetition");
                self.tokens = *output_tokens;
            }
        }
        assert!(self.openings <= 1 && self.closings <= 1, "a part twice");
    }

    fn assert_whole(&self, tokens: u64) {
        assert_eq!((self.tokens, self.openings, self.closings), (tokens, 1, 1));
    }
}

/// What a link did to an attempt's events.
#[derive(Clone, Debug)]
struct Mischief {
    cut_after: usize,
    duplicate: Option<usize>,
    swap: Option<usize>,
    drop: Option<usize>,
    part: u64,
}

fn mischief() -> impl Strategy<Value = Mischief> {
    let index = || proptest::option::weighted(0.3, 0..12_usize);
    (0..16_usize, index(), index(), index(), 1..4_u64).prop_map(
        |(cut_after, duplicate, swap, drop, part)| Mischief {
            cut_after,
            duplicate,
            swap,
            drop,
            part,
        },
    )
}

fn distort(mut events: Vec<Event>, mischief: &Mischief) -> Vec<Event> {
    events.truncate(mischief.cut_after);
    if let Some(at) = mischief.duplicate.filter(|at| *at < events.len()) {
        events.insert(at, events[at].clone());
    }
    if let Some(at) = mischief.swap.filter(|at| at + 1 < events.len()) {
        events.swap(at, at + 1);
    }
    if let Some(at) = mischief.drop.filter(|at| *at < events.len()) {
        events.remove(at);
    }
    events.push(Event::Lost);
    events
}

proptest! {
    // Symptom: a caller gets an answer with a hole, a repeated stretch or a stranger's text.
    // Sequence: links lose, repeat, swap and delay the events of attempts that break off and are
    // resumed or generated again, while events of another request arrive under wrong routing.
    // Cause: a part is judged by its order of arrival, not by its attempt, offset and tokens.
    #[test]
    fn a_caller_gets_each_token_once_or_an_explicit_error(
        tokens in 1..12_u64,
        links in proptest::collection::vec(mischief(), 1..5),
        continuation in prop_oneof![
            Just(Continuation::Restart), Just(Continuation::Regenerate), Just(Continuation::Resume)
        ],
        late_each in 1..4_usize,
    ) {
        let mut assembly = Assembly::new(id(1, 0));
        let (mut caller, mut outcomes, mut heads) = (Caller::default(), 0, 0);
        let mut late: Vec<(AttemptId, Event)> = Vec::new();
        let mut first = 0;
        for (attempt, link) in links.iter().enumerate() {
            let own = id(1, attempt as u32);
            assembly.sending();
            let events = answer(first, tokens, link.part);
            let mut skipped = None;
            for (count, event) in distort(events.clone(), link).into_iter().enumerate() {
                let crossed = assembly.accept(&id(2, attempt as u32), &event);
                prop_assert_eq!(crossed, Step::Drop(Dropped::Crossed));
                if count % late_each == 0 && let Some((old, event)) = late.pop() {
                    let step = assembly.accept(&old, &event);
                    prop_assert!(matches!(step, Step::Drop(Dropped::Late | Dropped::AfterEnd)));
                }
                match assembly.accept(&own, &event) {
                    Step::Head => heads += 1,
                    Step::Forward => caller.take(&event),
                    Step::Finish => {
                        outcomes += 1;
                        if assembly.lacks_last_part() {
                            caller.take(skipped.as_ref().unwrap());
                        }
                        caller.assert_whole(tokens);
                    }
                    Step::Fail(fault) => {
                        prop_assert!(!assembly.is_ended());
                        let progressed = event != Event::Lost || assembly.reached_caller();
                        prop_assert!(!progressed || assembly.verdict() == Verdict::Ran);
                        prop_assert!(fault.verdict >= Verdict::MayHaveRun);
                    }
                    Step::Skip => skipped = Some(event),
                    Step::Drop(_) => {}
                }
            }
            late.extend(events.into_iter().map(|event| (own.clone(), event)));
            if continuation == Continuation::Restart && assembly.reached_caller_tokens() > 0 {
                break;
            }
            let Some(next) = assembly.next_attempt(continuation) else { break };
            first = next.resume_tokens;
        }
        outcomes += u32::from(assembly.end());
        prop_assert_eq!(outcomes, 1);
        prop_assert!(heads <= 1);
        prop_assert!(!assembly.end());
        prop_assert!(assembly.next_attempt(continuation).is_none());
        for (old, event) in late {
            prop_assert_eq!(assembly.accept(&old, &event), Step::Drop(Dropped::AfterEnd));
        }
    }

    // Symptom: a whole answer ends in an error although nothing of it was lost.
    // Sequence: one attempt breaks off cleanly before its closing part, perhaps after the last
    // token; the next one arrives whole, with one event repeated. Cause: a joint on which both
    // sides agree, or a repetition, is taken for a fault; or the closing part for a second opening.
    #[test]
    fn a_clean_break_is_joined(
        tokens in 2..12_u64,
        cut in 0..14_usize,
        regenerate in any::<bool>(),
        repeated in 0..14_usize,
    ) {
        let continuation =
            if regenerate { Continuation::Regenerate } else { Continuation::Resume };
        let mut assembly = Assembly::new(id(1, 0));
        let mut caller = Caller::default();
        assembly.sending();
        for event in answer(0, tokens, 1).iter().take(cut.min(tokens as usize + 2)) {
            if assembly.accept(&id(1, 0), event) == Step::Forward {
                caller.take(event);
            }
        }
        assembly.accept(&id(1, 0), &Event::Lost);
        let next = assembly.next_attempt(continuation).unwrap();
        assembly.sending();
        let mut events = answer(next.resume_tokens, tokens, 1);
        events.insert(repeated.min(events.len() - 1), events[repeated.min(events.len() - 1)].clone());
        let mut skipped = None;
        for event in events {
            match assembly.accept(&next.attempt, &event) {
                Step::Forward => caller.take(&event),
                Step::Finish if assembly.lacks_last_part() => {
                    caller.take(skipped.as_ref().unwrap());
                }
                Step::Skip => skipped = Some(event),
                _ => {}
            }
        }
        prop_assert!(assembly.is_ended());
        caller.assert_whole(tokens);
    }
}

/// What happens to an answer whose owners are doubted now and then.
#[derive(Clone, Copy, Debug)]
enum Turn {
    /// The next event of the attempt in progress arrives.
    Next,
    /// The owner leaves a ping unanswered.
    Doubt,
    /// An event of an attempt that was left arrives.
    Late,
}

proptest! {
    // Symptom: a caller reads a verse twice, or with a hole, or its answer ends in an error, though
    // every owner was merely slow. Sequence: owners are doubted in the middle of the answer; it is
    // resumed elsewhere or goes on to wait; doubts turn out false and late events arrive.
    // Cause: an attempt is left where its answer cannot be joined, or the budget refuses a request
    // that might have waited.
    #[test]
    fn doubts_cost_no_answer_and_repeat_no_token(
        tokens in 1..12_u64,
        turns in proptest::collection::vec(
            prop_oneof![4 => Just(Turn::Next), 2 => Just(Turn::Doubt), 1 => Just(Turn::Late)],
            0..60,
        ),
        continuation in prop_oneof![
            1 => Just(Continuation::Never), 1 => Just(Continuation::Restart),
            1 => Just(Continuation::Regenerate), 5 => Just(Continuation::Resume)
        ],
        (idempotent, elsewhere) in (prop::bool::weighted(0.9), prop::bool::weighted(0.9)),
        (burst, left_ms, part) in (0..9_u32, 0..9_000_u64, 1..4_u64),
    ) {
        let workspace_burst = f64::from(burst);
        let budget = BudgetSettings { ratio: 0.1, workspace_burst, overall_burst: 100.0 };
        let mut policy = RetryPolicy::new(RetrySettings { budget, attempts: 4 });
        let traits = RequestTraits { workspace: "archive".into(), idempotent, continuation };
        let left = Duration::from_millis(left_ms);
        let mut assembly = Assembly::new(id(1, 0));
        let (mut caller, mut moves) = (Caller::default(), 0);
        let mut late: Vec<(AttemptId, Event)> = Vec::new();
        let mut coming = answer(0, tokens, part).into_iter();
        let mut skipped = None;
        assembly.sending();
        let rest = std::iter::repeat_n(Turn::Next, 4 * (tokens as usize + 4));
        for turn in turns.into_iter().chain(rest) {
            let own = assembly.attempt().clone();
            match turn {
                Turn::Next => {
                    let Some(event) = coming.next() else { continue };
                    match assembly.accept(&own, &event) {
                        Step::Forward => caller.take(&event),
                        Step::Finish if assembly.lacks_last_part() => {
                            caller.take(skipped.as_ref().unwrap());
                        }
                        Step::Skip => skipped = Some(event),
                        Step::Head | Step::Finish => {}
                        step => prop_assert!(false, "{step:?}"),
                    }
                }
                Turn::Late => {
                    let Some((old, event)) = late.pop() else { continue };
                    let step = assembly.accept(&old, &event);
                    prop_assert!(matches!(step, Step::Drop(Dropped::Late | Dropped::AfterEnd)));
                }
                Turn::Doubt if assembly.is_ended() => {}
                Turn::Doubt => {
                    let doubted = assembly.doubted(&traits, left, elsewhere);
                    let mut rng = Pcg32::new(1, 1);
                    let decision = policy.on_doubt(Duration::ZERO, &doubted, &mut rng);
                    let DoubtDecision::Leave { reason, delay } = decision else {
                        let why = DoubtDecision::Wait(WaitReason::NotRepeatable);
                        prop_assert!(idempotent || decision == why);
                        continue;
                    };
                    moves += 1;
                    prop_assert!(idempotent && delay < left);
                    prop_assert!(caller.tokens == 0 || continuation == Continuation::Resume);
                    prop_assert!(caller.tokens == 0 || reason == RetryReason::Resumed);
                    prop_assert!(matches!(assembly.accept(&own, &Event::Lost), Step::Fail(_)));
                    late.extend(coming.map(|event| (own.clone(), event)));
                    let next = assembly.next_attempt(continuation).unwrap();
                    assembly.sending();
                    coming = answer(next.resume_tokens, tokens, part).into_iter();
                }
            }
        }
        prop_assert!(assembly.is_ended());
        prop_assert_eq!(caller.tokens, tokens);
        prop_assert_eq!((caller.openings, caller.closings), (1, 1));
        prop_assert!(moves <= burst.min(3));
        for (old, event) in late {
            prop_assert_eq!(assembly.accept(&old, &event), Step::Drop(Dropped::AfterEnd));
        }
    }

    // Symptom: answers move from a link that paused for a moment though no token was missing.
    // Sequence: an engine takes long for each token, evenly; its owner is doubted between two.
    // Cause: the age of the last token is compared with one number for all engines.
    #[test]
    fn a_token_is_late_by_its_own_answers_pace(
        (interval_ms, jitter_ms) in (2..3_000_u64, 0..200_u64),
        tokens in 2..60_u64,
    ) {
        let mut pace = Pace::default();
        prop_assert!(pace.until_late(Duration::ZERO).is_zero());
        let jitter_ms = jitter_ms.min(interval_ms / 2);
        let mut at_ms = 0;
        for token in 0..tokens {
            pace.token(Duration::from_millis(at_ms));
            at_ms += interval_ms + if token % 2 == 0 { jitter_ms } else { 0 };
        }
        let last_ms = at_ms - interval_ms - if tokens % 2 == 1 { jitter_ms } else { 0 };
        let longest = Duration::from_millis(last_ms + interval_ms + jitter_ms);
        prop_assert!(!pace.until_late(longest).is_zero() || jitter_ms == 0);
        let until_late = pace.until_late(Duration::from_millis(last_ms));
        prop_assert!(until_late >= Duration::from_millis(interval_ms));
        // Two intervals of deviation at the first pair, which fade later.
        prop_assert!(until_late <= Duration::from_millis(3 * (interval_ms + jitter_ms)));
        pace.restart();
        prop_assert!(pace.until_late(Duration::from_millis(last_ms)).is_zero());
    }
}

// Symptom: answers that were cut end in an error because the retry budget is spent, though little
// failed. Sequence: a router pauses for half a second; a hundred answers on its links move; then
// another router is lost. Cause: moving an answer, which might have waited, spends the budget.
#[test]
fn moving_answers_leaves_budget_to_those_that_fail() {
    let budget = BudgetSettings { ratio: 0.1, workspace_burst: 10.0, overall_burst: 100.0 };
    let mut policy = RetryPolicy::new(RetrySettings { budget, attempts: 4 });
    let traits = RequestTraits {
        workspace: "archive".into(),
        idempotent: true,
        continuation: Continuation::Resume,
    };
    let mut begun = Assembly::new(id(1, 0));
    begun.sending();
    for event in answer(0, 5, 1).iter().take(4) {
        begun.accept(&id(1, 0), event);
    }
    let doubted = begun.doubted(&traits, Duration::from_secs(60), true);
    let mut rng = Pcg32::new(1, 1);
    let mut moves = 0;
    for _ in 0..100 {
        match policy.on_doubt(Duration::ZERO, &doubted, &mut rng) {
            DoubtDecision::Leave { .. } => moves += 1,
            decision => assert_eq!(decision, DoubtDecision::Wait(WaitReason::NoBudget)),
        }
    }
    assert_eq!(moves, 5);
    // Of which nothing came yet: its caller's deadline would pass, so it takes what is there.
    let mut unbegun = Assembly::new(id(2, 0));
    unbegun.sending();
    let doubted = unbegun.doubted(&traits, Duration::from_secs(60), false);
    for _ in 0..5 {
        let decision = policy.on_doubt(Duration::ZERO, &doubted, &mut rng);
        assert!(matches!(decision, DoubtDecision::Leave { reason: RetryReason::OwnerLost, .. }));
    }
    let decision = policy.on_doubt(Duration::ZERO, &doubted, &mut rng);
    assert_eq!(decision, DoubtDecision::Wait(WaitReason::NoBudget));
}

// Symptom: a refused request is reported as not run although the engine had begun to answer.
// Sequence: head and data arrive, then a refusal that claims nothing ran; or a first attempt may
// have run and the second one is refused. Cause: the last statement wins over the evidence.
#[test]
fn a_verdict_never_falls_behind_the_evidence() {
    let not_run = Event::Refused(Refusal::not_run(RefusalReason::OverBound, None, "full"));
    let mut assembly = Assembly::new(id(1, 0));
    assembly.sending();
    assembly.accept(&id(1, 0), &Event::Head { status: 200 });
    let Step::Fail(fault) = assembly.accept(&id(1, 0), &not_run) else { panic!("no fault") };
    assert_eq!(fault.verdict, Verdict::Ran);

    let mut assembly = Assembly::new(id(1, 0));
    assembly.sending();
    assert_eq!(assembly.abandon(RefusalReason::Deadline, "").unwrap().verdict, Verdict::MayHaveRun);
    let next = assembly.next_attempt(Continuation::Never).unwrap();
    assembly.sending();
    let Step::Fail(fault) = assembly.accept(&next.attempt, &not_run) else { panic!("no fault") };
    assert_eq!((fault.verdict, fault.earlier_verdict), (Verdict::NotRun, Verdict::MayHaveRun));
    assert_eq!(assembly.verdict(), Verdict::MayHaveRun);
    let traits = RequestTraits {
        workspace: "school".into(),
        idempotent: false,
        continuation: Continuation::Never,
    };
    let failure = assembly.failure(&fault, &traits, Duration::from_secs(1));
    assert_eq!((failure.attempt, failure.earlier_verdict), (1, Verdict::MayHaveRun));

    // Being turned away is no retry; an attempt that was lost is one.
    let mut assembly = Assembly::new(id(1, 0));
    for (event, retries) in [(&not_run, 0), (&not_run, 0), (&Event::Lost, 0), (&not_run, 1)] {
        let attempt = assembly.attempt().clone();
        let Step::Fail(fault) = assembly.accept(&attempt, event) else { panic!("no fault") };
        assert_eq!(assembly.failure(&fault, &traits, Duration::ZERO).retries, retries);
        assembly.next_attempt(Continuation::Never).unwrap();
    }

    let mut untouched = Assembly::new(id(1, 0));
    assert_eq!(untouched.abandon(RefusalReason::Deadline, "").unwrap().verdict, Verdict::NotRun);
}

// Symptom: an engine's error text stands in the middle of a ballad.
// Sequence: a stream breaks off after some tokens; the engine asked to resume answers 400 with a
// text of its own. Cause: the second head is taken for a repetition of the first.
#[test]
fn a_resumed_answer_with_another_status_is_not_joined() {
    let mut assembly = Assembly::new(id(1, 0));
    assembly.sending();
    for event in answer(0, 5, 1).iter().take(4) {
        assembly.accept(&id(1, 0), event);
    }
    assembly.accept(&id(1, 0), &Event::Lost);
    let next = assembly.next_attempt(Continuation::Resume).unwrap();
    assert_eq!(next.resume_tokens, 2);
    let step = assembly.accept(&next.attempt, &Event::Head { status: 400 });
    assert!(matches!(step, Step::Fail(_)));
    let step = assembly.accept(&next.attempt, &data(0, 40, 2));
    assert_eq!(step, Step::Drop(Dropped::Late));
}

#[test]
fn progress_moves_only_forward() {
    let mut progress = Progress::default();
    assert_eq!(progress.verdict_stated(Verdict::MayHaveRun), Verdict::MayHaveRun);
    progress.answered();
    progress.sending();
    assert_eq!(progress.verdict(), Verdict::Ran);
    assert_eq!(progress.verdict_stated(Verdict::NotRun), Verdict::Ran);
}

// Symptom: a caller gets three tokens of one answer and the end of another, shorter one.
// Sequence: a stream breaks off after three tokens; the model, said to be reproducible, generates
// two. Cause: the end is taken for the first answer's end.
#[test]
fn a_shorter_answer_does_not_end_a_longer_one() {
    let mut assembly = Assembly::new(id(1, 0));
    for event in answer(0, 5, 1).iter().take(5) {
        assembly.accept(&id(1, 0), event);
    }
    assembly.accept(&id(1, 0), &Event::Lost);
    let next = assembly.next_attempt(Continuation::Regenerate).unwrap();
    let steps: Vec<Step> =
        answer(0, 2, 1).iter().map(|event| assembly.accept(&next.attempt, event)).collect();
    assert!(matches!(steps.last(), Some(Step::Fail(_))), "{steps:?}");
}
