//! One router: its process, its list of the others, and its part of the retry budget.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;
use rand_pcg::Pcg32;
use teaselworks_policy::fleet::{Fleet, FleetSettings};
use teaselworks_policy::membership::Membership;
use teaselworks_policy::retry::{BudgetSettings, RetryBudget, SlackShare};
use teaselworks_policy::shares::SharesSettings;
use teaselworks_policy::upstream::ColdSettings;

use super::RetryBug;
use super::store::{LEASE_TIME, Store};

/// Bound on how far the list of a router that reaches the store lags behind it.
const MAX_STALENESS: Duration = Duration::from_secs(2);
/// Shortest and longest lag of a router, which is the same while its process runs.
const LAG_MS: std::ops::Range<u64> = 50..2_500;
const SERVICE: &str = "engines";

/// Until when a list is complete, and the number of changes that it contains.
pub(super) type SharedList = (Duration, usize);

pub(super) struct Router {
    number: u16,
    fleet: Fleet,
    budget: RetryBudget,
    window: Duration,
    /// How the slack is divided, as of the last update.
    share: SlackShare,
    lag: Duration,
    known_changes: usize,
    /// Until when the known changes are all; `None` before the first list.
    known_until: Option<Duration>,
    is_registered: bool,
    /// When the registration is renewed or tried again.
    renews_at: Duration,
    pub(super) cut_off_until: Duration,
    /// When the process ends; `None` if that is not planned.
    ends_at: Option<Duration>,
    /// Whether its registration was ended by a planned stop.
    is_stopping: bool,
    suspended_until: Duration,
    /// Time for which the VM was suspended, which the clock does not count.
    suspended_for: Duration,
    restarts_at: Option<Duration>,
}

impl Router {
    pub(super) fn start(
        number: u16,
        now: Duration,
        budget: BudgetSettings,
        random: &mut Pcg32,
    ) -> Self {
        let settings = FleetSettings {
            load_factor: 2.0,
            cold: ColdSettings { overshoot: 1.0, slack: 0.0 },
            budget,
            shares: SharesSettings::default(),
            max_staleness: MAX_STALENESS,
        };
        let membership = Membership::new(name(number), Vec::new());
        Self {
            number,
            fleet: Fleet::new(settings, membership, u64::from(number)),
            budget: RetryBudget::new(budget),
            window: budget.window,
            share: SlackShare::Unregistered,
            lag: Duration::from_millis(random.random_range(LAG_MS)),
            known_changes: 0,
            known_until: None,
            is_registered: false,
            renews_at: now,
            cut_off_until: Duration::ZERO,
            ends_at: None,
            is_stopping: false,
            suspended_until: Duration::ZERO,
            suspended_for: Duration::ZERO,
            restarts_at: None,
        }
    }

    /// Ends the process at once; the next one starts at `restarts_at`.
    pub(super) fn kill(&mut self, restarts_at: Duration) {
        self.restarts_at = Some(restarts_at);
    }

    /// Begins a planned stop, at the end of which the process ends.
    pub(super) fn stop(&mut self, ends_at: Duration) {
        self.ends_at = Some(ends_at);
        self.is_stopping = true;
        self.fleet.membership.on_lease_revoked();
    }

    pub(super) fn suspend(&mut self, now: Duration, until: Duration) {
        self.suspended_for += until - now.max(self.suspended_until);
        self.suspended_until = until;
    }

    pub(super) fn is_running(&self, now: Duration) -> bool {
        self.restarts_at.is_none() && now >= self.suspended_until
    }

    pub(super) fn is_due_to_restart(&mut self, now: Duration) -> bool {
        if self.restarts_at.is_none() && self.ends_at.is_some_and(|at| at <= now) {
            self.kill(now + super::RESTART_DELAY);
        }
        self.restarts_at.is_some_and(|at| at <= now)
    }

    /// Returns the next process of the same VM, without any state of this one.
    pub(super) fn restart(
        &self,
        now: Duration,
        budget: BudgetSettings,
        random: &mut Pcg32,
    ) -> Self {
        let next = Self::start(self.number, now, budget, random);
        Self { cut_off_until: self.cut_off_until, ..next }
    }

    /// Returns what this router can tell others of the list.
    pub(super) fn shared_list(&self) -> Option<SharedList> {
        let is_running = self.restarts_at.is_none();
        self.known_until.filter(|_| is_running).map(|until| (until, self.known_changes))
    }

    /// Registers or renews the registration, and applies changes of the list: those of the store, or
    /// those in the list of another router while the store is out of reach.
    pub(super) fn update(
        &mut self,
        now: Duration,
        number: usize,
        store: &mut Store,
        shared: Option<SharedList>,
    ) {
        let reaches_store = now >= self.cut_off_until && !store.is_away();
        if reaches_store && !self.is_stopping && now >= self.renews_at {
            self.register(now, number, store);
        }
        let list = if reaches_store {
            let until = now.saturating_sub(self.lag);
            Some((until, store.changes.partition_point(|change| change.at <= until)))
        } else {
            shared
        };
        if let Some(list) = list.filter(|list| Some(list.0) > self.known_until) {
            self.apply(now, list, store);
        }
        self.share = self.fleet.slack_share(self.clock(now));
    }

    /// Applies the changes of the list that are not known yet.
    fn apply(&mut self, now: Duration, (until, known): SharedList, store: &Store) {
        let clock = self.clock(now);
        for change in &store.changes[self.known_changes.min(known)..known] {
            let peer = u16::try_from(change.router).unwrap_or(u16::MAX);
            if change.is_listed {
                self.fleet.membership.put(name(peer), address(peer));
            } else {
                self.fleet.membership.remove(clock, &name(peer));
            }
        }
        self.known_changes = self.known_changes.max(known);
        self.known_until = Some(until);
        self.fleet.on_list_confirmed(clock.saturating_sub(now - until));
    }

    fn register(&mut self, now: Duration, number: usize, store: &mut Store) {
        let clock = self.clock(now);
        self.renews_at = now + LEASE_TIME / 3;
        if self.is_registered && store.renew(now, number) {
            self.fleet.membership.on_registered(clock, LEASE_TIME);
            return;
        }
        store.register(now, number);
        self.is_registered = true;
        self.fleet.membership.on_registered(clock, LEASE_TIME);
        self.fleet.membership.on_lease_granted(clock);
    }

    pub(super) fn on_request(&mut self, now: Duration) {
        let clock = self.clock(now);
        self.budget.on_request(clock, &SERVICE.into());
    }

    pub(super) fn try_take_retry(&mut self, now: Duration, bug: Option<RetryBug>) -> bool {
        let clock = self.clock(now);
        let share = match bug {
            Some(RetryBug::DividesByListed) => {
                SlackShare::Divided(self.fleet.membership.live_count())
            }
            Some(RetryBug::SkipsSettling) => {
                SlackShare::Divided(self.fleet.membership.recent_count(clock, self.window))
            }
            None => self.share,
        };
        self.budget.try_take(clock, &SERVICE.into(), share).is_granted
    }

    /// Returns the reading of the VM's clock, which does not count the time for which it was
    /// suspended.
    fn clock(&self, now: Duration) -> Duration {
        now.saturating_sub(self.suspended_for)
    }
}

fn name(number: u16) -> Arc<str> {
    format!("router-{number}").into()
}

fn address(number: u16) -> SocketAddr {
    ([127, 0, 0, 1], number + 1).into()
}
