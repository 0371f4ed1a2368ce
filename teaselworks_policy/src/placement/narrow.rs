//! Chooses among the first replicas in a key's order while the largest allowed load is close to the
//! mean load.
//!
//! Replicas that get no requests, such as those of an evacuated zone, count towards the mean that the
//! allowed load is a multiple of. While half of a service is evacuated, the others may exceed their
//! own mean by a few requests only, which is less than loads differ by chance.

use std::time::Duration;

use rand::{Rng, RngExt};

use super::request::{Choice, PlacementReason};
use super::scan::Scan;
use crate::upstream::Member;

/// Distance from the mean load to the largest allowed load below which replicas are chosen by
/// [`choose_by_room`], in standard deviations of the load of a replica when requests are placed at
/// random. With a load factor of 2, the distance is larger unless some replicas get no requests.
const NARROW_RANGE_DEVIATIONS: f64 = 2.0;
/// Number of replicas at the start of a key's order that share its requests. Each further one has to
/// read or copy the prompts of the key, too.
const SHARING_REPLICAS: usize = 2;
/// Time constant with which a reported difference from the mean load fades. All routers send more
/// requests where a report shows room, so that the room is used up before the next report, about as
/// long after the last one.
const DIFFERENCE_TIME_CONSTANT: Duration = Duration::from_millis(400);

/// Tells whether the range from the mean load to the largest allowed load is narrow.
pub(super) fn is_narrow(mean: f64, largest_allowed: f64) -> bool {
    largest_allowed - mean < NARROW_RANGE_DEVIATIONS * mean.sqrt()
}

/// Chooses at random among the first [`SHARING_REPLICAS`] in the key's order that have a free slot,
/// with a probability in proportion to the room below the largest allowed load. Returns `None` if
/// none has room.
pub(super) fn choose_by_room<'a>(
    scan: &Scan<'a>,
    now: Duration,
    bound: f64,
    largest_allowed: f64,
    random: &mut impl Rng,
) -> Option<Choice<'a>> {
    let mut chosen = None;
    let mut total_room = 0.0;
    for (rank, member) in scan.ranked().take(SHARING_REPLICAS).enumerate() {
        let load = member.load.estimate(now, scan.average_load());
        let room = largest_allowed - expected_load(scan, now, member, load);
        if room <= 0.0 || load >= f64::from(member.upstream.slots) {
            continue;
        }
        total_room += room;
        if random.random_range(0.0..total_room) < room {
            let reason = if rank == 0 { PlacementReason::Home } else { PlacementReason::Spill };
            chosen = Some(Choice { member, reason, load, bound });
        }
    }
    chosen
}

/// Returns the load expected at a replica now, of which `load` is the estimate from its latest
/// report.
fn expected_load(scan: &Scan<'_>, now: Duration, member: &Member, load: f64) -> f64 {
    let age = member.load.report_age(now).unwrap_or_default();
    let mean = scan.mean_requests();
    let weight = (-age.as_secs_f64() / DIFFERENCE_TIME_CONSTANT.as_secs_f64()).exp();
    mean + (load - mean) * weight
}
