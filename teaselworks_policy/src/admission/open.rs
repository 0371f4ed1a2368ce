//! What routers grant of a workspace's limits without asking while it is far from them.
//!
//! Base shares of a limit over very many routers are smaller than one request each, so that each
//! request asks the workspace's owner. An open share is one whole request at a router, beyond the
//! limit, and ends for [`RESTRICTION`] as soon as an answer of the owner says that little is left.

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use super::bucket::Bucket;
use super::lending::FleetLimits;
use super::limits::Limits;

/// Routers from which on open shares are as large as they get; with fewer, base shares and lending
/// in batches do more, and open shares are smaller in proportion.
pub const OPEN_ROUTERS: u32 = 400;
/// Requests in progress by all open shares, as a multiple of the limit.
pub const OPEN_SLOTS: f64 = 1.6;
/// Rate of all open shares, as a multiple of the limit.
pub const OPEN_RATE: f64 = 0.5;
/// Time of a rate that all open shares save up.
pub const OPEN_BURST: Duration = Duration::from_secs(20);
/// Time for which a router leaves its open share alone after an answer that little is left.
pub const RESTRICTION: Duration = Duration::from_secs(60);
/// Tokens of a usual request; a place is worth at least as many.
const PLACE_TOKENS: f64 = 2_048.0;
/// Least limit on requests in progress with open shares. Smaller limits are kept exactly: each
/// of their requests counts, and few routers would get a place.
pub const LEAST_OPEN_SLOTS: u32 = 64;
/// Least limit on requests a second with open shares.
pub const LEAST_OPEN_REQUESTS_PER_S: f64 = 16.0;
/// Least limit on tokens a second with open shares.
pub const LEAST_OPEN_TOKENS_PER_S: f64 = 16.0 * PLACE_TOKENS;

/// One router's open share of one workspace's limits.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct OpenShare {
    /// Requests in progress that it grants at once.
    places: u32,
    /// Part of each rate that it grants, as a multiple of the limit.
    rate: f64,
    /// Time of each limit that it saves up, in seconds.
    burst_s: f64,
}

impl OpenShare {
    /// Nothing is granted without asking.
    pub const NONE: Self = Self { places: 0, rate: 0.0, burst_s: 0.0 };

    /// Returns the share of the router that is number `router` of `limits.live_routers`.
    ///
    /// Places are spread evenly over routers, from a first one that differs between workspaces;
    /// together they are never more than the stated overshoot, however few there are.
    ///
    /// ```
    /// use teaselworks_policy::admission::lending::FleetLimits;
    /// use teaselworks_policy::admission::open::OpenShare;
    ///
    /// let limits = FleetLimits {
    ///     requests_per_s: Some(20.0),
    ///     tokens_per_s: None,
    ///     concurrent_requests: Some(256),
    ///     live_routers: 410,
    /// };
    /// let places = |router| OpenShare::of(&limits, "school", router).places();
    /// assert_eq!((0..410).map(places).sum::<u32>(), 400);
    /// ```
    pub fn of(limits: &FleetLimits, workspace: &str, router: u32) -> Self {
        let routers = limits.live_routers.max(1);
        let scale = f64::from(routers.min(OPEN_ROUTERS)) / f64::from(OPEN_ROUTERS);
        let Some(all) = all_places(limits, scale) else { return Self::NONE };
        let first = xxh3_64(workspace.as_bytes()) % u64::from(routers);
        let number = (u64::from(router) + first) % u64::from(routers);
        let upto = |number: u64| number * all / u64::from(routers);
        let places = (upto(number + 1) - upto(number)) as u32;
        if places == 0 {
            return Self::NONE;
        }
        let part = scale * f64::from(places) / all as f64;
        Self { places, rate: OPEN_RATE * part, burst_s: OPEN_BURST.as_secs_f64() * part }
    }

    /// Returns the requests in progress that it grants at once.
    pub fn places(&self) -> u32 {
        self.places
    }
}

/// Returns the places of all routers; `None` where a limit is too small or there is none.
fn all_places(limits: &FleetLimits, scale: f64) -> Option<u64> {
    let mut most: Option<f64> = None;
    let mut note = |places: f64, large: bool| {
        let places = if large { places * scale } else { 0.0 };
        most = Some(most.map_or(places, |most| most.min(places)));
    };
    let burst_s = OPEN_BURST.as_secs_f64();
    if let Some(limit) = limits.concurrent_requests {
        note(OPEN_SLOTS * f64::from(limit), limit >= LEAST_OPEN_SLOTS);
    }
    if let Some(limit) = limits.requests_per_s {
        note(burst_s * limit, limit >= LEAST_OPEN_REQUESTS_PER_S);
    }
    if let Some(limit) = limits.tokens_per_s {
        note(burst_s * limit / PLACE_TOKENS, limit >= LEAST_OPEN_TOKENS_PER_S);
    }
    most.map(|most| most as u64).filter(|most| *most > 0)
}

/// What is left of one open share.
#[derive(Debug, Default)]
pub(super) struct OpenState {
    requests: Option<Bucket>,
    tokens: Option<Bucket>,
    in_progress: u32,
    restricted_until: Duration,
}

impl OpenState {
    /// Takes one request, and tells whether it could.
    pub(super) fn take(&mut self, now: Duration, limits: &Limits, work_tokens: u64) -> bool {
        let share = &limits.open;
        if share.places == 0 || now < self.restricted_until {
            return false;
        }
        if limits.concurrent_requests.is_some() && self.in_progress >= share.places {
            return false;
        }
        let tokens = work_tokens as f64;
        let requests = debit(self.requests, now, limits.requests_per_s, share, 1.0);
        let tokens = debit(self.tokens, now, limits.tokens_per_s, share, tokens);
        let (Some(requests), Some(tokens)) = (requests, tokens) else { return false };
        (self.requests, self.tokens) = (requests, tokens);
        self.in_progress += 1;
        true
    }

    /// Ends a request.
    pub(super) fn release(&mut self) {
        self.in_progress = self.in_progress.saturating_sub(1);
    }

    /// Charges tokens used beyond the estimate.
    pub(super) fn settle(&mut self, extra_tokens: i64) {
        if let Some(tokens) = &mut self.tokens {
            tokens.adjust(-(extra_tokens as f64));
        }
    }

    /// Leaves the share alone until [`RESTRICTION`] is over.
    ///
    /// What goes wrong otherwise: a workspace that always asks for more than its limit gets the
    /// open shares' rate on top of it, for as long as it does.
    pub(super) fn restrict(&mut self, now: Duration) {
        self.restricted_until = now.saturating_add(RESTRICTION);
    }

    /// Returns from when on the share is as good as a new one.
    pub(super) fn idle_at(&self, limits: &Limits) -> Duration {
        let share = &limits.open;
        let requests = full_at(self.requests, limits.requests_per_s, share);
        let tokens = full_at(self.tokens, limits.tokens_per_s, share);
        self.restricted_until.max(requests).max(tokens)
    }
}

/// Takes from a bucket; `None` where it holds less.
fn debit(
    bucket: Option<Bucket>,
    now: Duration,
    limit: Option<f64>,
    share: &OpenShare,
    amount: f64,
) -> Option<Option<Bucket>> {
    let Some(limit) = limit else { return Some(bucket) };
    let capacity = limit * share.burst_s;
    if amount > capacity {
        return None;
    }
    let bucket = bucket.unwrap_or_else(|| Bucket::new(now, capacity));
    bucket.take(now, limit * share.rate, capacity, amount).ok().map(Some)
}

fn full_at(bucket: Option<Bucket>, limit: Option<f64>, share: &OpenShare) -> Duration {
    let (Some(bucket), Some(limit)) = (bucket, limit) else { return Duration::ZERO };
    if share.places == 0 {
        return Duration::ZERO;
    }
    bucket.full_at(limit * share.rate, limit * share.burst_s)
}
