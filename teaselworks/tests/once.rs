//! Calls that may not be repeated, through lost answers, crossed tries, pauses and outages.

use std::sync::Arc;
use std::time::{Duration, Instant};

use teaselworks::kernel::Shutdown;
use teaselworks::metrics::Metrics;
use teaselworks::once::{
    Begin, BodyKeeper, Fingerprint, KEPT_BODY_SIZE_BYTES, Once, OnceCall, StoredOutcome,
};
use teaselworks::platform::Platform;
use teaselworks_config::settings::PlatformSettings;
use teaselworks_policy::clock::{Clock, ManualClock, SystemClock};
use teaselworks_policy::name::{AttemptId, Name};
use teaselworks_policy::verdict::{Refusal, RefusalReason, Verdict};
use teaselworks_standin::checker::{History, Observation, Told};
use teaselworks_standin::platform::{LostAnswer, Platform as Service};

const PATIENCE: Duration = Duration::from_secs(30);
const RETENTION: Duration = Duration::from_secs(3_600);

fn router_with(service: &Service, clock: Arc<dyn Clock>, seed: u64) -> Arc<Once> {
    let settings = PlatformSettings {
        endpoints: vec![service.url()],
        prefix: "t/".into(),
        timeout_ms: 200,
        calls_per_s: 1_000.0,
        fleet_calls_per_s: 1_000.0,
        fleet_watches: 4,
    };
    let metrics = Metrics::new();
    let platform = Platform::new(&settings, clock.clone(), &metrics, seed);
    Arc::new(Once::new(Arc::new(platform), clock, &metrics, seed))
}

fn router(service: &Service, seed: u64) -> Arc<Once> {
    let once = router_with(service, Arc::new(SystemClock::new()), seed);
    once.start(&Shutdown::new());
    once
}

async fn begin(once: &Arc<Once>, key: &str, attempt: u32, body: &[u8]) -> Result<Begin, Refusal> {
    let workspace: Name = "khaima".into();
    let fingerprint = Fingerprint::of("stock", "POST", "/slots/9", body);
    let call = OnceCall {
        workspace: &workspace,
        key,
        fingerprint: &fingerprint,
        attempt: &AttemptId { router: "a".into(), incarnation: 1, sequence: 1, attempt },
        retention: RETENTION,
        patience: Duration::from_secs(2),
    };
    once.begin(&call).await
}

fn booked() -> StoredOutcome {
    StoredOutcome::new(201, Vec::new(), b"booked")
}

/// One try of a call as a router makes it, noted in the history.
async fn book(once: &Arc<Once>, key: &str, attempt: u32, history: &mut History) -> Told {
    let told = match begin(once, key, attempt, b"{}").await {
        Ok(Begin::Proceed(claim)) => {
            claim.may_send().unwrap();
            history.add(Observation::Executed { key: key.into() });
            claim.finish(booked()).await;
            Told::Answered
        }
        Ok(Begin::Repeat(outcome)) => {
            assert_eq!(outcome, booked());
            Told::Answered
        }
        Err(refusal) if refusal.verdict == Verdict::NotRun => Told::NotRun,
        Err(_) => Told::Unknown,
    };
    // A refusal speaks of its own try; the checker of a key's final outcome.
    if told == Told::Answered {
        history.add(Observation::Outcome { key: key.into(), told });
    }
    told
}

/// Repeats a call until it is answered.
async fn book_until_answered(once: &Arc<Once>, key: &str, history: &mut History) {
    let end = Instant::now() + PATIENCE;
    let mut attempt = 1;
    while book(once, key, attempt, history).await != Told::Answered {
        assert!(Instant::now() < end, "never answered: {key}");
        attempt += 1;
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

// Symptom: two trucks at one courtyard, or an outcome that no repeat is ever told. Sequence: the
// platform writes the record, or its outcome, and the answer is lost, or the request is lost in a
// way that does not tell so; the router tries again, or the caller repeats through another router.
// Cause: a lost answer taken for a failure or for success, or a found record taken for a
// stranger's.
#[tokio::test(flavor = "multi_thread")]
async fn lost_answers_at_every_write_run_a_call_once() {
    for lost_answer in [LostAnswer::Cut, LostAnswer::Silence, LostAnswer::Error] {
        for (write, effect) in [("lease", true), ("record", true), ("record", false)] {
            lose_at_begin(lost_answer, write, effect).await;
        }
        for effect in [true, false] {
            lose_at_finish(lost_answer, effect).await;
        }
    }
}

fn lose(service: &Service, lost_answer: LostAnswer, write: &str, effect: bool) {
    service.set_faults(|faults| {
        faults.lost_answer = lost_answer;
        faults.lose_prefix = if write == "lease" { "" } else { "t/once/" }.into();
        faults.lose_answers = u32::from(effect);
        faults.lose_requests = u32::from(!effect);
    });
}

async fn lose_at_begin(lost_answer: LostAnswer, write: &str, effect: bool) {
    let service = Service::start().unwrap();
    let (first, second) = (router(&service, 1), router(&service, 2));
    let mut history = History::default();
    lose(&service, lost_answer, write, effect);
    book(&first, "slot", 0, &mut history).await;
    settled(&service, &first, &second, history).await;
}

async fn lose_at_finish(lost_answer: LostAnswer, effect: bool) {
    let service = Service::start().unwrap();
    let (first, second) = (router(&service, 1), router(&service, 2));
    let mut history = History::default();
    let Ok(Begin::Proceed(claim)) = begin(&first, "slot", 0, b"{}").await else {
        panic!("the first call proceeds");
    };
    history.add(Observation::Executed { key: "slot".into() });
    lose(&service, lost_answer, "outcome", effect);
    claim.finish(booked()).await;
    settled(&service, &first, &second, history).await;
}

async fn settled(service: &Service, first: &Arc<Once>, second: &Arc<Once>, mut history: History) {
    let faults = service.faults();
    assert_eq!((faults.lose_answers, faults.lose_requests), (0, 0), "the fault was met");
    book_until_answered(second, "slot", &mut history).await;
    book_until_answered(first, "slot", &mut history).await;
    history.assert_valid();
}

// Symptom: a call runs twice although both routers looked first. Sequence: a caller gives up and
// repeats through another router while the first try is still on its way. Cause: looking for the
// record and creating it in two steps.
#[tokio::test(flavor = "multi_thread")]
async fn crossed_tries_run_a_call_once() {
    let service = Service::start().unwrap();
    service.set_faults(|faults| faults.delay_before_ms = 20);
    let routers: Vec<_> = (0..5).map(|seed| router(&service, seed)).collect();
    let tries = routers.iter().enumerate().map(|(attempt, once)| {
        let once = once.clone();
        tokio::spawn(async move { begin(&once, "slot", attempt as u32, b"{}").await })
    });
    let mut proceeded = Vec::new();
    for tried in tries.collect::<Vec<_>>() {
        match tried.await.unwrap() {
            Ok(Begin::Proceed(claim)) => proceeded.push(claim),
            Ok(Begin::Repeat(_)) => panic!("there is no outcome yet"),
            Err(refusal) => {
                assert_eq!(refusal.reason, RefusalReason::DuplicateCall);
                assert_eq!(refusal.verdict, Verdict::MayHaveRun);
                assert!(refusal.retry_after_ms.is_some());
            }
        }
    }
    assert_eq!(proceeded.len(), 1);
}

// Symptom: a booking refused as not run was made, or can never be made afterwards. Sequence: the
// platform is down, or answers after five seconds, when the record is to be created; the write
// takes effect after its sender gave up. Cause: sending without a record, or leaving behind the
// record of a call that was not sent.
#[tokio::test(flavor = "multi_thread")]
async fn platform_down_or_slow_refuses_without_running() {
    let service = Service::start().unwrap();
    let once = router(&service, 1);
    let mut history = History::default();
    service.server().stop();
    let refusal = begin(&once, "slot", 0, b"{}").await.unwrap_err();
    assert_eq!(refusal.reason, RefusalReason::PlatformUnavailable);
    assert_eq!(refusal.verdict, Verdict::NotRun);
    assert!(refusal.retry_after_ms.is_some());
    service.server().resume().unwrap();
    book_until_answered(&once, "first", &mut history).await;

    service.set_faults(|faults| faults.delay_before_ms = 5_000);
    assert_eq!(book(&once, "slot", 1, &mut history).await, Told::NotRun);
    service.set_faults(|faults| faults.delay_before_ms = 0);
    book_until_answered(&once, "other", &mut history).await;
    // The late write leaves at most a record that nobody sends under: never a second run.
    book(&once, "slot", 2, &mut history).await;
    tokio::time::sleep(Duration::from_secs(5)).await;
    book(&once, "slot", 3, &mut history).await;
    history.assert_valid();
}

// Symptom: a call runs again a day later than its caller asked. Sequence: the router is paused
// between creating the record and sending; the record ends its time; a repeat runs the call; the
// router wakes and sends. Cause: a right to send without an end.
#[tokio::test(flavor = "multi_thread")]
async fn paused_sender_does_not_send_after_its_record_ended() {
    let service = Service::start().unwrap();
    let clock = Arc::new(ManualClock::default());
    let once = router_with(&service, clock.clone(), 1);
    let Ok(Begin::Proceed(claim)) = begin(&once, "slot", 0, b"{}").await else {
        panic!("the first call proceeds");
    };
    claim.may_send().unwrap();
    clock.advance(RETENTION);
    let refusal = claim.may_send().unwrap_err();
    assert_eq!((refusal.reason, refusal.verdict), (RefusalReason::Deadline, Verdict::NotRun));
}

// Symptom: a call is refused for ever, or a record in use vanishes. Sequence: the replica refuses
// the connection, the claim is released and its answer lost, meanwhile the retry creates a record
// of its own; the release is tried again. Cause: a removal by key instead of by the claim's write.
#[tokio::test(flavor = "multi_thread")]
async fn released_claim_frees_the_key_and_nobody_elses_record() {
    let service = Service::start().unwrap();
    let (first, second) = (router(&service, 1), router(&service, 2));
    let Ok(Begin::Proceed(claim)) = begin(&first, "slot", 0, b"{}").await else {
        panic!("the first call proceeds");
    };
    lose(&service, LostAnswer::Silence, "release", true);
    let release = tokio::spawn(claim.release());
    let end = Instant::now() + PATIENCE;
    while service.dump().keys().any(|key| key.starts_with("t/once/")) {
        assert!(Instant::now() < end, "never released");
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    let Ok(Begin::Proceed(retry)) = begin(&second, "slot", 1, b"{}").await else {
        panic!("the retry proceeds");
    };
    let looked = service.counts().total();
    release.await.unwrap();
    // The repeated release looks for the record; once that call was made, it has done its worst.
    while service.counts().total() < looked + 1 {
        assert!(Instant::now() < end, "never tried again");
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    tokio::time::sleep(Duration::from_millis(100)).await;
    let refusal = begin(&first, "slot", 2, b"{}").await.unwrap_err();
    assert_eq!(refusal.verdict, Verdict::MayHaveRun);
    retry.finish(booked()).await;
    assert!(matches!(begin(&first, "slot", 3, b"{}").await, Ok(Begin::Repeat(_))));
}

// Symptom: a caller gets the answer of another request, or half of a large one. Sequence: a client
// uses a key twice; an answer exceeds what is kept. Cause: an outcome found by its key alone.
#[tokio::test(flavor = "multi_thread")]
async fn reused_keys_and_large_answers_are_told_apart() {
    let service = Service::start().unwrap();
    let once = router(&service, 1);
    let Ok(Begin::Proceed(claim)) = begin(&once, "slot", 0, b"{}").await else {
        panic!("the first call proceeds");
    };
    let large = vec![b'x'; 2 * KEPT_BODY_SIZE_BYTES];
    let mut parts = BodyKeeper::default();
    large.chunks(1_000).for_each(|part| parts.data(part));
    let outcome = parts.into_outcome(200, Vec::new());
    assert_eq!(outcome, StoredOutcome::new(200, Vec::new(), &large));
    claim.finish(outcome).await;
    let reused = begin(&once, "slot", 0, b"another").await.unwrap_err();
    assert_eq!((reused.verdict, reused.retry_after_ms), (Verdict::NotRun, None));
    let repeat = begin(&once, "slot", 1, b"{}").await.unwrap_err();
    assert_eq!((repeat.reason, repeat.verdict), (RefusalReason::DuplicateCall, Verdict::Ran));
    assert!(repeat.detail.contains("131072 bytes"), "{}", repeat.detail);
}

// Symptom: every booking is refused until a router is restarted. Sequence: the platform loses the
// lease that records are bound to. Cause: a lease that is used without end. And the cost: two
// platform calls a call, and one lease for many.
#[tokio::test(flavor = "multi_thread")]
async fn lost_lease_is_replaced_and_a_call_costs_two_writes() {
    let service = Service::start().unwrap();
    let once = router(&service, 1);
    let mut history = History::default();
    book(&once, "first", 0, &mut history).await;
    for lease in service.leases() {
        assert!(service.expire_lease(lease));
    }
    assert_eq!(book(&once, "second", 0, &mut history).await, Told::Answered);
    let before = service.counts().total();
    for index in 0..10 {
        book(&once, &format!("slot-{index}"), 0, &mut history).await;
    }
    assert_eq!(service.counts().total() - before, 20);
    assert_eq!(service.leases().len(), 1);
    history.assert_valid();
}
