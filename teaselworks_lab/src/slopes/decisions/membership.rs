//! Views, owners and the membership protocol, by the number of routers.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::SeedableRng;
use rand_pcg::Pcg64;
use teaselworks_policy::membership::{
    Action, Details, Identity, Liveness, Membership, Message, MessageKind, Place, Record,
    RouterInfo, RouterState, Timing, Update, View, owner_of,
};
use teaselworks_policy::name::Name;
use teaselworks_wire::codec;

use super::meter::{resident_bytes, time_ns};
use crate::slopes::collect::Collector;
use crate::slopes::name::SlopeName;

/// Routers of the fleet.
pub const ROUTERS: &[usize] = &[100, 205, 410, 820];
const ZONES: usize = 7;
const REPLICAS_A_ROUTER: usize = 2;
const OWNER_CALLS: usize = 20_000;
const VIEWS: usize = 200;
const MACHINES: usize = 40;
/// Probe intervals, each with one probe made and one answered.
const ROUNDS: usize = 2_000;
/// Reading of the clock from which news of the start have been passed on.
const SETTLED: Duration = Duration::from_secs(3_600);
/// Ticks in a probe interval, as the service makes them.
const TICKS: u32 = 5;

/// Measures every size.
pub fn measure(points: &mut Collector) {
    for routers in ROUTERS {
        measure_size(*routers, points);
    }
}

fn measure_size(routers: usize, points: &mut Collector) {
    let size = routers as f64;
    let view = View::new(1, infos(routers));
    let names: Vec<String> = (0..800).map(|replica| format!("engine-{replica:03}")).collect();
    let owner_ns = time_ns(OWNER_CALLS, |call| {
        let near = place(call);
        owner_of(&view, &names[call % names.len()], Some(&near)).map(|owner| owner.incarnation)
    });
    points.add(SlopeName::OwnerTime, size, owner_ns);
    let view_ns = time_ns(20, |_| View::new(1, infos(routers)));
    points.add(SlopeName::ViewTime, size, view_ns / 1e3);
    points.add(SlopeName::OwnedMost, size, owned_most(&view));
    let (round_ns, probe_bytes) = rounds(routers);
    points.add(SlopeName::MembershipTime, size, round_ns / 1e3);
    points.add(SlopeName::MembershipMessage, size, probe_bytes);
}

/// Returns the memory of a view.
pub fn view_kb(routers: usize) -> f64 {
    resident_bytes(VIEWS, || View::new(1, infos(routers))) / 1e3
}

/// Returns the memory of the state of the membership.
pub fn machine_kb(routers: usize) -> f64 {
    resident_bytes(MACHINES, || machine(routers)) / 1e3
}

/// Returns the replicas of the router that owns most, of two for each router, zones in turn.
fn owned_most(view: &View) -> f64 {
    let mut counts: BTreeMap<_, u32> = BTreeMap::new();
    for replica in 0..REPLICAS_A_ROUTER * view.routers().len() {
        let near = place(replica);
        let owner = owner_of(view, &format!("engine-{replica:04}"), Some(&near));
        *counts.entry(owner.map(|owner| &owner.name)).or_insert(0) += 1;
    }
    counts.values().max().copied().unwrap_or_default().into()
}

/// Returns a place, zones in turn.
pub(super) fn place(index: usize) -> Place {
    let zone = index % ZONES;
    Place { region: format!("region-{}", zone / 4).into(), zone: format!("zone-{zone}").into() }
}

fn name(index: usize) -> Name {
    format!("router-{index:03}").into()
}

/// Returns routers that are alive, zones in turn.
pub(super) fn infos(routers: usize) -> Vec<RouterInfo> {
    let info = |index: usize| RouterInfo {
        name: name(index),
        incarnation: 1_790_000_000_000 + index as u64,
        address: format!("10.0.{}.{}:7000", index / 250, index % 250).parse().expect("valid"),
        place: place(index),
        state: RouterState::Alive,
    };
    (0..routers).map(info).collect()
}

fn record(index: usize) -> Record {
    let incarnation = 1_790_000_000_000 + index as u64;
    Record { liveness: Liveness::Alive, ..Record::starting(incarnation) }
}

/// Makes the membership of router 0, which has heard of all others and passed that on.
fn machine(routers: usize) -> Membership {
    let info = &infos(1)[0];
    let identity = Identity {
        name: info.name.clone(),
        incarnation: info.incarnation,
        address: info.address,
        place: info.place.clone(),
    };
    let mut machine = Membership::new(identity, Timing::default(), Duration::ZERO);
    for info in infos(routers).into_iter().skip(1) {
        let index: usize = (info.incarnation - 1_790_000_000_000) as usize;
        let details = Details { address: info.address, place: info.place };
        let sender = Update { router: info.name, record: record(index), details: Some(details) };
        let (kind, updates, upstreams) = (MessageKind::Push, Vec::new(), Vec::new());
        let message = Message { kind, sender, digest: 0, updates, upstreams };
        machine.on_request(Duration::ZERO, &message);
    }
    machine.take_actions();
    machine
}

/// Returns the time of one probe interval, with its ticks, one probe made and one answered, and
/// the mean size of the messages sent in the second half.
fn rounds(routers: usize) -> (f64, f64) {
    let mut machine = machine(routers);
    let mut rng = Pcg64::seed_from_u64(7);
    let interval = Timing::default().probe_interval;
    let mut now = Duration::ZERO;
    let (mut sent_bytes, mut sent) = (0, 0);
    let mut asker = 1;
    let mut digest = 0;
    let round_ns = time_ns(ROUNDS, |_| {
        for _ in 0..TICKS {
            now += interval / TICKS;
            machine.tick(now, &mut rng);
            for action in machine.take_actions() {
                let Action::Call(call) = action else { continue };
                if now > SETTLED {
                    sent_bytes += codec::encode(&call.message).map_or(0, |bytes| bytes.len());
                    sent += 1;
                }
                digest = call.message.digest;
                let answer = message(MessageKind::Ack(true), index_of(&call.to.router), digest);
                machine.on_answer(now, call.call, &answer);
            }
        }
        asker = asker % (routers - 1) + 1;
        machine.on_request(now, &message(MessageKind::Probe, asker, digest));
        machine.take_actions();
    });
    (round_ns, f64::from(sent_bytes as u32) / f64::from(sent.max(1)))
}

fn index_of(router: &str) -> usize {
    router.rsplit('-').next().and_then(|text| text.parse().ok()).expect("names end in a number")
}

fn message(kind: MessageKind, from: usize, digest: u32) -> Message {
    let sender = Update { router: name(from), record: record(from), details: None };
    Message { kind, sender, digest, updates: Vec::new(), upstreams: Vec::new() }
}
