//! Ranks replicas for a chat by rendezvous hashing, distance and known load.

use xxhash_rust::xxh3::xxh3_64;

use super::prefix::ChatKey;
use super::replicas::{Member, Phase, ReplicaIndex, ReplicaTable};
use crate::load::LoadTable;

/// Replicas tried in the chat's own order before load decides.
pub const HOMES: usize = 3;

/// How many of the homes are taken from the replicas that the workspace prefers.
pub const SHARED_HOMES: usize = 2;

/// Replicas tried for their low load when the chat's own refuse.
pub const FALLBACKS: usize = 2;

/// Replicas looked at for each fallback; the least loaded of them is taken.
const FALLBACK_CHOICES: u64 = 4;

/// Price of leaving the zone, in prompt tokens computed anew: a round trip of about 1 ms at
/// about 50,000 prompt tokens a second.
pub const ZONE_PRICE_TOKENS: u32 = 50;

/// Price of leaving the region, in prompt tokens computed anew: a round trip of about 40 ms.
pub const REGION_PRICE_TOKENS: u32 = 2_000;

/// Number of a region or zone in which no replica is.
const NOWHERE: u16 = u16::MAX;

/// Place of the distance above the score in a rank.
const NEAR_SHIFT: u32 = 62;

/// What ranking needs to know of a request.
#[derive(Clone, Copy, Debug)]
pub struct PlacementRequest<'a> {
    /// Workspace that asks.
    pub workspace: &'a str,
    /// Key of the chat.
    pub key: ChatKey,
    /// Model or service asked for.
    pub serves: &'a str,
    /// Version of the model that must be loaded, where one is asked for.
    pub version: Option<&'a str>,
    /// Adapter that must be loaded, where one is asked for.
    pub adapter: Option<&'a str>,
    /// Part of the work asked for.
    pub phase: Phase,
    /// Region of the router that decides.
    pub region: &'a str,
    /// Availability zone of the router that decides.
    pub zone: &'a str,
    /// Length of the prompt in tokens; zero for a call of a service.
    pub prompt_tokens: u32,
    /// Prompt tokens that a replica which holds the chat's context need not compute.
    pub reuse_tokens: u32,
    /// Replica that the caller's affinity token names.
    pub holder: Option<ReplicaIndex>,
    /// Random number, drawn for this request.
    pub draw: u64,
}

/// Lists the chat's homes and drawn replicas to fall back on; both lists are cleared first.
///
/// The homes are the first [`HOMES`] of the chat's rendezvous order (Thaler and Ravishankar): the
/// same at every router of a region, and unchanged by replicas that come and go below them. The
/// fallbacks are each the least loaded of a few drawn at random (Mitzenmacher's power of two
/// choices). A zone counts only for a prompt that is worth less than leaving it: otherwise the
/// homes of a chat would depend on the router that it reaches.
///
/// ```
/// use teaselworks_policy::load::LoadTable;
/// use teaselworks_policy::placement::{
///     ChatKey, Phase, PlacementRequest, Replica, ReplicaTable, rank,
/// };
///
///
/// let mut replicas = ReplicaTable::default();
/// let index = replicas.upsert(Replica::new("engine-1", "sfax", "sfax-a", "quote-8b"));
/// let request = PlacementRequest {
///     workspace: "khaima",
///     key: ChatKey::of_conversation("khaima", "henna-12"),
///     serves: "quote-8b",
///     version: None,
///     adapter: None,
///     phase: Phase::Whole,
///     region: "sfax",
///     zone: "sfax-b",
///     prompt_tokens: 930,
///     reuse_tokens: 900,
///     holder: None,
///     draw: 4,
/// };
/// let (mut homes, mut fallbacks) = (Vec::new(), Vec::new());
/// rank(&request, &replicas, &LoadTable::default(), &mut homes, &mut fallbacks);
/// assert_eq!(homes, [index]);
/// assert!(fallbacks.is_empty());
/// ```
pub fn rank(
    request: &PlacementRequest,
    replicas: &ReplicaTable,
    loads: &LoadTable,
    homes: &mut Vec<ReplicaIndex>,
    fallbacks: &mut Vec<ReplicaIndex>,
) {
    let pool = replicas.pool(request.serves);
    let region = replicas.place(request.region).unwrap_or(NOWHERE);
    let zone = match request.prompt_tokens < ZONE_PRICE_TOKENS {
        true => replicas.place(request.zone).unwrap_or(NOWHERE),
        false => NOWHERE,
    };
    let (mut best, mut shared) = (Best::<HOMES>::default(), Best::<SHARED_HOMES>::default());
    let workspace = xxh3_64(request.workspace.as_bytes());
    let preferred = replicas.preferred_share(pool.len());
    for member in pool {
        if !accepts(request, replicas, member) {
            continue;
        }
        let local_zone = u64::from(member.zone == zone);
        let near = 2 * u64::from(member.region == region) + local_zone;
        let rank =
            near << NEAR_SHIFT | (mix(request.key.0 ^ member.seed) >> (64 - NEAR_SHIFT)).max(1);
        best.offer(rank, member.index);
        if shared.takes(rank) && mix(workspace ^ member.seed) <= preferred {
            shared.offer(rank, member.index);
        }
    }
    homes.clear();
    let nearest = best.kept[0].0 >> NEAR_SHIFT;
    for (rank, index) in shared.iter() {
        if rank >> NEAR_SHIFT == nearest {
            homes.push(index);
        }
    }
    for (_, index) in best.iter() {
        if homes.len() < HOMES && !homes.contains(&index) {
            homes.push(index);
        }
    }
    fallbacks.clear();
    draw_fallbacks(request, replicas, loads, homes, fallbacks);
}

/// Returns the holder that the affinity token names, if it may serve and is worth its distance.
pub(super) fn worthwhile_holder(
    request: &PlacementRequest,
    replicas: &ReplicaTable,
) -> Option<ReplicaIndex> {
    let region = replicas.place(request.region);
    let holder = request.holder?;
    let pool = replicas.pool(request.serves);
    let member = pool.iter().find(|member| member.index == holder)?;
    let near = Some(member.region) == region || request.reuse_tokens >= REGION_PRICE_TOKENS;
    (near && accepts(request, replicas, member)).then_some(holder)
}

fn accepts(request: &PlacementRequest, replicas: &ReplicaTable, member: &Member) -> bool {
    if !member.eligible {
        return false;
    }
    if !member.restricted {
        return request.phase == Phase::Whole;
    }
    let Some(replica) = replicas.get(member.index) else { return false };
    let version = match (request.version, &replica.version) {
        (Some(wanted), Some(loaded)) => wanted == loaded.as_ref(),
        _ => true,
    };
    let adapter = match (request.adapter, &replica.adapters) {
        (Some(wanted), Some(loaded)) => loaded.iter().any(|name| name.as_ref() == wanted),
        _ => true,
    };
    version && adapter && replica.phase == request.phase
}

/// The replicas of highest rank in descending order; ranks are never zero.
struct Best<const N: usize> {
    kept: [(u64, ReplicaIndex); N],
}

impl<const N: usize> Default for Best<N> {
    fn default() -> Self {
        Self { kept: [(0, ReplicaIndex(u32::MAX)); N] }
    }
}

impl<const N: usize> Best<N> {
    /// Tells whether a replica of the rank would be kept; most of a pool is passed over here.
    fn takes(&self, rank: u64) -> bool {
        rank > self.kept[N - 1].0
    }

    fn offer(&mut self, rank: u64, index: ReplicaIndex) {
        if !self.takes(rank) {
            return;
        }
        let position = self.kept.partition_point(|(kept, _)| *kept >= rank);
        self.kept[position..].rotate_right(1);
        self.kept[position] = (rank, index);
    }

    fn iter(&self) -> impl Iterator<Item = (u64, ReplicaIndex)> {
        self.kept.iter().copied().filter(|(rank, _)| *rank > 0)
    }
}

fn draw_fallbacks(
    request: &PlacementRequest,
    replicas: &ReplicaTable,
    loads: &LoadTable,
    homes: &[ReplicaIndex],
    fallbacks: &mut Vec<ReplicaIndex>,
) {
    let pool = replicas.pool(request.serves);
    let region = replicas.place(request.region);
    for fallback in 0..FALLBACKS as u64 {
        let mut least: Option<(bool, u64, ReplicaIndex)> = None;
        for choice in 0..FALLBACK_CHOICES {
            let draw = mix(request.draw.wrapping_add(fallback * FALLBACK_CHOICES + choice));
            let Some(member) = pool.get(scale(draw, pool.len())) else { continue };
            let listed = homes.contains(&member.index) || fallbacks.contains(&member.index);
            if listed || !accepts(request, replicas, member) {
                continue;
            }
            let far = Some(member.region) != region;
            let entry = (far, loads.load_tokens(member.index), member.index);
            least = Some(least.map_or(entry, |least| least.min(entry)));
        }
        if let Some((_, _, index)) = least {
            fallbacks.push(index);
        }
    }
}

/// Scrambles a number (the finalizer of splitmix64).
fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

/// Maps a random number evenly to an index below `length`.
fn scale(draw: u64, length: usize) -> usize {
    ((u128::from(draw) * length as u128) >> 64) as usize
}
