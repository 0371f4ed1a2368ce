//! Exchange of offered load between routers: totals, failures of routers and of the network.

mod exchange_fleet;

use std::collections::HashMap;
use std::time::Duration;

use self::exchange_fleet::{Fleet, Router, STEP, address, assert_near, load, ms, offered, usable};
use teaselworks_policy::shares::{
    ExchangeKind, ExchangeMessage, OfferedRow, RankLoad, ReportedLoad, WorkspaceKey, service_key,
};

/// Guards against totals that lack routers or count them twice, and against old ones: under overload
/// the oldest part is at most 800 ms old, otherwise at most 3.1 s (report, group, answer).
#[test]
fn totals_equal_the_sum_at_every_size() {
    for size in [7, 64, 295, 410] {
        for (is_overloaded, max_age) in [(true, ms(800)), (false, ms(3_100))] {
            let mut fleet = Fleet::new(size);
            fleet.is_overloaded = is_overloaded;
            fleet.run(ms(6_000), |_, _, _, _| {});
            let mut oldest = Duration::ZERO;
            fleet.run(ms(2_000), |_, _, totals, sum| {
                let totals = totals.unwrap();
                assert_near(offered(totals), sum);
                assert_near(totals.in_progress, sum);
                assert_near(totals.rows[0].usual, sum / 2.0);
                assert_eq!(totals.routers as usize, size);
                oldest = oldest.max(totals.age);
            });
            println!("{size} routers, overloaded {is_overloaded}: oldest totals {oldest:?}");
            assert!(oldest <= max_age, "{size} routers: {oldest:?}");
            fleet.routers[3].slots = 50.0;
            fleet.run(max_age, |_, _, _, _| {});
            fleet.run(ms(5), |_, _, totals, sum| assert_near(offered(totals.unwrap()), sum));
        }
    }
}

/// Guards against a group without totals after its aggregator was killed, and against totals that
/// lack its routers meanwhile.
#[test]
fn the_backup_takes_over_from_a_killed_aggregator_within_750_ms() {
    for size in [7, 64, 410] {
        let mut fleet = Fleet::new(size);
        fleet.settle();
        let (killed, backup) = fleet.aggregators(0);
        let killed_at = fleet.now;
        fleet.routers[killed].is_up = false;
        let mut unusable = Duration::ZERO;
        fleet.run(ms(4_000), |_, number, totals, sum| match usable(totals) {
            Some(totals) => assert!(offered(totals) > sum - 1e-6, "{}", offered(totals)),
            None if number == 0 => unusable += STEP,
            None => {}
        });
        println!("{size} routers: a router's totals were older than 1 s for {unusable:?}");
        assert!(unusable < ms(1_500), "{unusable:?}");
        for number in (0..size).filter(|number| fleet.aggregators(*number).0 == killed) {
            let own = fleet.reports.iter().filter(|(_, from, _)| *from == number);
            let own: Vec<_> = own.filter(|(at, _, _)| *at > killed_at).collect();
            // The backup itself sends no datagram for its reports.
            let first = own.iter().find(|(_, _, to)| *to == address(backup));
            if number != killed && number != backup {
                assert!(first.unwrap().0 - own[0].0 <= ms(750), "{number}");
            }
        }
        fleet.run(ms(10), |_, _, totals, sum| {
            assert!(offered(totals.unwrap()) < sum + 1e-6, "killed or doubled routers are counted");
        });
    }
}

/// Guards against messages that waited in the socket of a frozen aggregator and count as new: the
/// load was 20 times as large before the freeze.
#[test]
fn an_aggregator_that_was_frozen_spreads_no_stale_load() {
    for (size, frozen_ms) in [(7, 3_000), (64, 900), (64, 3_000), (410, 10_000)] {
        for ticks_first in [false, true] {
            let mut fleet = Fleet::new(size);
            fleet.routers.iter_mut().for_each(|router| router.slots = 40.0);
            fleet.settle();
            let (frozen, _) = fleet.aggregators(0);
            fleet.routers[frozen].is_frozen = true;
            fleet.run(ms(frozen_ms - 800), |_, _, _, _| {});
            fleet.routers.iter_mut().for_each(|router| router.slots = 2.0);
            fleet.run(ms(800), |_, _, _, _| {});
            fleet.thaw(frozen, ticks_first);
            fleet.run(ms(6_000), |now, number, totals, sum| {
                let Some(totals) = usable(totals) else { return };
                assert!(offered(totals) < 2.0 * sum + 1e-6, "{number}, {now:?}: {totals:?}");
                assert!(offered(totals) > 0.8 * sum, "{number}: {totals:?}");
            });
            fleet.run(ms(10), |_, _, totals, sum| assert_near(offered(totals.unwrap()), sum));
        }
    }
}

/// Guards against a restarted router whose messages are ignored, since its sequence numbers begin
/// anew, or that is counted beside its earlier process; a late message of that must not count.
#[test]
fn a_restarted_router_replaces_its_earlier_process() {
    for size in [7, 64] {
        let mut fleet = Fleet::new(size);
        fleet.settle();
        let (aggregator, backup) = fleet.aggregators(0);
        let member = (0..size).find(|n| *n != aggregator && *n != backup).unwrap();
        for restarted in [aggregator, backup, member] {
            fleet.restart(restarted);
            fleet.run(ms(2_000), |_, _, totals, sum| {
                if let Some(totals) = usable(totals) {
                    assert!(offered(totals) > 0.8 * sum - 1e-6, "{totals:?}");
                    assert!(totals.routers as usize <= size);
                }
            });
            fleet.run(ms(10), |_, _, totals, sum| {
                assert_near(offered(usable(totals).unwrap()), sum);
            });
        }
    }
}

/// Guards against a late message of the process before a restart that replaces a newer one.
#[test]
fn messages_of_an_earlier_process_and_repeated_ones_are_ignored() {
    let mut fleet = Fleet::new(2);
    fleet.settle();
    let (aggregator, _) = fleet.aggregators(0);
    let other = address(1 - aggregator);
    let message = |process, sequence, slots| ExchangeMessage {
        process,
        sequence,
        service: service_key("chat"),
        load: load(slots, true),
        kind: ExchangeKind::Offered { is_frequent: true },
    };
    let exchange = &mut fleet.routers[aggregator].exchange;
    let mut is_answered = |message| !exchange.on_message(fleet.now, other, message).is_empty();
    assert!(is_answered(message(1, 5, 3.0)));
    assert!(!is_answered(message(1, 5, 3.0)), "repeated");
    assert!(!is_answered(message(1, 4, 4.0)), "out of order");
    assert!(is_answered(message(2, 1, 5.0)), "restarted");
    assert!(!is_answered(message(1, 6, 6.0)), "of the process before");
}

/// Guards against a router that is cut off and takes what it sees itself for the load of the fleet,
/// and against routers that wait for it.
#[test]
fn an_aggregator_that_is_cut_off_has_no_totals_and_others_go_on() {
    for size in [7, 64, 410] {
        let mut fleet = Fleet::new(size);
        fleet.settle();
        let (cut_off, _) = fleet.aggregators(0);
        fleet.routers[cut_off].is_cut_off = true;
        fleet.run(ms(2_000), |_, _, _, _| {});
        fleet.run(ms(5_000), |_, number, totals, sum| {
            let totals = usable(totals);
            if number == cut_off {
                assert_eq!(totals, None);
            } else {
                assert_near(offered(totals.unwrap()), sum - 2.0);
            }
        });
        fleet.routers[cut_off].is_cut_off = false;
        let healed_at = fleet.now;
        let mut whole_from = healed_at;
        fleet.run(ms(7_000), |now, _, totals, sum| {
            if usable(totals).is_none_or(|totals| (offered(totals) - sum).abs() > 1e-6) {
                whole_from = now;
            }
        });
        println!("{size} routers: all totals whole {:?} after the cut", whole_from - healed_at);
        // The next try of the aggregator, the lifetime at the backup, and one message each way.
        assert!(whole_from - healed_at <= ms(2_250 + 1_500 + 750));
    }
}

/// Guards against two halves of a fleet that both give away the whole capacity.
#[test]
fn halves_that_do_not_reach_each_other_have_no_totals() {
    let mut fleet = Fleet::new(64);
    fleet.settle();
    fleet.routers.iter_mut().skip(32).for_each(|router| router.is_cut_off = true);
    fleet.run(ms(2_500), |_, _, _, _| {});
    fleet.run(ms(2_000), |_, _, totals, _| assert_eq!(usable(totals), None));
}

/// Guards against totals that a lossy network makes too small, or larger than by routers that are
/// counted twice while they change their aggregator.
#[test]
fn totals_are_bounded_while_datagrams_are_lost_reordered_and_doubled() {
    for (size, loss, delay_ms) in
        [(7, 0.3, 300), (64, 0.01, 0), (64, 0.3, 300), (410, 0.01, 0), (410, 0.3, 300)]
    {
        let mut fleet = Fleet::new(size);
        fleet.faults = (loss, 0.3, delay_ms);
        fleet.settle();
        let (mut readings, mut usable_readings, mut ratios) = (0, 0, Vec::new());
        fleet.run(ms(6_000), |_, _, totals, sum| {
            readings += 1;
            usable_readings += u32::from(usable(totals).is_some());
            let Some(totals) = totals else { return };
            let ratio = offered(totals) / sum;
            assert!((0.8 - 1e-6..2.0 + 1e-6).contains(&ratio), "{size} routers: {ratio}");
            ratios.push(ratio);
        });
        ratios.sort_by(f64::total_cmp);
        let usable_part = f64::from(usable_readings) / f64::from(readings);
        let at = |part: f64| ratios[((ratios.len() - 1) as f64 * part) as usize];
        println!(
            "{size} routers, loss {loss}: {usable_part:.3} of the readings at most 1 s old; totals / \
             sum: least {:.3}, median {:.3}, largest {:.3}",
            at(0.0),
            at(0.5),
            at(1.0),
        );
        assert!(ratios.len() as f64 > 0.99 * f64::from(readings));
    }
}

/// Guards against routers that report to aggregators which others do not know: some of 66 know only
/// 62, so that they count four groups instead of five.
#[test]
fn routers_that_disagree_on_the_list_have_the_totals_of_all() {
    let mut fleet = Fleet::new(66);
    for router in fleet.routers.iter_mut().step_by(2) {
        (62..66).for_each(|n| {
            assert!(router.membership.remove(Duration::ZERO, &format!("router-{n}")))
        });
    }
    fleet.settle();
    fleet.run(ms(3_000), |_, _, totals, sum| {
        let ratio = offered(usable(totals).unwrap()) / sum;
        assert!((1.0 - 1e-6..2.0).contains(&ratio), "{ratio}");
    });
}

/// Guards against a new router that does not count until all lists contain it, and against senders
/// that are no routers and fill the memory or the totals.
#[test]
fn unlisted_senders_count_up_to_the_number_of_listed_routers() {
    let mut fleet = Fleet::new(7);
    fleet.settle();
    let (aggregator, _) = fleet.aggregators(0);
    for (unlisted, counted) in [(1, 8), (100, 14)] {
        for number in 0..unlisted {
            let message = ExchangeMessage {
                process: number,
                sequence: 1,
                service: service_key("chat"),
                load: load(1.0, true),
                kind: ExchangeKind::Offered { is_frequent: true },
            };
            let from = address(1_000 + number as usize);
            fleet.receive(aggregator, from, message);
        }
        fleet.run(ms(600), |_, _, _, _| {});
        fleet.run(ms(5), |_, _, totals, _| assert_eq!(totals.unwrap().routers, counted));
        fleet.run(ms(3_000), |_, _, _, _| {});
        fleet.run(ms(5), |_, _, totals, _| assert_eq!(totals.unwrap().routers, 7));
    }
}

/// Guards against a table that exceeds a datagram, or loses load when it is shortened.
#[test]
fn a_table_of_500_workspaces_keeps_its_load_and_its_largest_rows() {
    let ranks = |slots: f64| {
        let of = |rank| RankLoad { rank, new: slots, returning: slots / 10.0 };
        (0..3).map(of).collect::<Vec<_>>()
    };
    let row = |n: u32| OfferedRow {
        workspace: WorkspaceKey(u32::MAX - n),
        usual: f64::from(n),
        ranks: ranks(f64::from(n)),
    };
    let rows: Vec<OfferedRow> = (1..=500).map(row).collect();
    let own = ReportedLoad { rows: rows.clone(), ..load(1.0, true) };
    let mut fleet = Fleet::new(2);
    let member = 1 - fleet.aggregators(0).0;
    let Router { exchange, membership, .. } = &mut fleet.routers[member];
    let messages = exchange.on_tick(fleet.now, membership, &[("chat".into(), own)]);
    let sent = &messages[0].1.load.rows;
    assert!((20..100).contains(&sent.len()), "{}", sent.len());
    assert_eq!(sent[0].workspace, WorkspaceKey::REST);
    assert_eq!(sent[1], row(500));
    for rank in 0..3 {
        let sum = |rows: &[OfferedRow]| rows.iter().map(|row| row.ranks[rank].new).sum::<f64>();
        assert_near(sum(sent), sum(&rows));
    }
}

/// Guards against a load on aggregators that grows faster than their group and the number of groups.
/// Computed: under overload at 64 routers 150 datagrams a second, otherwise 40; at 410, 330 and 80.
#[test]
fn datagrams_of_an_aggregator_are_few() {
    for (size, is_overloaded, mean_max) in
        [(64, true, 200.0), (64, false, 60.0), (410, true, 500.0), (410, false, 130.0)]
    {
        let mut fleet = Fleet::new(size);
        fleet.is_overloaded = is_overloaded;
        fleet.run(ms(4_000), |_, _, _, _| {});
        fleet.sent.clear();
        fleet.received.clear();
        fleet.run(ms(4_000), |_, _, _, _| {});
        let mut totals: HashMap<usize, u32> = HashMap::new();
        for ((number, _), count) in fleet.sent.iter().chain(&fleet.received) {
            *totals.entry(*number).or_default() += count;
        }
        let is_aggregator = |number: &usize| fleet.sent.contains_key(&(*number, "group"));
        let mut loads: Vec<f64> = totals
            .keys()
            .copied()
            .filter(is_aggregator)
            .map(|number| f64::from(totals[&number]) / 4.0)
            .collect();
        loads.sort_by(f64::total_cmp);
        let mean = loads.iter().sum::<f64>() / loads.len() as f64;
        println!(
            "{size} routers, overloaded {is_overloaded}: {} aggregators, {mean:.0} datagrams/s each, \
             least {}, largest {}",
            loads.len(),
            loads[0],
            loads[loads.len() - 1],
        );
        assert!(mean < mean_max, "{mean}");
        assert!(loads[loads.len() - 1] < 3.0 * mean_max);
    }
}
