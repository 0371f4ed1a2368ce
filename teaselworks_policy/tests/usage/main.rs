//! Use equals work, through lost, repeated and reordered messages and killed routers.

mod faults;
mod world;

use std::time::Duration;

use proptest::prelude::*;
use teaselworks_policy::usage::{Call, Ledger, Period, Request, Slot, Source};

use self::world::{Message, ROUTERS, WORKSPACES, World, name};

fn history() -> impl Strategy<Value = Vec<(u8, u8, u8)>> {
    proptest::collection::vec(any::<(u8, u8, u8)>(), 0..300)
}

// Symptom: the use of a killed router is missing, or missing while the platform is away.
// Sequence: a router charges an attempt, half a second later it is killed; the platform is away
// for an hour, in which the router that holds the copy is killed too.
// Cause: use that only one router holds goes with it.
#[test]
fn a_killed_routers_use_is_brought_by_whoever_holds_the_copy() {
    let mut world = World::new();
    world.record(0, 2);
    world.run(3, false);
    assert!(world.kill(0, true), "the copy is not held in time");
    world.run(40, false);
    assert!(world.kill(1, true), "the copy is not copied on");
    world.run(3_600, false);
    assert_eq!(world.count(0), 0);
    world.settle();
    assert_eq!(world.count(0), 1);
}

// Symptom: what a killed router did in its last moment is charged to nobody, or twice.
// Sequence: of three attempts one is copied, one has just ended, one still runs; the router that
// owns them is killed; each was seen by its entry. Or: the router was only paused, and wakes.
// Cause: nobody but the entry saw the last two, and nobody but the copy's holder knows which they
// are.
#[test]
fn entries_claim_what_a_killed_router_had_not_copied() {
    for wakes in [false, true] {
        let mut world = World::new();
        world.run(30, true);
        world.record(0, 2);
        world.run(3, true);
        world.record(0, 2);
        world.begin(0, 3);
        let paused = world.routers[0].ledger.clone();
        assert!(world.kill(0, true));
        if wakes {
            world.routers[0].incarnation = 1;
            world.routers[0].view.clear();
            world.routers[0].ledger = Ledger::new(Source { router: name(0), incarnation: 0 });
            for other in 1..ROUTERS {
                world.routers[other].view.remove(&0);
            }
        }
        world.run(10, true);
        if wakes {
            world.routers[0].ledger = paused;
        }
        world.settle();
        for index in 0..3 {
            assert_eq!(world.count(index), 1, "attempt {index}, wakes {wakes}");
        }
    }
}

// Symptom: a router is killed, and what it generated for its own callers is charged to nobody.
// Sequence: an attempt runs at the router that it came in at; the router is killed; or it is only
// cut off for a while, and ends the attempt later.
// Cause: no other router sees such an attempt.
#[test]
fn attempts_that_only_a_killed_router_saw_are_charged() {
    for killed in [true, false] {
        let mut world = World::new();
        world.run(30, true);
        world.begin(0, 0);
        world.progress(0);
        world.run(2, true);
        if killed {
            world.kill(0, false);
            world.run(5, true);
        } else {
            (1..ROUTERS).for_each(|other| assert!(world.routers[other].view.remove(&0)));
            let cut_off = std::mem::take(&mut world.routers[0].view);
            for _ in 0..12 {
                world.now += Duration::from_secs(1);
                (1..ROUTERS).for_each(|router| world.tick(router));
                (0..20).for_each(|_| world.deliver(0, 0));
            }
            world.routers[0].view = cut_off;
            world.end_running(None, |_| true);
        }
        world.settle();
        assert_eq!(world.count(0), 1, "killed {killed}");
    }
}

// Symptom: an attempt is charged by its end, and again by its progress when its router is lost
// later. Sequence: a message about an attempt in progress comes late, after the attempt's end was
// copied; a minute later the router is killed.
// Cause: progress that outlives the attempt.
#[test]
fn progress_of_an_ended_attempt_is_forgotten() {
    for late in [false, true] {
        let mut world = World::new();
        // Charges right after a change of the holder are contested, which would hide the fault.
        world.run(30, true);
        world.begin(0, 0);
        world.progress(0);
        world.now += Duration::from_secs(1);
        world.tick(0);
        let told = world.messages.clone();
        world.run(1, true);
        world.end_running(None, |_| true);
        world.run(2, true);
        world.messages.extend(told.into_iter().filter(|_| late));
        world.run(60, true);
        world.kill(0, false);
        world.run(10, true);
        world.settle();
        assert_eq!(world.count(0), 1, "late {late}");
    }
}

// Symptom: a workspace pays for another one's attempts, or for none, after a router was replaced.
// Sequence: a source has numbered names for the holder of its copies; the holder is killed and
// starts anew; the source copies attempts under the same names and new ones, and is killed.
// Cause: numbers whose names only the killed holder knew.
#[test]
fn a_new_holder_is_told_the_names_again() {
    let mut world = World::new();
    world.run(30, true);
    for _ in 0..4 {
        world.record(0, 2);
        world.run(2, false);
    }
    world.kill(1, false);
    for like in 0..4 {
        world.record_like(like, 0, 2);
        world.record(0, 2);
        world.run(3, false);
    }
    world.run(5, false);
    assert!(world.kill(0, true), "the new holder has no copy");
    world.settle();
    for index in 0..4 {
        assert_eq!(world.count(index), 2, "attempt {index}");
    }
    for index in [5, 7, 9, 11] {
        assert_eq!(world.count(index), 1, "attempt {index}");
    }
}

// Symptom: the use of a workspace is refused for ever, or added to another one's.
// Sequence: attempts under one key come one after the other, and the slot's owner finds its row by
// hash; the platform is restored from a backup without the row, and the owner is replaced.
// Cause: a row that is offered by hash to an owner that does not have it.
#[test]
fn rows_are_offered_by_hash_only_where_they_are_known() {
    let mut world = World::new();
    let shard = Slot::of(Period::at(0), WORKSPACES[0]).shard;
    let owner = usize::from(shard) % ROUTERS;
    let source = (owner + 1) % ROUTERS;
    // Charges right after a change of the holder are contested, and told by name.
    world.run(30, true);
    world.record(source, owner);
    world.run(20, true);
    world.record_like(0, source, owner);
    let mut hashed = 0;
    for _ in 0..20 {
        world.now += Duration::from_secs(1);
        world.tick(source);
        for message in &world.messages {
            let Message::Request(.., Call { request: Request::Offer(offer), .. }) = message else {
                continue;
            };
            hashed += offer.portions.iter().map(|portion| portion.hashed.len()).sum::<usize>();
            assert!(offer.portions.iter().all(|portion| portion.rows.is_empty()));
        }
        world.run(1, true);
    }
    assert!(hashed > 0, "the row is told by name");
    assert_eq!(world.count(0), 2);
    world.platform.clear();
    world.kill(owner, false);
    world.record_like(0, source, (source + 1) % ROUTERS);
    world.run(30, true);
    assert_eq!(world.count(0), 1);
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(128))]

    // Symptom: a workspace pays twice, or use is missing from its month.
    // Sequence: answers of routers and of the platform are lost after they took effect, messages
    // come twice and out of order, routers disagree about who is live, and routers are killed
    // one at a time, at any step of a copy, an offer or a write.
    // Cause: whoever repeats a step can't know whether its first try took effect.
    #[test]
    fn use_equals_work_through_single_failures(history in history()) {
        let mut world = World::new();
        for action in history {
            world.act(action, true);
        }
        world.settle();
        for index in 0..world.attempts.len() {
            let least = u64::from(!world.may_be_lost.contains(&index));
            prop_assert!((least..=1).contains(&world.count(index)), "attempt {}", index);
        }
    }

    // Symptom: use is lost although a router or the platform still had it, or counts twice.
    // Sequence: as above, but a router may be killed while it is the only one that holds use.
    // Cause: a charge is lost only with its last holder.
    #[test]
    fn use_is_lost_only_with_its_last_holder(history in history()) {
        let mut world = World::new();
        for action in history {
            world.act(action, false);
        }
        world.settle();
        for index in 0..world.attempts.len() {
            let least = u64::from(!world.may_be_lost.contains(&index));
            prop_assert!((least..=1).contains(&world.count(index)), "attempt {}", index);
        }
    }
}
