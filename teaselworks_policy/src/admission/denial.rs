//! How long a workspace's owner denies for, by how many routers ask.

use std::time::Duration;

/// Shortest time for which a router that was denied does not ask again.
const SHORTEST: Duration = Duration::from_millis(50);
/// Longest time, unless very many routers ask.
const LONGEST: Duration = Duration::from_secs(5);
/// Longest time, however many routers ask.
const LONGEST_CROWDED: Duration = Duration::from_secs(10);
/// Denials a second above which they last longer, and below a quarter of which shorter again.
const MOST_PER_S: u32 = 40;
/// Time between two looks at how many there are.
const LOOK_INTERVAL: Duration = Duration::from_secs(1);
/// Most that the time of a denial is multiplied by.
const LARGEST_FACTOR: u32 = 128;

/// Denials of one workspace's owner.
///
/// What goes wrong with a fixed time: each of very many routers asks anew after it, and the owner
/// of one workspace at its limit answers thousands of questions a second with a denial.
#[derive(Debug)]
pub(super) struct Denials {
    looked_at: Duration,
    count: u32,
    factor: u32,
}

impl Default for Denials {
    fn default() -> Self {
        Self { looked_at: Duration::ZERO, count: 0, factor: 1 }
    }
}

impl Denials {
    /// Counts a denial and returns its time; `wait` is when something is there again.
    pub(super) fn time(&mut self, now: Duration, wait: Duration) -> Duration {
        self.look(now);
        self.count += 1;
        let wait = wait.clamp(SHORTEST, LONGEST);
        wait.saturating_mul(self.factor).min(LONGEST_CROWDED)
    }

    fn look(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.looked_at);
        if elapsed < LOOK_INTERVAL {
            return;
        }
        let per_s = f64::from(self.count) / elapsed.as_secs_f64();
        if per_s > f64::from(MOST_PER_S) {
            self.factor = (self.factor * 2).min(LARGEST_FACTOR);
        } else if per_s < f64::from(MOST_PER_S / 4) {
            self.factor = (self.factor / 2).max(1);
        }
        (self.looked_at, self.count) = (now, 0);
    }
}
