//! The replicas of one service, with load and health.

use std::sync::Arc;
use std::time::{Duration, UNIX_EPOCH};

use crate::placement::{RetryAfterSchedule, hash_upstream_id, rendezvous_score};

use super::{
    ConcurrencyLimit, Health, HeardOf, Incarnation, Judged, Load, LoadReport, Reach,
    SharedFailures, SharedLoad, Sightings, Symptom, Upstream,
};

/// Weight of the latest request in a running mean of times.
const LATEST_WEIGHT: f64 = 0.1;

/// Requests for each slot that all routers together always allow: beyond those that run, some wait
/// for a slot that becomes free.
const HELD_PER_SLOT: f64 = 1.3;
/// The same where replicas say nothing of their load, and requests are spread less evenly.
const UNREPORTED_PER_SLOT: f64 = 2.0;

/// One replica of a service.
#[derive(Debug)]
pub struct Member {
    /// The replica as listed.
    pub upstream: Arc<Upstream>,
    /// Hash of its identifier.
    pub identity: u64,
    /// Requests at it.
    pub load: Load,
    /// Whether it should get requests.
    pub health: Health,
    /// Failures that routers met since it was last heard of.
    pub reach: Reach,
    /// Running mean of the time that it holds a request.
    pub mean_time: Option<Duration>,
    /// It leaves soon and takes no new requests.
    pub is_draining: bool,
    /// Its entry cannot be read at the moment; it takes no new requests.
    pub is_suspended: bool,
    /// It started again and has answered nothing since: it keeps no prompts.
    pub is_blank: bool,
}

impl Member {
    fn new(upstream: Upstream, is_blank: bool) -> Self {
        Self {
            identity: hash_upstream_id(&upstream.id),
            is_draining: upstream.is_draining,
            upstream: Arc::new(upstream),
            load: Load::default(),
            health: Health::default(),
            reach: Reach::default(),
            mean_time: None,
            is_suspended: false,
            is_blank,
        }
    }
}

impl Member {
    /// Returns a hash that tells starts of the same replica apart.
    fn incarnation_hash(&self) -> u64 {
        let started = self.upstream.started.and_then(|at| at.duration_since(UNIX_EPOCH).ok());
        let started_ms = started.map_or(0, |since| since.as_millis() as u64);
        rendezvous_score(started_ms, self.identity)
    }
}

/// Replicas of one service that take requests, or still hold some.
#[derive(Debug, Default)]
pub struct Pool {
    members: Vec<Member>,
    /// Shortest time to an answer that callers of the service aim at.
    target: Option<Duration>,
    reports_load: bool,
    concurrency: ConcurrencyLimit,
    /// When callers that were refused come back.
    pub returns: RetryAfterSchedule,
}

impl Pool {
    /// Adds a replica, or changes its properties. Nothing that is known of an earlier start of it
    /// holds for a later one.
    ///
    /// ```
    /// use std::time::{Duration, SystemTime};
    /// use teaselworks_policy::upstream::{LoadReport, Pool, Upstream};
    ///
    /// let before = Upstream::example("i-1", "service");
    /// let started = Some(SystemTime::UNIX_EPOCH + Duration::from_secs(5));
    /// let after = Upstream { started, ..before.clone() };
    /// let mut pool = Pool::default();
    /// pool.put(before.clone());
    /// pool.put(after);
    /// let late = LoadReport { running: 9, waiting: 0 };
    /// pool.report(Duration::ZERO, &before.incarnation(), late);
    /// assert_eq!(pool.members()[0].load.report_age(Duration::ZERO), None);
    /// ```
    pub fn put(&mut self, upstream: Upstream) {
        let Some(member) = self.members.iter_mut().find(|member| member.upstream.id == upstream.id)
        else {
            self.members.push(Member::new(upstream, false));
            return;
        };
        if member.upstream.incarnation() == upstream.incarnation() {
            member.is_draining = upstream.is_draining;
            member.upstream = Arc::new(upstream);
            member.is_suspended = false;
            return;
        }
        *member = Member::new(upstream, true);
    }

    /// Sets the shortest time to an answer that callers of the service aim at.
    pub fn set_target(&mut self, target: Option<Duration>) {
        self.target = target;
    }

    /// Returns the shortest time to an answer that callers of the service aim at.
    pub fn target(&self) -> Option<Duration> {
        self.target
    }

    /// Tells whether this router keeps as many requests at the service as are answered in time; one
    /// that reports its load is judged so only while nearly all of its slots are taken.
    pub fn is_saturated(&self, now: Duration, is_crowded: bool) -> bool {
        (is_crowded || !self.reports_load) && !self.concurrency.allows(self.in_progress(now))
    }

    /// Returns the requests of this router at replicas that may answer; what waits at a replica that
    /// is silent takes no room from others.
    fn in_progress(&self, now: Duration) -> u32 {
        self.usable(now).map(|member| member.load.own()).sum()
    }

    fn usable(&self, now: Duration) -> impl Iterator<Item = &Member> {
        self.members.iter().filter(move |member| member.health.is_usable(now))
    }

    /// Takes how long a request waited for the first byte of its answer, in a fleet of so many
    /// routers.
    pub fn first_byte(&mut self, now: Duration, waited: Duration, routers: u32) {
        let Some(target) = self.target else { return };
        let slots: u32 = self.usable(now).map(|member| member.upstream.slots).sum();
        let held_per_slot = if self.reports_load { HELD_PER_SLOT } else { UNREPORTED_PER_SLOT };
        let least = held_per_slot * f64::from(slots) / f64::from(routers.max(1));
        let in_progress = self.in_progress(now);
        self.concurrency.observe(now, waited, target, in_progress, least);
    }

    /// Sends no new requests to a replica until its entry can be read again.
    pub fn suspend(&mut self, id: &str) {
        if let Some(member) = self.find_mut(id) {
            member.is_suspended = true;
        }
    }

    /// Stops sending requests to a replica.
    pub fn set_draining(&mut self, id: &str) {
        if let Some(member) = self.find_mut(id) {
            member.is_draining = true;
        }
    }

    /// Forgets a replica.
    pub fn remove(&mut self, id: &str) {
        self.members.retain(|member| &*member.upstream.id != id);
    }

    /// Returns the replicas.
    pub fn members(&self) -> &[Member] {
        &self.members
    }

    /// Counts a request that is sent to a replica.
    pub fn begin(&mut self, now: Duration, incarnation: &Incarnation) {
        let Some(member) = self.find_incarnation(incarnation) else { return };
        member.load.begin();
        member.health.begin(now);
    }

    /// Counts the end of a request; tells whether the replica is ejected for what became of it.
    ///
    /// What an earlier start of the replica did changes nothing.
    pub fn end(
        &mut self,
        now: Duration,
        incarnation: &Incarnation,
        symptom: Option<Symptom>,
        held: Duration,
    ) -> bool {
        let mean_failed_share = self.mean_failed_share();
        let Some(member) = self.find_incarnation(incarnation) else { return false };
        member.load.end();
        match symptom {
            Some(Symptom::Answered | Symptom::Failed) => member.reach.see(now),
            Some(Symptom::Broken) => member.reach.fail(now, now.saturating_sub(held)),
            None => {}
        }
        if symptom == Some(Symptom::Answered) {
            member.is_blank = false;
            let mean = member.mean_time.unwrap_or(held).as_secs_f64();
            let mean = mean + LATEST_WEIGHT * (held.as_secs_f64() - mean);
            member.mean_time = Some(Duration::from_secs_f64(mean));
        }
        match symptom {
            Some(symptom) => member.health.observe(now, symptom, mean_failed_share),
            None => {
                member.health.forget_trial();
                false
            }
        }
    }

    /// Returns what was heard of the replicas after a time; `only_own` leaves out what other routers
    /// said.
    pub fn sightings_after(&self, now: Duration, after: Duration, only_own: bool) -> Sightings {
        let mut sightings = Sightings::default();
        for member in &self.members {
            let incarnation = member.incarnation_hash();
            if let Some((total, age)) = member.load.heard_after(now, after, only_own) {
                sightings.loads.push(SharedLoad { incarnation, total, age });
            }
            if let Some((count, age)) = member.reach.told_after(now, after, only_own) {
                sightings.failures.push(SharedFailures { incarnation, count, age });
            }
        }
        sightings
    }

    /// Takes what another router heard; returns the replicas that are ejected or in use again for it.
    pub fn hear(&mut self, now: Duration, heard: &HeardOf) -> Vec<Judged> {
        let mut judged = Vec::new();
        for member in &mut self.members {
            let hash = member.incarnation_hash();
            if let Some(load) = heard.loads.get(&hash) {
                self.reports_load = true;
                member.load.hear(now, load.total, load.age);
                member.reach.see(now.saturating_sub(load.age));
            }
            let is_silent =
                heard.failures.get(&hash).is_some_and(|told| member.reach.hear(now, told));
            let has_changed = if is_silent {
                member.health.eject_by_word(now)
            } else {
                member.reach.has_no_failure() && member.health.readmit()
            };
            if has_changed {
                judged.push(Judged { upstream: member.upstream.id.clone(), is_ejected: is_silent });
            }
        }
        judged
    }

    /// Takes a replica's report of its load; one of an earlier start changes nothing.
    pub fn report(&mut self, now: Duration, incarnation: &Incarnation, report: LoadReport) {
        self.reports_load = true;
        if let Some(member) = self.find_incarnation(incarnation) {
            member.load.report(now, report);
            member.reach.see(now);
        }
    }

    fn find_mut(&mut self, id: &str) -> Option<&mut Member> {
        self.members.iter_mut().find(|member| &*member.upstream.id == id)
    }

    fn find_incarnation(&mut self, incarnation: &Incarnation) -> Option<&mut Member> {
        self.members.iter_mut().find(|member| member.upstream.is(incarnation))
    }

    fn mean_failed_share(&self) -> f64 {
        let total: f64 = self.members.iter().map(|member| member.health.failed_share()).sum();
        total / self.members.len().max(1) as f64
    }
}
