//! Cold replicas: a replica that gets too many requests within a second while it is cold falls
//! over. It is cold for some seconds after a start, and whenever it states so.
//!
//! The bound applies to all routers together. A few routers, the cold subset of the replica, share
//! a part of it; the rest of the bound is left for routers that do not agree on who these are. For
//! all other routers the replica has no room.

use std::collections::VecDeque;
use std::time::Duration;

use crate::membership::SubsetPosition;

/// Share of the bound that the cold subset uses.
const USED_SHARE: f64 = 0.625;
/// Time over which requests are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// How far the requests to a cold replica may exceed the rate that it bears.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdSettings {
    /// Factor by which they may exceed the rate.
    pub overshoot: f64,
    /// Number of requests by which they may exceed the rate besides, within any second.
    pub slack: f64,
}

/// Largest number of requests that all routers together may send to a cold replica within any
/// second.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ColdBound {
    max_requests: u32,
}

impl ColdBound {
    /// Creates the bound for replicas that bear `requests_per_s` requests per second.
    ///
    /// ```
    /// use teaselworks_policy::membership::SubsetPosition;
    /// use teaselworks_policy::upstream::{ColdBound, ColdSettings};
    ///
    /// let bound = ColdBound::new(18.0, &ColdSettings { overshoot: 1.5, slack: 5.0 });
    /// let position = SubsetPosition { rank: 0, size: 10, is_confirmed: true };
    /// assert_eq!(bound.share(position), 2);
    /// assert_eq!(bound.share(SubsetPosition { is_confirmed: false, ..position }), 1);
    /// ```
    pub fn new(requests_per_s: f64, settings: &ColdSettings) -> Self {
        let max_requests = requests_per_s * settings.overshoot + settings.slack;
        // Casting a float to an integer truncates and saturates.
        Self { max_requests: max_requests as u32 }
    }

    /// Returns the number of requests that the router at a position of the cold subset may send to
    /// the replica within any second.
    ///
    /// A router whose registration may have expired sends one at most: the others may have chosen
    /// another one in its place.
    pub fn share(&self, position: SubsetPosition) -> u32 {
        let used = (f64::from(self.max_requests) * USED_SHARE) as u32;
        let size = position.size.max(1);
        let share = used / size + u32::from(position.rank < used % size);
        if position.is_confirmed { share } else { share.min(1) }
    }
}

/// One router's view of whether a replica is cold, and the requests that it recently sent there.
#[derive(Clone, Debug, Default)]
pub struct ColdState {
    until: Option<Duration>,
    /// Times of this router's requests within the last second, the oldest first.
    sent_at: VecDeque<Duration>,
    /// Number of requests that this router may send within any second while the replica is cold.
    share: u32,
}

impl ColdState {
    /// Records that the replica is cold for the time `remaining`, or not cold if that is zero.
    ///
    /// ```
    /// use std::time::Duration;
    /// use teaselworks_policy::upstream::ColdState;
    ///
    /// let second = Duration::from_secs(1);
    /// let mut state = ColdState::default();
    /// state.set_remaining(second, 3 * second);
    /// assert_eq!(state.remaining(2 * second), Some(2 * second));
    /// assert_eq!(state.remaining(4 * second), None);
    /// ```
    pub fn set_remaining(&mut self, now: Duration, remaining: Duration) {
        self.until = (!remaining.is_zero()).then(|| now.saturating_add(remaining));
    }

    /// Returns the time for which the replica is still cold; `None` if it is not cold.
    pub fn remaining(&self, now: Duration) -> Option<Duration> {
        self.until?.checked_sub(now).filter(|remaining| !remaining.is_zero())
    }

    /// Sets the number of requests that this router may send within any second.
    pub fn set_share(&mut self, share: u32) {
        self.share = share;
    }

    /// Counts a request that this router sends.
    pub fn begin_request(&mut self, now: Duration) {
        while self.sent_at.front().is_some_and(|at| now.saturating_sub(*at) >= WINDOW) {
            self.sent_at.pop_front();
        }
        self.sent_at.push_back(now);
    }

    /// Returns how many more requests this router may send now while the replica is cold.
    ///
    /// ```
    /// use std::time::Duration;
    /// use teaselworks_policy::upstream::ColdState;
    ///
    /// let mut state = ColdState::default();
    /// state.set_share(2);
    /// state.begin_request(Duration::ZERO);
    /// assert_eq!(state.room(Duration::from_millis(999)), 1);
    /// assert_eq!(state.room(Duration::from_millis(1_000)), 2);
    /// ```
    pub fn room(&self, now: Duration) -> u32 {
        let recent = self.sent_at.iter().rev().take_while(|at| now.saturating_sub(**at) < WINDOW);
        self.share.saturating_sub(u32::try_from(recent.count()).unwrap_or(u32::MAX))
    }
}
