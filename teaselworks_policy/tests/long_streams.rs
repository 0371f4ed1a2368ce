//! Streams that last longer than origins are kept.

use std::time::Duration;

use teaselworks_policy::configuration::{Configuration, Kind, Route, Routes, Target};
use teaselworks_policy::fleet::{Fleet, FleetSettings};
use teaselworks_policy::membership::Membership;
use teaselworks_policy::retry::BudgetSettings;
use teaselworks_policy::shares::SharesSettings;
use teaselworks_policy::upstream::{Change, ColdSettings, Upstream};

const TIMEOUT: Duration = Duration::from_secs(180);

fn configure(fleet: &mut Fleet, second: u64, service: &str) {
    let targets = vec![Target { service: service.into(), weight: 1 }];
    let route = Route { targets, timeout: TIMEOUT, ..Route::example(Kind::Stream, "/gloss/") };
    let routes = Routes::new([route]);
    let configuration = Configuration { version: second + 1, routes, ..Configuration::default() };
    fleet.set_configuration(Duration::from_secs(second), configuration);
}

/// Guards against a stream of two minutes that goes on at the service to which its route was moved more
/// than a minute ago.
#[test]
fn a_route_moved_within_its_timeout_tells_no_origin() {
    let settings = FleetSettings {
        load_factor: 2.0,
        cold: ColdSettings { overshoot: 1.0, slack: 0.0 },
        budget: BudgetSettings { ratio: 0.2, slack: 50.0, window: Duration::from_secs(10) },
        shares: SharesSettings::default(),
        max_staleness: Duration::from_secs(2),
    };
    let mut fleet = Fleet::new(settings, Membership::new("a".into(), Vec::new()), 1);
    configure(&mut fleet, 0, "old");
    let upstream = Upstream { version: "v1".into(), ..Upstream::example("i-1", "new") };
    fleet.apply(Duration::ZERO, &Change::Serving(upstream));
    for second in 0..=161 {
        if second == 100 {
            configure(&mut fleet, second, "new");
        }
        fleet.on_list_confirmed(Duration::from_secs(second));
    }
    assert_eq!(fleet.sole_origin(Duration::from_secs(161), "host", "/gloss/x"), None);
}
