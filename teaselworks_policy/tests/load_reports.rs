//! When engines are asked for their own count, and what that costs.

use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use teaselworks_policy::load::ReportSchedule;
use teaselworks_policy::load::foreign::REPORTS;
use teaselworks_policy::load::schedule::STEADY_BYTES_PER_S;
use teaselworks_policy::name::Name;

const LOOK: Duration = Duration::from_millis(500);
const HANDOVER: Duration = Duration::from_secs(5);

/// An owner's replicas, looked at twice a second.
struct Owned {
    schedule: ReportSchedule,
    replicas: Vec<Name>,
    now: Duration,
    size_bytes: u64,
    reports: Vec<u64>,
}

impl Owned {
    /// Makes an owner that got all its replicas just now, and sees the change through.
    fn steady(replicas: usize, size_bytes: u64) -> Self {
        let replicas: Vec<Name> =
            (0..replicas).map(|replica| format!("engine-{replica}").into()).collect();
        let reports = vec![0; replicas.len()];
        let schedule = ReportSchedule::default();
        let mut owned = Self { schedule, replicas, now: Duration::ZERO, size_bytes, reports };
        owned.run(2 * HANDOVER);
        owned
    }

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += LOOK;
            for (replica, reports) in self.replicas.iter().zip(&mut self.reports) {
                if self.schedule.is_due(replica, HANDOVER, self.now) {
                    *reports += 1;
                    self.schedule.learn(replica, self.size_bytes, false);
                }
            }
        }
    }

    fn take(&mut self) -> Vec<u64> {
        let none = vec![0; self.reports.len()];
        std::mem::replace(&mut self.reports, none)
    }
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(6), ..ProptestConfig::default() })]

    /// Symptom: load reports eat a router's control budget. Sequence: an owner of any number of
    /// replicas, whose pages of metrics have any size, has no change of owners for hours, while
    /// its engines refuse attempts as often as they like. Cause: engines are asked at a fixed
    /// rate, or whenever they are doubted.
    #[test]
    fn steady_reports_cost_no_more_whatever_the_page_and_the_engines_do(
        replicas in 1..9_usize,
        size_bytes in 500..1_000_000_u64,
        doubts in prop::collection::vec((0..9_usize, 0..120_u64), 0..200),
    ) {
        let mut owned = Owned::steady(replicas, size_bytes);
        owned.take();
        let start = owned.now;
        for (replica, wait_s) in doubts {
            let replica = owned.replicas[replica % replicas].clone();
            owned.schedule.doubt(&replica, owned.now);
            owned.run(Duration::from_secs(wait_s));
        }
        owned.run(Duration::from_secs(3_600));
        let spent: u64 = owned.take().iter().map(|reports| reports * size_bytes).sum();
        let saved = (REPORTS as u64 + 1) * size_bytes;
        prop_assert!(spent <= STEADY_BYTES_PER_S * (owned.now - start).as_secs() + saved);
    }
}

/// Symptom: a new owner doesn't notice what the former one still runs. Sequence: a replica changes
/// its owner, also long after the last change and with nothing saved. Cause: the sparse reports of
/// quiet times go on.
#[test]
fn a_change_of_owner_is_watched_closely() {
    let mut owned = Owned::steady(7, 40_000);
    assert!(owned.take().iter().all(|&reports| reports >= 9), "twice a second before 5 s");
    owned.run(Duration::from_secs(600));
    owned.take();
    let replica = owned.replicas[3].clone();
    let later = owned.now + HANDOVER;
    for _ in 0..9 {
        owned.now += LOOK;
        assert!(owned.schedule.is_due(&replica, later, owned.now));
    }
}

/// Symptom: a new owner forgets the former one's work while it still runs. Sequence: a replica
/// changes its owner; after the handover its engine still reports requests of others. Cause:
/// reports become rare with the end of the handover, and the last one counts for 5 s.
#[test]
fn an_engine_that_runs_work_of_others_is_watched_until_it_ended() {
    let mut owned = Owned::steady(2, 40_000);
    owned.run(Duration::from_secs(600));
    let replica = owned.replicas[0].clone();
    let changed_at = owned.now;
    let (mut watched, mut quiet) = (0, 0);
    while owned.now < changed_at + Duration::from_secs(60) {
        owned.now += LOOK;
        if !owned.schedule.is_due(&replica, changed_at + HANDOVER, owned.now) {
            continue;
        }
        let ended = owned.now > changed_at + Duration::from_secs(20);
        owned.schedule.learn(&replica, owned.size_bytes, !ended);
        if ended { quiet += 1 } else { watched += 1 }
    }
    assert!(watched >= 24, "{watched} reports in 20 s, each second after the handover");
    assert!((1..=REPORTS + 1).contains(&quiet), "{quiet} reports after the work ended");
}

/// Symptom: in a long split one replica after the other refuses for some seconds. Sequence: each is
/// asked in its turn, and its report shows the far side's work, which no other replica's owner
/// counts any more. Cause: rare reports that go on in a split.
#[test]
fn a_split_stops_the_reports_of_quiet_times_alone() {
    let mut owned = Owned::steady(2, 1_000);
    owned.schedule.set_split(true);
    owned.take();
    owned.run(Duration::from_secs(600));
    assert_eq!(owned.take(), [0, 0]);
    let replica = owned.replicas[1].clone();
    owned.schedule.doubt(&replica, owned.now);
    owned.run(Duration::from_secs(2));
    assert_eq!(owned.take()[1], REPORTS as u64, "a doubt is looked into");
}

/// Symptom: work that others send to a replica is not noticed for minutes though its engine
/// refuses. Sequence: after a quiet time one of many replicas refuses an attempt. Cause: it waits
/// for its turn among the rare reports, or others have spent what is allowed.
#[test]
fn a_doubted_replica_is_asked_at_once_and_the_others_keep_their_turn() {
    let mut owned = Owned::steady(7, 40_000);
    owned.run(Duration::from_secs(3_600));
    let reports = owned.take();
    let (least, most) = (reports.iter().min().unwrap(), reports.iter().max().unwrap());
    assert!(*least >= 3 && most - least <= 1, "{reports:?}");
    let replica = owned.replicas[5].clone();
    owned.schedule.doubt(&replica, owned.now);
    owned.run(Duration::from_secs(2));
    assert_eq!(owned.take()[5], REPORTS as u64);
}
