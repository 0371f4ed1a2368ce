//! Bookings through real routers: at most one execution of each key, whatever fails.

use std::time::Duration;

use serde_json::Value;
use teaselworks_standin::checker::{History, Observation, Told};
use teaselworks_standin::fleet::{Fleet, FleetPlan, READY_TIMEOUT, SERVICE, until};
use teaselworks_standin::platform::LostAnswer;
use teaselworks_standin::router::Program;

async fn fleet(routers: usize) -> Fleet {
    let program = Program::binary(env!("CARGO_BIN_EXE_teaselworks"));
    let mut plan = FleetPlan::new(program, routers, 1).with_settings(|_, settings| {
        settings.platform.calls_per_s = 200.0;
        settings.platform.timeout_ms = 500;
    });
    plan.services = 2;
    Fleet::start(plan).await.unwrap()
}

/// Makes one booking through a router; what is told speaks of this try alone.
async fn book(fleet: &Fleet, router: usize, key: &str) -> Told {
    let path = format!("/services/{SERVICE}/book/{key}");
    match fleet.caller(router).call("POST", &path, Some(key), "{}").await {
        Ok((200, _)) => Told::Answered,
        Ok((_, body)) => match serde_json::from_str::<Value>(&body) {
            Ok(body) if body["error"]["verdict"] == "not_run" => Told::NotRun,
            _ => Told::Unknown,
        },
        Err(_) => Told::Unknown,
    }
}

async fn book_until_answered(fleet: &Fleet, router: usize, key: &str) {
    until("the booking is answered", async || book(fleet, router, key).await == Told::Answered)
        .await;
}

fn executions(fleet: &Fleet, key: &str) -> u32 {
    let all = fleet.services.iter().map(|service| service.executions_by_key());
    all.map(|executions| executions.get(key).copied().unwrap_or(0)).sum()
}

fn check(fleet: &Fleet, answered: &[&str]) {
    let mut history = History::default();
    history.add_services(&fleet.services);
    for key in answered {
        history.add(Observation::Outcome { key: (*key).into(), told: Told::Answered });
    }
    history.assert_valid();
}

fn delay_services(fleet: &Fleet, delay_ms: u64) {
    for service in &fleet.services {
        service.set_faults(|faults| faults.delay_ms = delay_ms);
    }
}

// Symptom: a customer who did not wait is told for ever that the booking may have been made.
// Sequence: the service takes long, the caller hangs up and asks again through another router.
// Cause: an outcome that is dropped together with the caller's connection.
#[tokio::test(flavor = "multi_thread")]
async fn caller_that_hung_up_gets_the_outcome_later() {
    let fleet = fleet(2).await;
    delay_services(&fleet, 400);
    let hung_up = tokio::time::timeout(Duration::from_millis(200), book(&fleet, 0, "slot")).await;
    assert!(hung_up.is_err());
    book_until_answered(&fleet, 1, "slot").await;
    assert_eq!(executions(&fleet, "slot"), 1);
    check(&fleet, &["slot"]);
}

// Symptom: two trucks at one courtyard. Sequence: each booking is sent through both routers at
// once, the answers of the platform get lost in turn, every caller repeats until it is answered.
// Cause: retries that cross, and lost answers taken for failures.
#[tokio::test(flavor = "multi_thread")]
async fn crossed_bookings_run_once_through_lost_answers() {
    let fleet = fleet(2).await;
    let keys: Vec<String> = (0..12).map(|index| format!("slot-{index}")).collect();
    for (index, key) in keys.iter().enumerate() {
        let lost_answer = [LostAnswer::Cut, LostAnswer::Silence, LostAnswer::Error][index % 3];
        fleet.platform.set_faults(|faults| {
            faults.lose_prefix = "teaselworks/once/".into();
            faults.lost_answer = lost_answer;
            faults.lose_answers = 1 + index as u32 % 2;
        });
        tokio::join!(book_until_answered(&fleet, 0, key), book_until_answered(&fleet, 1, key));
        assert_eq!(executions(&fleet, key), 1, "{key}");
    }
    check(&fleet, &keys.iter().map(String::as_str).collect::<Vec<_>>());
}

// Symptom: a booking refused as not run was made. Sequence: the platform is down when the booking
// comes, and returns. Cause: sending without a record.
#[tokio::test(flavor = "multi_thread")]
async fn platform_down_refuses_bookings_and_runs_none() {
    let fleet = fleet(1).await;
    fleet.platform.server().stop();
    for _ in 0..10 {
        assert_eq!(book(&fleet, 0, "slot").await, Told::NotRun);
    }
    assert_eq!(executions(&fleet, "slot"), 0);
    fleet.platform.server().resume().unwrap();
    book_until_answered(&fleet, 0, "slot").await;
    check(&fleet, &["slot"]);
}

// Symptom: a booking runs again when a router wakes, or is lost with it. Sequence: a router is
// frozen, or killed, while its booking is on the way, at different moments; the caller repeats
// through another router; the frozen one wakes. Cause: a right to send that others think has ended.
#[tokio::test(flavor = "multi_thread")]
async fn frozen_or_killed_router_never_makes_a_second_run() {
    let mut fleet = fleet(4).await;
    fleet.platform.set_faults(|faults| faults.delay_before_ms = 60);
    delay_services(&fleet, 60);
    for after_ms in [20, 70, 110, 150] {
        let key = format!("frozen-{after_ms}");
        let first = book(&fleet, 0, &key);
        let second = async {
            tokio::time::sleep(Duration::from_millis(after_ms)).await;
            fleet.routers[0].freeze();
            for _ in 0..3 {
                book(&fleet, 1, &key).await;
            }
            fleet.routers[0].thaw();
        };
        // The first try has ended, too, when both have: nothing is sent afterwards.
        tokio::join!(first, second);
        assert!(executions(&fleet, &key) <= 1, "{key}");
    }
    for (victim, after_ms) in [20, 80, 110].into_iter().enumerate() {
        let key = format!("killed-{after_ms}");
        let first = book(&fleet, victim, &key);
        let _ = tokio::time::timeout(Duration::from_millis(after_ms), first).await;
        fleet.routers[victim].kill();
        for _ in 0..5 {
            book(&fleet, 3, &key).await;
        }
        fleet.routers[victim].restart().unwrap();
        fleet.routers[victim].until_ok("/health", READY_TIMEOUT).await.unwrap();
        book(&fleet, victim, &key).await;
        assert!(executions(&fleet, &key) <= 1, "{key}");
    }
    check(&fleet, &[]);
}
