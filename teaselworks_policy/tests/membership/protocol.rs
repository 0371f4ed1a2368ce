//! The membership protocol through lost, late and repeated messages, pauses and splits.

use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use teaselworks_policy::membership::{Evidence, Liveness, Record, RouterState, Standing, Timing};

use crate::fleet::{Fleet, Network, Node, name, push};

const SECOND: Duration = Duration::from_secs(1);
const MILLISECOND: Duration = Duration::from_millis(1);

fn settled(size: usize, zones: usize, seed: u64) -> Fleet {
    let mut fleet = Fleet::new(size, zones, Timing::default(), seed);
    fleet.run_while(60 * SECOND, |fleet| !fleet.agrees());
    fleet.run_until(fleet.now + 10 * SECOND, |_| {});
    fleet
}

fn standing(fleet: &Fleet, node: usize) -> Standing {
    fleet.nodes[node].membership.standing(fleet.now)
}

/// Sums the losses that routers count of themselves.
fn flaps(fleet: &Fleet, nodes: &[usize]) -> u32 {
    let own = |node: &usize| fleet.nodes[*node].membership.record(&name(*node)).unwrap();
    nodes.iter().map(|node| u32::from(own(node).flaps)).sum()
}

fn share(fleet: &Fleet, node: usize) -> f64 {
    fleet.nodes[node].membership.view().reached_share()
}

/// Symptom: requests for a killed router's replicas fail for long. Sequence: a router is killed;
/// only few others happen to probe it. Cause: losses that are not passed on.
#[test]
fn a_killed_router_is_dead_to_everyone_in_seconds() {
    let mut fleet = settled(8, 4, 1);
    fleet.kill(3);
    let elapsed = fleet.run_while(10 * SECOND, |fleet| fleet.seen(3, RouterState::Dead) < 7);
    assert!(elapsed <= 6 * SECOND, "{elapsed:?}");
    fleet.restart(3);
    fleet.run_while(30 * SECOND, |fleet| !fleet.agrees());
    assert_eq!(fleet.nodes[0].membership.record(&name(3)).unwrap().flaps, 1);
}

/// Symptom: a stopping router gets new work. Sequence: it says that it leaves; an older "alive"
/// arrives later. Cause: the last message wins.
#[test]
fn leaving_reaches_everyone_and_lasts() {
    let mut fleet = settled(48, 4, 2);
    fleet.network = Network { loss: 0.1, duplicate: 0.1, longest_delay_ms: 100 };
    fleet.leave(5);
    let seen = |fleet: &Fleet| fleet.seen(5, RouterState::Leaving);
    let elapsed = fleet.run_while(10 * SECOND, |fleet| seen(fleet) < 48);
    assert!(elapsed <= 3 * SECOND, "{elapsed:?}");
    fleet.run_until(fleet.now + 20 * SECOND, |fleet| {
        let owns =
            |node: &&Node| node.membership.view().owners().any(|owner| owner.name == name(5));
        assert_eq!(fleet.nodes.iter().filter(owns).count(), 0);
    });
}

/// Symptom: two routers admit work to one engine. Sequence: the owner is paused for 30 seconds;
/// another takes over; the owner wakes, with answers to old probes in its sockets. Cause: it
/// trusts the view and the proofs from before the pause.
#[test]
fn a_router_that_wakes_owns_nothing_until_a_peer_counts_on_it() {
    let mut fleet = settled(8, 4, 3);
    let wake = fleet.now + 30 * SECOND;
    fleet.nodes[2].paused_until = wake;
    fleet.run_until(wake - Duration::from_millis(1), |_| {});
    assert_eq!(fleet.seen(2, RouterState::Dead), 7);
    assert!(matches!(standing(&fleet, 2), Standing::Unconfirmed { .. }));
    let owned_before = fleet.nodes[2].membership.owner_since();
    let mut confirmed_while_dead = 0;
    let mut joined = false;
    fleet.run_until(wake + 10 * SECOND, |fleet| {
        let dead_to_all = fleet.seen(2, RouterState::Dead) == 7;
        let confirmed = standing(fleet, 2) == Standing::Confirmed;
        confirmed_while_dead += u32::from(dead_to_all && confirmed);
        joined |= fleet.seen(2, RouterState::Joining) > 0;
    });
    assert_eq!(confirmed_while_dead, 0);
    assert!(joined, "it waits before it owns again, though it first heard of the suspicion");
    fleet.run_while(30 * SECOND, |fleet| !fleet.agrees());
    assert_eq!(fleet.seen(0, RouterState::Alive), 8, "the sleeper took no peer for dead");
    assert!(fleet.nodes[2].membership.owner_since() > owned_before);
}

/// Symptom: a healthy router loses its replicas when another one wakes. Sequence: A misses a few
/// probes of B; B is paused; B wakes, and the time in which A could deny is over. Cause: deadlines
/// run on while a router stands still.
#[test]
fn a_router_that_wakes_declares_nobody_lost() {
    let mut fleet = settled(8, 4, 7);
    fleet.nodes[3].paused_until = fleet.now + 1_300 * MILLISECOND;
    let suspects = |fleet: &Fleet| {
        let record = fleet.nodes[2].membership.record(&name(3)).unwrap();
        record.liveness == Liveness::Suspect
    };
    let now = fleet.now;
    fleet.nodes[2].membership.on_evidence(now, &name(3), Evidence::Failed);
    fleet.run_while(3 * SECOND, |fleet| !suspects(fleet));
    fleet.nodes[2].paused_until = fleet.now + 10 * SECOND;
    fleet.run_until(fleet.now + 20 * SECOND, |_| {});
    assert_eq!(fleet.nodes[3].membership.record(&name(3)).unwrap().flaps, 0);
}

/// Symptom: a router owns beside its successor. Sequence: it is paused and declared lost; on waking
/// it hears only of the suspicion before. Cause: its denial of the suspicion undoes the loss.
#[test]
fn a_suspicion_heard_without_a_proof_counts_as_a_loss() {
    let fleet = settled(2, 2, 8);
    let own = fleet.nodes[0].membership.record(&name(0)).unwrap();
    let suspected = Record { liveness: Liveness::Suspect, ..own };
    let sender = fleet.nodes[1].membership.record(&name(1)).unwrap();
    let message = push(name(1), sender, name(0), suspected);
    let mut proved = fleet.nodes[0].membership.clone();
    proved.on_request(fleet.now, &message);
    assert!(!proved.record(&name(0)).unwrap().joining);
    let mut woken = fleet.nodes[0].membership.clone();
    woken.on_request(fleet.now + 30 * SECOND, &message);
    assert!(woken.record(&name(0)).unwrap().joining);
}

/// Symptom: a router that flaps moves its replicas with each flap. Sequence: it stands still for
/// four seconds out of eight, ten times. Cause: it owns again as soon as it is seen again.
#[test]
fn a_flapping_router_moves_its_names_once() {
    let mut fleet = settled(8, 4, 9);
    let owns = |fleet: &Fleet| {
        let view = fleet.nodes[0].membership.view();
        view.owners().any(|owner| owner.name == name(2))
    };
    let (mut moves, mut owned) = (0, true);
    for _ in 0..10 {
        fleet.nodes[2].paused_until = fleet.now + 4 * SECOND;
        fleet.run_until(fleet.now + 8 * SECOND, |fleet| {
            moves += u32::from(owned != owns(fleet));
            owned = owns(fleet);
        });
    }
    assert_eq!(moves, 1);
    fleet.run_while(400 * SECOND, |fleet| !owns(fleet));
}

/// Symptom: a restarted router never gets work. Sequence: it starts again with its wall clock an
/// hour behind. Cause: peers take its statements for older than those of its former life.
#[test]
fn a_router_whose_clock_was_set_back_is_heard() {
    let mut fleet = settled(4, 2, 10);
    fleet.kill(1);
    fleet.restart_at(1, Duration::ZERO);
    fleet.run_while(60 * SECOND, |fleet| !fleet.agrees());
    let own = fleet.nodes[1].membership.record(&name(1));
    assert_eq!(fleet.nodes[0].membership.record(&name(1)), own);
}

/// Symptom: a healthy router gets no work. Sequence: it is missing from the others' readings of the
/// list for long, while it has found them. Cause: the list is taken for the truth.
#[test]
fn the_list_alone_kills_nobody() {
    let mut fleet = Fleet::new(4, 2, Timing::default(), 11);
    for node in 0..3 {
        fleet.read_list(node, &[0, 1, 2]);
    }
    fleet.run_while(60 * SECOND, |fleet| !fleet.agrees());
    for node in 0..4 {
        fleet.read_list(node, &[]);
    }
    let end = fleet.now + 60 * SECOND;
    fleet.run_until(end, |fleet| assert!(fleet.agrees()));
}

/// Symptom: requests for a dead router's replicas fail until the next probe in turn. Sequence: a
/// router is killed; a request to it fails. Cause: what real traffic shows is not used.
#[test]
fn a_failed_request_hastens_the_probe() {
    let mut fleet = settled(48, 4, 12);
    fleet.kill(5);
    let now = fleet.now;
    fleet.nodes[20].membership.on_evidence(now, &name(5), Evidence::Failed);
    let timing = Timing::default();
    let least = timing.round_time() + timing.suspicion;
    let elapsed = fleet.run_while(10 * SECOND, |fleet| fleet.seen(5, RouterState::Dead) == 0);
    assert!(elapsed <= least + 300 * MILLISECOND, "{elapsed:?}");
}

/// Symptom: after a zone was cut off, its routers stay dead, or all names move again and again.
/// Sequence: a zone of two is cut off, each side takes the other for dead, the cut ends. Cause:
/// nobody probes the dead; and every router that denies its loss pauses, those of the larger
/// side too.
#[test]
fn a_split_heals_and_only_the_smaller_side_waits() {
    let mut fleet = settled(8, 4, 4);
    for node in [0, 4] {
        fleet.nodes[node].side = 1;
    }
    fleet.run_while(20 * SECOND, |fleet| share(fleet, 0) > 0.25 || share(fleet, 1) > 0.75);
    assert_eq!(standing(&fleet, 0), Standing::Confirmed, "a side of two goes on");
    fleet.nodes.iter_mut().for_each(|node| node.side = 0);
    let mut large_side_waited = false;
    let end = fleet.now + 60 * SECOND;
    fleet.run_until(end, |fleet| {
        large_side_waited |= fleet.seen(1, RouterState::Joining) > 0;
    });
    assert!(fleet.agrees());
    assert!(!large_side_waited);
    assert_eq!(flaps(&fleet, &[1, 2, 3, 5, 6, 7]), 0, "the larger side is excused");
}

/// Symptom: all routers lose their replicas when one returns. Sequence: a router is cut off, takes
/// all others for lost, goes on by itself and returns. Cause: it spreads what it took for true.
#[test]
fn a_router_that_was_cut_off_accuses_nobody() {
    let mut fleet = settled(8, 4, 13);
    fleet.nodes[2].side = 1;
    fleet.run_while(30 * SECOND, |fleet| share(fleet, 2) > 0.2);
    let alone = fleet.run_while(30 * SECOND, |fleet| standing(fleet, 2) != Standing::Confirmed);
    assert!(alone <= 10 * SECOND, "{alone:?}");
    fleet.run_until(fleet.now + 10 * SECOND, |_| {});
    fleet.nodes[2].side = 0;
    fleet.run_while(60 * SECOND, |fleet| !fleet.agrees());
    assert_eq!(fleet.denials, 1, "none but its own loss");
}

/// Symptom: a fleet whose list names dead VMs, or of one router only, never serves. Sequence: a
/// router starts and nobody answers. Cause: it waits for a proof that nobody can give.
#[test]
fn a_router_that_nobody_answers_goes_on_by_itself() {
    let mut fleet = Fleet::new(2, 2, Timing::default(), 5);
    fleet.kill(1);
    let wait = fleet.run_while(20 * SECOND, |fleet| fleet.seen(0, RouterState::Alive) == 0);
    assert!(wait >= SECOND, "it first waits for an answer");
    let mut single = Fleet::new(1, 1, Timing::default(), 6);
    let wait = single.run_while(20 * SECOND, |fleet| fleet.seen(0, RouterState::Alive) == 0);
    assert!(wait <= SECOND, "an empty list needs no wait");
}

#[derive(Clone, Copy, Debug)]
enum Fault {
    Pause { node: usize, ms: u64 },
    Kill(usize),
    Restart(usize),
    Split(u8),
    Leave(usize),
}

fn faults() -> impl Strategy<Value = Vec<(u64, Fault)>> {
    let fault = prop_oneof![
        (0..6_usize, 100..12_000_u64).prop_map(|(node, ms)| Fault::Pause { node, ms }),
        (0..6_usize).prop_map(Fault::Kill),
        (0..6_usize).prop_map(Fault::Restart),
        (0..64_u8).prop_map(Fault::Split),
        (0..6_usize).prop_map(Fault::Leave),
    ];
    proptest::collection::vec((0..5_000_u64, fault), 0..10)
}

fn apply(fleet: &mut Fleet, fault: Fault) {
    match fault {
        Fault::Pause { node, ms } => {
            fleet.nodes[node].paused_until = fleet.now + Duration::from_millis(ms);
        }
        Fault::Kill(node) => fleet.kill(node),
        Fault::Restart(node) if !fleet.nodes[node].running => fleet.restart(node),
        Fault::Restart(_) => {}
        Fault::Split(sides) => {
            for (index, node) in fleet.nodes.iter_mut().enumerate() {
                node.side = sides >> index & 1;
            }
        }
        Fault::Leave(node) if fleet.nodes[node].running => fleet.leave(node),
        Fault::Leave(_) => {}
    }
}

type Seen = Vec<Vec<Option<Record>>>;

/// Checks that no running router's knowledge of another went back.
fn assert_monotonic(fleet: &Fleet, seen: &mut Seen) {
    for (viewer, node) in fleet.nodes.iter().enumerate() {
        for (index, before) in seen[viewer].iter_mut().enumerate() {
            let Some(after) = node.membership.record(&name(index)) else { continue };
            let before = before.replace(after);
            let Some(before) = before else { continue };
            let same_life = before.incarnation == after.incarnation;
            assert!(after.incarnation >= before.incarnation, "an old life came back");
            assert!(!same_life || !before.leaving || after.leaving, "leaving was taken back");
            let risen = before.liveness == Liveness::Dead && after.liveness != Liveness::Dead;
            assert!(!same_life || !risen || after.revision > before.revision, "undenied return");
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 64,
        rng_seed: RngSeed::Fixed(3),
        ..ProptestConfig::default()
    })]

    /// Symptom: routers disagree for good, a leaving router gets work again, a dead one returns.
    /// Sequence: any mix of losses, repeats, delays, pauses, kills, restarts, splits and stops.
    /// Cause: merging that depends on the order of messages.
    #[test]
    fn views_never_go_back_and_agree_in_the_end(
        seed in any::<u64>(),
        loss in 0.0..0.25,
        duplicate in 0.0..0.3,
        longest_delay_ms in 0..400_u64,
        script in faults(),
    ) {
        let timing = Timing { rejoin_hold: SECOND, ..Timing::default() };
        let mut fleet = Fleet::new(6, 3, timing, seed);
        fleet.network = Network { loss, duplicate, longest_delay_ms };
        let mut seen: Seen = vec![vec![None; 6]; 6];
        for (wait_ms, fault) in script {
            let end = fleet.now + Duration::from_millis(wait_ms);
            fleet.run_until(end, |fleet| assert_monotonic(fleet, &mut seen));
            if matches!(fault, Fault::Restart(_)) {
                // A new process knows nothing.
                seen = vec![vec![None; 6]; 6];
            }
            apply(&mut fleet, fault);
        }
        fleet.network = Network { longest_delay_ms: 2, ..Network::default() };
        fleet.nodes.iter_mut().for_each(|node| node.side = 0);
        let end = fleet.now + 20 * SECOND;
        fleet.run_until(end, |fleet| assert_monotonic(fleet, &mut seen));
        fleet.run_while(400 * SECOND, |fleet| !fleet.agrees());
    }

    /// Symptom: two routers that heard the same differ for good. Sequence: the same records in
    /// another order, some twice. Cause: a merge that isn't associative, commutative and
    /// idempotent.
    #[test]
    fn merging_is_the_same_in_every_order(records in proptest::collection::vec(record(), 3)) {
        let [a, b, c] = [records[0], records[1], records[2]];
        prop_assert_eq!(a.merge(b), b.merge(a));
        prop_assert_eq!(a.merge(b).merge(c), a.merge(b.merge(c)));
        prop_assert_eq!(a.merge(b).merge(b), a.merge(b));
    }
}

fn record() -> impl Strategy<Value = Record> {
    let liveness =
        prop_oneof![Just(Liveness::Alive), Just(Liveness::Suspect), Just(Liveness::Dead),];
    (1..3_u64, 0..3_u32, any::<bool>(), liveness, any::<bool>(), 0..3_u8).prop_map(
        |(incarnation, revision, joining, liveness, leaving, flaps)| Record {
            incarnation,
            revision,
            joining,
            liveness,
            leaving,
            flaps,
        },
    )
}
