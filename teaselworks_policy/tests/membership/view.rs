//! The choice of owners from a view.

use std::collections::BTreeMap;

use teaselworks_policy::membership::{
    Place, RouterInfo, RouterState, View, copy_holder_of, owner_of,
};

fn router(number: usize, zones: usize, state: RouterState) -> RouterInfo {
    RouterInfo {
        name: format!("router-{number:03}").into(),
        incarnation: 1,
        address: "127.0.0.1:1".parse().unwrap(),
        place: Place { region: "r".into(), zone: format!("z{}", number % zones).into() },
        state,
    }
}

fn fleet(size: usize, zones: usize) -> Vec<RouterInfo> {
    (0..size).map(|number| router(number, zones, RouterState::Alive)).collect()
}

#[test]
fn a_lost_router_moves_only_its_own_names_and_the_load_is_even() {
    let before = View::new(1, fleet(41, 4));
    let mut routers = fleet(41, 4);
    routers[7].state = RouterState::Dead;
    let after = View::new(2, routers);
    let mut owned = BTreeMap::new();
    for number in 0..20_000 {
        let name = format!("replica-{number}");
        let was = &owner_of(&before, &name, None).unwrap().name;
        let is = &owner_of(&after, &name, None).unwrap().name;
        assert!(was == is || &**was == "router-007");
        *owned.entry(was.clone()).or_insert(0_u32) += 1;
    }
    let mean = 20_000 / 41;
    assert!(owned.values().all(|&count| count > mean * 3 / 4 && count < mean * 5 / 4));
}

#[test]
fn suspects_own_leaving_and_lost_routers_do_not_and_zones_are_preferred() {
    let states = [RouterState::Suspect, RouterState::Leaving, RouterState::Dead];
    let mut routers: Vec<_> =
        states.iter().enumerate().map(|(i, state)| router(i, 3, *state)).collect();
    routers.push(router(3, 3, RouterState::Joining));
    let view = View::new(1, routers.clone());
    assert_eq!(view.owners().map(|owner| &*owner.name).collect::<Vec<_>>(), ["router-000"]);
    routers.push(router(4, 3, RouterState::Joining));
    assert_eq!(View::new(2, routers).owners().count(), 3, "joining routers outnumber steady ones");

    let view = View::new(1, fleet(12, 3));
    for number in 0..200 {
        let name = format!("replica-{number}");
        let near = Place { region: "r".into(), zone: "z2".into() };
        assert_eq!(owner_of(&view, &name, Some(&near)).unwrap().place, near);
        assert_ne!(copy_holder_of(&view, &name, Some(&near)).unwrap().place, near);
        let elsewhere = Place { region: "r".into(), zone: "z9".into() };
        assert_eq!(
            owner_of(&view, &name, Some(&elsewhere)),
            owner_of(&view, &name, None),
            "without a router in the zone the region's routers own"
        );
    }
}
