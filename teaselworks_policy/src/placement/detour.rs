//! Chooses another router to forward requests through while this router reaches no replica of
//! their service.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use rand::Rng;
use rand::seq::IndexedRandom;

/// Time for which a router that could not serve a request is not queried again.
const UNAVAILABLE_TIME: Duration = Duration::from_secs(2);

/// Routers that could recently not serve requests for a service that others forwarded to them.
#[derive(Clone, Debug, Default)]
pub struct Detours {
    unavailable_until: HashMap<SocketAddr, Duration>,
}

impl Detours {
    /// Chooses one of `routers` at random, so that those which reach the service share the load.
    ///
    /// ```
    /// use std::time::Duration;
    /// use rand::SeedableRng;
    /// use teaselworks_policy::placement::Detours;
    ///
    /// let mut random = rand_pcg::Pcg32::seed_from_u64(1);
    /// let router = ([127, 0, 0, 1], 80).into();
    /// let mut detours = Detours::default();
    /// assert_eq!(detours.choose(Duration::ZERO, &[router], &mut random), Some(router));
    /// detours.on_unavailable(Duration::ZERO, router);
    /// assert_eq!(detours.choose(Duration::ZERO, &[router], &mut random), None);
    /// assert_eq!(detours.choose(Duration::from_secs(2), &[router], &mut random), Some(router));
    /// ```
    pub fn choose(
        &self,
        now: Duration,
        routers: &[SocketAddr],
        random: &mut impl Rng,
    ) -> Option<SocketAddr> {
        let available: Vec<SocketAddr> =
            routers.iter().copied().filter(|router| self.is_available(now, *router)).collect();
        available.choose(random).copied()
    }

    /// Records that a router could not be reached, or did not run a request because it does not
    /// reach the service either.
    pub fn on_unavailable(&mut self, now: Duration, router: SocketAddr) {
        self.unavailable_until.retain(|_, until| *until > now);
        self.unavailable_until.insert(router, now + UNAVAILABLE_TIME);
    }

    fn is_available(&self, now: Duration, router: SocketAddr) -> bool {
        self.unavailable_until.get(&router).is_none_or(|until| *until <= now)
    }
}
