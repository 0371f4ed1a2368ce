//! Bounded queue in front of one upstream: priorities, fair shares, and refusals made at once.

use std::time::Duration;

use rand_pcg::Pcg32;

use crate::name::Name;
use crate::verdict::{Priority, RefusalReason};

use super::deadline::{DrainRate, ReturnSpread};
use super::lane::Lane;

/// Number of priorities.
const LEVELS: usize = Priority::ALL.len();
/// Share of the work that each priority keeps while higher ones wait, highest first.
///
/// Every priority below the highest earns this share of the work taken from those above it, and
/// goes first once it has earned its next entry.
pub const GUARANTEED_SHARES: [f64; LEVELS] = [0.0, 0.125, 0.03125];

/// Time over which a measurement of the whole queue's drain is forgotten: short, so that a frozen
/// upstream is noticed soon.
const DRAIN_MEMORY: Duration = Duration::from_secs(2);
/// Time over which a measurement of one priority's drain is forgotten: longer, since entries of a
/// low priority leave seldom.
const LEVEL_MEMORY: Duration = Duration::from_secs(10);
/// Part of the estimated wait by which it must be shorter than the time left: one in this many.
///
/// What goes wrong without a margin: under overload the queue stands just at the deadline, and a
/// part of the accepted requests wait out all of it in vain.
const WAIT_MARGIN: u32 = 10;

/// Identifies an entry within its queue.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct EntryId(u64);

/// A request that waits.
#[derive(Clone, Debug)]
pub struct Entry<T> {
    /// Workspace that shares the queue with others of its priority.
    pub workspace: Name,
    /// Order in which the request is served.
    pub priority: Priority,
    /// Share of the workspace relative to others of the priority; 0 stands for 1.
    pub weight: u32,
    /// Estimated work of the request, in tokens.
    pub work_tokens: u64,
    /// Reading of the monotonic clock after which it is of no use to leave the queue.
    pub deadline: Duration,
    /// The request itself.
    pub item: T,
}

/// A request that the queue does not hold (any more); nothing of it was sent to an upstream.
#[derive(Clone, Debug)]
pub struct QueueRefusal<T> {
    /// Either `QueueFull` or `Deadline`.
    pub reason: RefusalReason,
    /// When the caller should return, in milliseconds.
    pub retry_after_ms: u64,
    /// The request itself.
    pub item: T,
}

/// What became of a request that was taken in.
#[derive(Debug)]
#[must_use = "a displaced request must be answered"]
pub struct Queued<T> {
    /// Identity of the new entry.
    pub id: EntryId,
    /// Request of another workspace that had to make room, to be answered at once.
    pub displaced: Option<QueueRefusal<T>>,
}

/// Number of requests waiting and their work.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct QueueLength {
    /// Requests waiting.
    pub requests: usize,
    /// Their estimated work, in tokens.
    pub work_tokens: u64,
}

/// One priority's entries and its claim against higher ones.
#[derive(Debug)]
struct Level<T> {
    lane: Lane<T>,
    guaranteed_share: f64,
    earned_tokens: f64,
    /// What left this level; slower than the whole queue while higher levels have work.
    drain: DrainRate,
}

/// Bounded queue with a level for each priority, highest first.
#[derive(Debug)]
pub struct FairQueue<T> {
    room: usize,
    levels: [Level<T>; LEVELS],
    drain: DrainRate,
    spread: ReturnSpread,
    rng: Pcg32,
    next_id: u64,
    earliest_deadline: Duration,
    overdue: Vec<T>,
}

impl<T> FairQueue<T> {
    /// Makes a queue with room for `room` requests of each priority; `seed` spreads return times.
    ///
    /// ```
    /// use teaselworks_policy::admission::queue::FairQueue;
    ///
    /// assert!(FairQueue::<u32>::new(64, 1).is_empty());
    /// ```
    pub fn new(room: usize, seed: u64) -> Self {
        Self {
            room,
            levels: GUARANTEED_SHARES.map(|guaranteed_share| Level {
                lane: Lane::new(),
                guaranteed_share,
                earned_tokens: 0.0,
                drain: DrainRate::new(LEVEL_MEMORY),
            }),
            drain: DrainRate::new(DRAIN_MEMORY),
            spread: ReturnSpread::default(),
            rng: Pcg32::new(seed, 0),
            next_id: 0,
            earliest_deadline: Duration::MAX,
            overdue: Vec::new(),
        }
    }

    /// Changes the room of each priority; entries beyond a smaller room stay.
    pub fn set_room(&mut self, room: usize) {
        self.room = room;
    }

    /// Tells whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.levels.iter().all(|level| level.lane.length() == 0)
    }

    /// Returns what waits at one priority.
    pub fn length(&self, priority: Priority) -> QueueLength {
        let lane = &self.levels[index(priority)].lane;
        QueueLength { requests: lane.length(), work_tokens: lane.work_tokens() }
    }

    /// Returns the number of workspaces whose state is held, over all priorities.
    pub fn workspaces(&self) -> usize {
        self.levels.iter().map(|level| level.lane.workspaces()).sum()
    }

    /// Takes a request in, or refuses it at once.
    ///
    /// # Errors
    ///
    /// `Deadline` when the estimated wait goes beyond the entry's deadline, `QueueFull` when the
    /// priority has no room and no workspace holds more of it than the entry's own would.
    ///
    /// ```
    /// use std::time::Duration;
    /// use teaselworks_policy::admission::queue::{Entry, FairQueue};
    /// use teaselworks_policy::verdict::Priority;
    ///
    /// let mut queue = FairQueue::new(1, 7);
    /// let entry = Entry {
    ///     workspace: "school".into(),
    ///     priority: Priority::High,
    ///     weight: 1,
    ///     work_tokens: 200,
    ///     deadline: Duration::from_secs(5),
    ///     item: "gloss",
    /// };
    /// queue.push(Duration::ZERO, entry.clone()).unwrap();
    /// assert!(queue.push(Duration::ZERO, entry).is_err());
    /// assert_eq!(queue.pop(Duration::ZERO).unwrap().item, "gloss");
    /// ```
    pub fn push(&mut self, now: Duration, entry: Entry<T>) -> Result<Queued<T>, QueueRefusal<T>> {
        let level = index(entry.priority);
        let wait = self.wait(now, entry.priority, &entry.workspace);
        if now.saturating_add(wait).saturating_add(wait / WAIT_MARGIN) >= entry.deadline {
            return Err(self.refuse(now, RefusalReason::Deadline, wait, entry.item));
        }
        let mut displaced = None;
        if self.levels[level].lane.length() >= self.room {
            displaced = self.levels[level].lane.displace_for(&entry.workspace, entry.weight);
            if displaced.is_none() {
                return Err(self.refuse(now, RefusalReason::QueueFull, wait, entry.item));
            }
        }
        let displaced =
            displaced.map(|old| self.refuse(now, RefusalReason::QueueFull, wait, old.item));
        let id = EntryId(self.next_id);
        self.next_id += 1;
        self.earliest_deadline = self.earliest_deadline.min(entry.deadline);
        self.drain.start(now);
        self.levels[level].drain.start(now);
        self.spread.accept(now);
        self.levels[level].lane.push(id, entry);
        Ok(Queued { id, displaced })
    }

    /// Takes the request that goes next; overdue ones are left for [`FairQueue::expire`].
    pub fn pop(&mut self, now: Duration) -> Option<Entry<T>> {
        self.collect_overdue(now);
        let level = self.next_level()?;
        let entry = self.levels[level].lane.pop()?;
        self.earn(level, entry.work_tokens);
        self.drain.record(now, entry.work_tokens);
        self.levels[level].drain.record(now, entry.work_tokens);
        self.note_empty(now);
        Some(entry)
    }

    /// Returns the requests whose deadline has passed, each to be refused with `Deadline` at once.
    pub fn expire(&mut self, now: Duration) -> Vec<T> {
        self.collect_overdue(now);
        std::mem::take(&mut self.overdue)
    }

    /// Returns when [`FairQueue::expire`] should be called next; `None` while nothing waits.
    pub fn next_expiry(&self) -> Option<Duration> {
        if !self.overdue.is_empty() {
            return Some(Duration::ZERO);
        }
        (!self.is_empty()).then_some(self.earliest_deadline)
    }

    /// Takes out a request whose caller gave up.
    pub fn remove(&mut self, now: Duration, id: EntryId) -> Option<Entry<T>> {
        for level in &mut self.levels {
            if let Some(entry) = level.lane.take_unless(|other, _| other != id).pop() {
                self.note_empty(now);
                return Some(entry);
            }
        }
        None
    }

    /// Takes out every request, so that each can be tried elsewhere when the upstream is lost.
    pub fn take_all(&mut self, now: Duration) -> Vec<T> {
        let mut all = std::mem::take(&mut self.overdue);
        for level in &mut self.levels {
            all.extend(level.lane.take_unless(|_, _| false).into_iter().map(|entry| entry.item));
        }
        self.note_empty(now);
        all
    }

    /// Estimates how long a new request would wait; zero before any measurement.
    ///
    /// The longer of two estimates: work ahead over the whole queue's drain rate, and work ahead
    /// at the same priority over that priority's own rate. The first sees a backlog of higher
    /// priorities that has just arrived, the second one that goes on arriving.
    pub fn wait(&self, now: Duration, priority: Priority, workspace: &Name) -> Duration {
        let (higher, others) = self.levels.split_at(index(priority));
        let Some((own, lower)) = others.split_first() else { return Duration::ZERO };
        let own_tokens = own.lane.work_ahead_tokens(workspace) as f64;
        let higher_tokens: u64 = higher.iter().map(|level| level.lane.work_tokens()).sum();
        let mut ahead_tokens = own_tokens + higher_tokens as f64;
        if own.guaranteed_share > 0.0 {
            ahead_tokens = ahead_tokens.min(own_tokens * (1.0 + 1.0 / own.guaranteed_share));
        }
        for level in lower {
            if level.lane.length() > 0 {
                ahead_tokens *= 1.0 + level.guaranteed_share;
            }
        }
        let (all, level) = (self.usual_tokens(&self.levels), self.usual_tokens([own]));
        let by_queue = self.drain.wait(now, ahead_tokens as u64, all).unwrap_or(Duration::ZERO);
        let by_level = own.drain.wait(now, own_tokens as u64, level).unwrap_or(Duration::ZERO);
        by_queue.max(by_level)
    }

    /// Returns the mean work of the requests that wait at some levels.
    fn usual_tokens<'a>(&self, levels: impl IntoIterator<Item = &'a Level<T>>) -> u64
    where
        T: 'a,
    {
        let (mut tokens, mut requests) = (0, 0);
        for level in levels {
            tokens += level.lane.work_tokens();
            requests += level.lane.length() as u64;
        }
        tokens / requests.max(1)
    }

    fn refuse(
        &mut self,
        now: Duration,
        reason: RefusalReason,
        wait: Duration,
        item: T,
    ) -> QueueRefusal<T> {
        let retry_after_ms = self.spread.refuse(now, wait, &mut self.rng);
        QueueRefusal { reason, retry_after_ms, item }
    }

    /// Returns the level that goes next: the lowest that has earned its entry, else the highest.
    fn next_level(&self) -> Option<usize> {
        let highest = self.levels.iter().position(|level| level.lane.length() > 0)?;
        for (index, level) in self.levels.iter().enumerate().skip(highest + 1).rev() {
            let Some(work_tokens) = level.lane.next_work_tokens() else { continue };
            if level.earned_tokens >= work_tokens as f64 {
                return Some(index);
            }
        }
        Some(highest)
    }

    /// Pays `index` for its entry and lets waiting lower levels earn their share of it.
    fn earn(&mut self, index: usize, work_tokens: u64) {
        let work_tokens = work_tokens as f64;
        let paid = &mut self.levels[index];
        paid.earned_tokens = (paid.earned_tokens - work_tokens).max(0.0);
        for level in &mut self.levels[index + 1..] {
            if level.lane.length() > 0 {
                level.earned_tokens += work_tokens * level.guaranteed_share;
            }
        }
    }

    fn collect_overdue(&mut self, now: Duration) {
        if now < self.earliest_deadline {
            return;
        }
        let mut earliest = Duration::MAX;
        for level in &mut self.levels {
            let overdue = level.lane.take_unless(|_, entry| {
                let keep = entry.deadline > now;
                if keep {
                    earliest = earliest.min(entry.deadline);
                }
                keep
            });
            self.overdue.extend(overdue.into_iter().map(|entry| entry.item));
        }
        self.earliest_deadline = earliest;
        self.note_empty(now);
    }

    /// Resets what holds only while entries wait.
    fn note_empty(&mut self, now: Duration) {
        for level in &mut self.levels {
            if level.lane.length() == 0 {
                level.earned_tokens = 0.0;
                level.drain.stop(now);
            }
        }
        if self.is_empty() {
            self.drain.stop(now);
            self.earliest_deadline = Duration::MAX;
        }
    }
}

fn index(priority: Priority) -> usize {
    match priority {
        Priority::High => 0,
        Priority::Normal => 1,
        Priority::Low => 2,
    }
}
