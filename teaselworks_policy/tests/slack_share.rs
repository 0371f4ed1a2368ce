//! When a router uses its part of the retry slack, and by how many routers it divides it.

use std::time::Duration;

use teaselworks_policy::fleet::{Fleet, FleetSettings};
use teaselworks_policy::membership::Membership;
use teaselworks_policy::retry::{BudgetSettings, SlackShare};
use teaselworks_policy::shares::SharesSettings;
use teaselworks_policy::upstream::ColdSettings;

const SECOND: Duration = Duration::from_secs(1);
const WINDOW: Duration = Duration::from_secs(10);
/// Time for which a router is registered before it uses its part: a window and one and a half times
/// the bound on staleness.
const SETTLING: Duration = Duration::from_secs(13);
const LEASE: Duration = Duration::from_secs(9);

fn address(port: u16) -> std::net::SocketAddr {
    ([127, 0, 0, 1], port).into()
}

/// Returns a router that registered at the start and lists itself and two others.
fn registered_fleet() -> Fleet {
    let settings = FleetSettings {
        load_factor: 2.0,
        cold: ColdSettings { overshoot: 1.0, slack: 0.0 },
        budget: BudgetSettings { ratio: 0.2, slack: 10.0, window: WINDOW },
        shares: SharesSettings::default(),
        max_staleness: 2 * SECOND,
    };
    let mut membership = Membership::new("a".into(), Vec::new());
    for (port, name) in ["a", "b", "c"].into_iter().enumerate() {
        membership.put(name.into(), address(port as u16 + 1));
    }
    let mut fleet = Fleet::new(settings, membership, 1);
    fleet.membership.on_registered(Duration::ZERO, LEASE);
    fleet.membership.on_lease_granted(Duration::ZERO);
    fleet.on_list_confirmed(Duration::ZERO);
    fleet
}

/// Renews the registration and confirms the list up to the clock reading `until`.
fn keep_in_touch(fleet: &mut Fleet, from: Duration, until: Duration) {
    let mut now = from;
    while now <= until {
        fleet.membership.on_registered(now, LEASE);
        fleet.on_list_confirmed(now);
        now += SECOND;
    }
}

/// Guards against a router that uses the part of the process before it, or one that others do not
/// count.
#[test]
fn a_router_uses_its_part_once_all_others_have_counted_it_for_a_window() {
    let mut fleet = registered_fleet();
    keep_in_touch(&mut fleet, Duration::ZERO, SETTLING);
    assert_eq!(fleet.slack_share(SETTLING - SECOND), SlackShare::Settling);
    assert_eq!(fleet.slack_share(SETTLING), SlackShare::Divided(3));
}

/// Guards against a router that goes on using its part when others have stopped counting it.
#[test]
fn a_router_whose_registration_may_have_ended_has_no_part() {
    let mut fleet = registered_fleet();
    keep_in_touch(&mut fleet, Duration::ZERO, SETTLING);
    fleet.on_list_confirmed(SETTLING + LEASE);
    assert_eq!(fleet.slack_share(SETTLING + LEASE), SlackShare::Unregistered);
    let now = SETTLING + LEASE + SECOND;
    fleet.membership.on_registered(now, LEASE);
    fleet.membership.on_lease_granted(now);
    fleet.on_list_confirmed(now);
    assert_eq!(fleet.slack_share(now), SlackShare::Settling);
    fleet.membership.on_lease_revoked();
    assert_eq!(fleet.slack_share(now), SlackShare::Unregistered, "a planned stop has begun");
}

/// Guards against a router whose own entry is gone from the list, so that others divide by fewer.
#[test]
fn a_router_that_is_not_listed_has_no_part() {
    let mut fleet = registered_fleet();
    keep_in_touch(&mut fleet, Duration::ZERO, SETTLING);
    fleet.membership.remove(SETTLING, "a");
    assert_eq!(fleet.slack_share(SETTLING), SlackShare::Unregistered);
}

/// Guards against a router that divides the slack by a list which others have joined since.
#[test]
fn a_router_with_an_outdated_list_has_no_part() {
    let mut fleet = registered_fleet();
    keep_in_touch(&mut fleet, Duration::ZERO, SETTLING);
    let now = SETTLING + 4 * SECOND;
    fleet.membership.on_registered(now, LEASE);
    assert_eq!(fleet.slack_share(now), SlackShare::ListOutdated);
    fleet.on_list_confirmed(now);
    assert_eq!(fleet.slack_share(now), SlackShare::Divided(3), "nobody can have come and gone");
    let later = now + SETTLING;
    fleet.membership.on_registered(later, LEASE);
    fleet.on_list_confirmed(later);
    assert_eq!(
        fleet.slack_share(later),
        SlackShare::Settling,
        "another router may have left since"
    );
}

/// Guards against routers that take the part of others which have left, but whose retries are still in
/// the window.
#[test]
fn routers_that_left_within_the_window_are_counted() {
    let mut fleet = registered_fleet();
    keep_in_touch(&mut fleet, Duration::ZERO, 2 * SETTLING);
    fleet.membership.remove(SETTLING, "b");
    fleet.membership.put("d".into(), address(4));
    assert_eq!(fleet.slack_share(SETTLING + WINDOW), SlackShare::Divided(4));
    assert_eq!(fleet.slack_share(SETTLING + WINDOW + SECOND), SlackShare::Divided(3));
}
