//! Intervals of the membership protocol and the limits that follow from them.

use std::time::Duration;

/// Intervals that a router probes and judges by; the same in the whole fleet.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Timing {
    /// Time between probes; one is made each interval whatever the size of the fleet.
    pub probe_interval: Duration,
    /// Time for the answer to a probe.
    pub probe_timeout: Duration,
    /// Time from suspicion to being taken for dead.
    pub suspicion: Duration,
    /// Routers asked to probe a silent one.
    pub indirect_probes: usize,
    /// Time that a router which was lost owns nothing after its return; doubles with each loss.
    pub rejoin_hold: Duration,
    /// Time between readings of the platform's list by a router that relies on nobody else's.
    pub list_poll: Duration,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            probe_interval: Duration::from_millis(500),
            probe_timeout: Duration::from_millis(200),
            suspicion: Duration::from_millis(1_500),
            indirect_probes: 2,
            rejoin_hold: Duration::from_secs(5),
            list_poll: Duration::from_secs(5),
        }
    }
}

impl Timing {
    /// Returns the time that a router has to answer, directly or through others, before it is
    /// suspected.
    pub fn round_time(&self) -> Duration {
        self.probe_interval + self.probe_timeout
    }

    /// Returns the shortest silence of a router after which it may have been taken for lost, unless
    /// it was accused before.
    pub fn earliest_loss(&self) -> Duration {
        self.round_time() + self.suspicion - self.probe_timeout
    }

    /// Returns the age at which a router's last proof that peers count on it ceases to hold.
    ///
    /// A router that everybody lost at one moment is taken for dead `round_time + suspicion` after
    /// the first probe that it missed, and that probe began at most `probe_timeout` before the
    /// moment. Its own last proof began before the moment too, so it ceases to act at least
    /// `probe_interval` before another router takes over.
    pub fn confirm_window(&self) -> Duration {
        self.suspicion
    }

    /// Returns the time in which news reach every router of a fleet of `routers`, nobody failing.
    ///
    /// ```
    /// use std::time::Duration;
    /// use teaselworks_policy::membership::Timing;
    ///
    /// assert_eq!(Timing::default().spread(8), Duration::from_secs(3));
    /// ```
    pub fn spread(&self, routers: usize) -> Duration {
        self.probe_interval * (rounds(routers) + 2)
    }

    /// Returns how long two routers at most both act for one name while the fleet is not split.
    ///
    /// The former owner may have been lost to some routers and not to others; it goes on until
    /// the news of its loss reach it (`spread` and one probe of its own), or until its proof is
    /// older than the window.
    pub fn overlap_limit(&self, routers: usize) -> Duration {
        self.spread(routers) + self.confirm_window() + self.probe_interval
    }

    /// Returns the time after which a router that hears from nobody goes on by itself: all others
    /// have noticed its absence and taken over by then, where any are left.
    pub fn alone_wait(&self, routers: usize) -> Duration {
        2 * self.probe_interval + self.round_time() + self.suspicion + self.spread(routers)
    }
}

/// Returns the number of doublings from one router to all.
pub(super) fn rounds(routers: usize) -> u32 {
    (routers + 1).next_power_of_two().ilog2()
}
