//! Bounded queues: fairness, starvation, room, deadlines and the spread of returns.

use std::collections::HashMap;
use std::time::Duration;

use proptest::prelude::*;
use teaselworks_policy::admission::queue::{Entry, FairQueue, GUARANTEED_SHARES};
use teaselworks_policy::verdict::{Priority, RefusalReason};

const FAR: Duration = Duration::from_secs(1_000_000);
const START: Duration = Duration::ZERO;

fn entry<T>(workspace: usize, weight: u32, work_tokens: u64, item: T) -> Entry<T> {
    let workspace = format!("w{workspace}").as_str().into();
    Entry { workspace, priority: Priority::Normal, weight, work_tokens, deadline: FAR, item }
}

fn at<T>(priority: Priority, entry: Entry<T>) -> Entry<T> {
    Entry { priority, ..entry }
}

fn put(queue: &mut FairQueue<usize>, now: Duration, entry: Entry<usize>) {
    assert!(queue.push(now, entry).unwrap().displaced.is_none());
}

/// A queue of ten waiting entries of 100 tokens, drained at 1,000 tokens a second for a second.
fn measured() -> (FairQueue<usize>, Duration) {
    let mut queue = FairQueue::new(64, 1);
    for item in 0..20 {
        put(&mut queue, START, entry(0, 1, 100, item));
    }
    for tenth in 1..=10 {
        queue.pop(Duration::from_millis(100 * tenth)).unwrap();
    }
    (queue, Duration::from_secs(1))
}

proptest! {
    // Symptom: a workspace with long prompts takes most of an engine, or one with many short
    // requests does. Sequence: several workspaces of one priority always have work waiting; more
    // join while others are served. Cause: requests are counted in place of work over weight.
    #[test]
    fn waiting_workspaces_get_work_by_weight(
        flows in proptest::collection::vec((1..5_u32, 1..5_000_u64), 2..6),
        works in proptest::collection::vec(1..1_000_u64, 200),
        joins_after in 0..100_usize,
    ) {
        let mut queue = FairQueue::new(1_000, 1);
        let push = |queue: &mut FairQueue<usize>, flow: usize, count: usize| {
            let (weight, longest) = flows[flow];
            let work = works[count % works.len()] % longest + 1;
            put(queue, START, entry(flow, weight, work, flow));
        };
        // The last workspace joins later; the bound holds from then on.
        let last = flows.len() - 1;
        for flow in 0..last {
            (0..2).for_each(|count| push(&mut queue, flow, count));
        }
        let mut served = vec![0.0; flows.len()];
        for count in 0..300 {
            if count == joins_after {
                (0..2).for_each(|count| push(&mut queue, last, count));
                served.fill(0.0);
            }
            let taken = queue.pop(START).unwrap();
            served[taken.item] += taken.work_tokens as f64 / f64::from(taken.weight);
            push(&mut queue, taken.item, count);
            let waiting = if count >= joins_after { 0..=last } else { 0..=last - 1 };
            for a in waiting.clone() {
                for b in waiting.clone() {
                    let longest = |flow: usize| flows[flow].1 as f64 / f64::from(flows[flow].0);
                    prop_assert!(served[a] - served[b] <= longest(a) + longest(b) + 1.0);
                }
            }
        }
    }

    // Symptom: batch work waits for ever behind a busy day, or delays those who wait at a screen.
    // Sequence: every priority always has work waiting. Cause: strict order, or aging, which under
    // lasting overload turns all priorities into one line.
    #[test]
    fn lower_priorities_get_their_share_and_no_more(
        works in proptest::collection::vec((0..3_usize, 1..2_000_u64), 300),
    ) {
        let mut queue = FairQueue::new(1_000, 1);
        let mut by_level = Priority::ALL.map(|_| Vec::new());
        for (level, work) in &works {
            by_level[*level].push(*work);
        }
        let push = |queue: &mut FairQueue<usize>, level: usize, count: usize| {
            let works = &by_level[level];
            let work = works.get(count % works.len().max(1)).copied().unwrap_or(10);
            put(queue, START, at(Priority::ALL[level], entry(0, 1, work, level)));
        };
        (0..6).for_each(|count| push(&mut queue, count / 2, count));
        let mut served = [0.0; 3];
        for count in 1..400 {
            let taken = queue.pop(START).unwrap();
            served[taken.item] += taken.work_tokens as f64;
            push(&mut queue, taken.item, count);
            for (lower, share) in GUARANTEED_SHARES.iter().enumerate().skip(1) {
                let higher: f64 = served[..lower].iter().sum();
                prop_assert!(served[lower] <= share * higher);
                prop_assert!(served[lower] >= share * (higher - 2_000.0) - 2_000.0);
            }
        }
    }

    // Symptom: a request is never answered, is answered twice, or a queue grows without bound.
    // Sequence: any order of pushes, takes, removals and passing deadlines, with a surge of one
    // workspace. Cause: an entry leaves the queue on a way that answers nobody.
    #[test]
    fn each_request_leaves_once_and_room_is_kept(
        steps in proptest::collection::vec((0..6_u8, 0..5_usize, 0..3_usize, 1..500_u64), 1..300),
        room in 1..20_usize,
    ) {
        let mut queue = FairQueue::new(room, 1);
        let mut now = START;
        let mut waiting = HashMap::new();
        let mut ids = Vec::new();
        for (count, (step, workspace, level, work)) in steps.into_iter().enumerate() {
            now += Duration::from_millis(work);
            match step {
                0..=2 => {
                    let deadline = now + Duration::from_millis(work * 7);
                    let entry = Entry { deadline, ..entry(workspace.min(2), 1, work, count) };
                    match queue.push(now, at(Priority::ALL[level], entry)) {
                        Ok(queued) => {
                            ids.push(queued.id);
                            waiting.insert(count, deadline);
                            if let Some(displaced) = queued.displaced {
                                prop_assert!(waiting.remove(&displaced.item).is_some());
                                prop_assert_eq!(displaced.reason, RefusalReason::QueueFull);
                            }
                        }
                        Err(refusal) => {
                            prop_assert_eq!(refusal.item, count);
                            prop_assert!((100..=30_000).contains(&refusal.retry_after_ms));
                        }
                    }
                }
                3 => {
                    if let Some(taken) = queue.pop(now) {
                        let deadline = waiting.remove(&taken.item);
                        prop_assert!(deadline.is_some_and(|deadline| deadline > now));
                    }
                }
                4 => {
                    for item in queue.expire(now) {
                        let deadline = waiting.remove(&item);
                        prop_assert!(deadline.is_some_and(|deadline| deadline <= now));
                    }
                    prop_assert!(waiting.values().all(|deadline| *deadline > now));
                    prop_assert_eq!(queue.next_expiry().is_some(), !waiting.is_empty());
                }
                _ => {
                    let id = ids.get(work as usize % ids.len().max(1)).copied();
                    if let Some(removed) = id.and_then(|id| queue.remove(now, id)) {
                        prop_assert!(waiting.remove(&removed.item).is_some());
                    }
                }
            }
            let lengths = Priority::ALL.map(|priority| queue.length(priority).requests);
            prop_assert!(lengths.iter().all(|length| *length <= room));
        }
        for item in queue.take_all(now) {
            prop_assert!(waiting.remove(&item).is_some());
        }
        prop_assert!(waiting.is_empty() && queue.is_empty());
    }

    // Symptom: during one workspace's surge all others get "queue full".
    // Sequence: one workspace fills the queue and keeps pushing; others come later, each within
    // its part of the room by weight. Cause: room is given by order of arrival.
    #[test]
    fn a_surge_leaves_others_their_part_of_the_room(
        weights in proptest::collection::vec(1..4_u32, 1..5),
        room in 8..64_usize,
        surge in 1..200_usize,
    ) {
        let mut queue = FairQueue::new(room, 1);
        let flood = |queue: &mut FairQueue<usize>| {
            for _ in 0..surge {
                let _ = queue.push(START, entry(0, 1, 100, 0));
            }
        };
        flood(&mut queue);
        let sum: u32 = weights.iter().sum::<u32>() + 1;
        for round in 0..room {
            for (other, weight) in weights.iter().enumerate() {
                if round < room * *weight as usize / sum as usize {
                    let pushed = queue.push(START, entry(other + 1, *weight, 100, other + 1));
                    let displaced = pushed.map(|queued| queued.displaced.map(|old| old.item));
                    prop_assert!(matches!(displaced, Ok(None | Some(0))));
                }
            }
            flood(&mut queue);
        }
    }

    // Symptom: callers refused in one second all come back in the same one, again and again.
    // Sequence: many requests are refused in one instant. Cause: one time to return for all.
    #[test]
    fn refused_callers_return_spread(seed in any::<u64>()) {
        let mut queue = FairQueue::new(10, seed);
        let mut per_tenth = HashMap::new();
        for item in 0..1_000 {
            if let Err(refusal) = queue.push(START, entry(0, 1, 100, item)) {
                *per_tenth.entry(refusal.retry_after_ms / 100).or_insert(0) += 1;
            }
        }
        let most = per_tenth.values().max().copied().unwrap_or(0);
        prop_assert!(most <= 99, "{most} of 990 return within 100 ms");
    }
}

// Symptom: a caller waits out its whole deadline to hear that it could not have been met.
// Sequence: work for a second waits ahead; a request with half a second arrives.
// Cause: the deadline is looked at only when the request's turn comes.
#[test]
fn a_deadline_that_cannot_be_met_is_refused_at_once() {
    let (mut queue, now) = measured();
    let before = queue.length(Priority::Normal);
    let soon = Entry { deadline: now + Duration::from_millis(500), ..entry(0, 1, 100, 99) };
    let refusal = queue.push(now, soon.clone()).unwrap_err();
    assert_eq!((refusal.reason, refusal.item), (RefusalReason::Deadline, 99));
    assert_eq!(queue.length(Priority::Normal), before);
    // Another workspace has its turn after one entry, a higher priority at once.
    put(&mut queue, now, Entry { workspace: "other".into(), ..soon.clone() });
    put(&mut queue, now, at(Priority::High, soon));
    // However much waits above, a lower priority is promised its guaranteed share.
    for item in 0..40 {
        put(&mut queue, now, at(Priority::High, entry(3, 1, 100, item)));
    }
    let wait = queue.wait(now, Priority::Normal, &"third".into());
    let promised_s = 0.1 * (1.0 + 1.0 / GUARANTEED_SHARES[1]);
    assert!((wait.as_secs_f64() / promised_s - 1.0).abs() < 0.1, "{wait:?}");
}

// Symptom: under overload many requests wait out their whole deadline to be refused.
// Sequence: work of each priority arrives faster than it is served, for five minutes.
// Cause: higher work that goes on arriving is not foreseen; or a request is accepted whose
// estimated wait is just its deadline.
#[test]
fn overload_is_refused_on_arrival_not_at_the_deadline() {
    let mut queue = FairQueue::new(64, 1);
    let mut next_arrival = [START; 3];
    let (mut next_pop, mut accepted, mut late) = (START, [0; 3], [0; 3]);
    for step in 0..300_000 {
        let now = Duration::from_millis(step);
        for (level, every_ms) in [(0, 55), (1, 160), (2, 170)] {
            if now < next_arrival[level] {
                continue;
            }
            next_arrival[level] = now + Duration::from_millis(every_ms);
            let deadline = now + Duration::from_secs(10);
            let work = 100 + step * 7_919 % 900;
            let entry = Entry { deadline, ..entry(0, 1, work, level) };
            accepted[level] += u32::from(queue.push(now, at(Priority::ALL[level], entry)).is_ok());
        }
        queue.expire(now).into_iter().for_each(|level| late[level] += 1);
        if now >= next_pop
            && let Some(taken) = queue.pop(now)
        {
            next_pop = now + Duration::from_millis(taken.work_tokens / 10);
        }
    }
    assert!(accepted.iter().all(|accepted| *accepted > 100), "{accepted:?}");
    // An entry of the lowest priority leaves every two seconds only, so that ten seconds hold few.
    let most = [0, accepted[1] / 50, accepted[2] / 5];
    assert!(late.iter().zip(most).all(|(late, most)| *late <= most), "{late:?} of {accepted:?}");
}

// Symptom: requests queue up in front of a frozen engine until each deadline passes.
// Sequence: the drain rate is known, then nothing leaves the queue for seconds.
// Cause: the rate is taken only when something leaves the queue.
#[test]
fn a_frozen_upstream_lengthens_the_estimate() {
    let (queue, now) = measured();
    let wait = |at| queue.wait(at, Priority::Normal, &"w0".into());
    assert!((900..1_100).contains(&wait(now).as_millis()));
    assert!(wait(now + Duration::from_secs(4)) > Duration::from_secs(4));
}

// Symptom: in the first moments of a surge, or after a change of owner, requests are refused for
// deadlines that are far off. Sequence: a new queue fills at once; its engine ends an answer each
// 100 ms; others ask before the first one ended. Cause: no end within 50 ms is taken for a rate of
// zero.
#[test]
fn a_new_queue_refuses_nobody_before_the_first_answer_ended() {
    let mut queue = FairQueue::new(64, 1);
    for item in 0..24 {
        put(&mut queue, START, entry(0, 1, 1_000, item));
    }
    let early = START + Duration::from_millis(90);
    let near = Entry { deadline: early + Duration::from_secs(10), ..entry(1, 1, 1_000, 24) };
    put(&mut queue, early, near);
    for tenth in 1..=4 {
        queue.pop(START + Duration::from_millis(100 * tenth)).unwrap();
    }
    // From a frozen engine nothing is expected for long, be the queue new or not.
    let late = START + Duration::from_secs(9);
    let mut frozen = FairQueue::new(64, 1);
    put(&mut frozen, START, entry(0, 1, 1_000, 0));
    put(&mut frozen, START, entry(1, 1, 1_000, 1));
    let refused = Entry { deadline: late + Duration::from_secs(5), ..entry(1, 1, 1_000, 2) };
    assert_eq!(frozen.push(late, refused).unwrap_err().reason, RefusalReason::Deadline);
}

// Symptom: at the start of a surge everything is accepted and then misses its deadline.
// Sequence: for minutes each request leaves the queue the instant it came; then a surge drains at
// 1,000 tokens a second. Cause: the idle minutes are measured as an enormous drain rate.
#[test]
fn idle_passages_do_not_count_as_drain() {
    let mut queue = FairQueue::new(64, 1);
    let mut now = START;
    for item in 0..1_000 {
        now += Duration::from_millis(100);
        put(&mut queue, now, entry(0, 1, 100, item));
        queue.pop(now + Duration::from_micros(5)).unwrap();
    }
    for item in 0..12 {
        put(&mut queue, now, entry(0, 1, 100, item));
    }
    for _ in 0..2 {
        now += Duration::from_millis(100);
        queue.pop(now).unwrap();
    }
    let wait = queue.wait(now, Priority::Normal, &"w0".into());
    assert!((900..1_100).contains(&wait.as_millis()), "{wait:?}");
}

// Symptom: a queue's memory grows with the number of workspaces that ever passed through it.
// Sequence: one workspace always waits while thousands of others come and go.
// Cause: the virtual finish of each is kept for ever.
#[test]
fn workspaces_that_left_are_forgotten() {
    let mut queue = FairQueue::new(64, 1);
    put(&mut queue, START, entry(0, 1, 1_000_000, 0));
    for other in 1..10_000 {
        put(&mut queue, START, entry(other, 1, 1, other));
        queue.pop(START).unwrap();
        assert!(queue.workspaces() <= 2 * 64 + 1, "{}", queue.workspaces());
    }
}
