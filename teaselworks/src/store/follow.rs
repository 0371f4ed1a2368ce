//! Follows the platform's head: by a watch where this router is to hold one, else by reading it
//! when no peer was heard of.

use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;
use teaselworks_policy::name::Name;
use teaselworks_policy::platform::backoff::Backoff;
use teaselworks_policy::store::fanout::watchers;
use teaselworks_policy::store::version::{Relation, relation};

use super::Store;
use super::load::SeenHead;
use super::record::{HEAD_KEY, Head};
use crate::kernel::{Shutdown, ShutdownPhase};
use crate::platform::{CallPurpose, Change, Watch, WatchBatch};

/// Time between looks at whether this router is to hold a watch.
const DUTY_INTERVAL: Duration = Duration::from_secs(1);
/// A router that holds a watch reads the head this often, in case the watch is silently dead.
const READ_INTERVAL: Duration = Duration::from_secs(15);
/// A router without a watch reads the head when it heard from no peer for so long.
const SILENCE: Duration = Duration::from_secs(10);
/// A router opens a watch only after its view of the fleet has not changed for so long.
const SETTLED_TIME: Duration = Duration::from_secs(2);
const BACKOFF: Backoff =
    Backoff { first: Duration::from_millis(250), longest: Duration::from_secs(10) };

/// Since when a router's view of the fleet has been the same.
///
/// Routers that start together see nobody at first. Each would take itself for the one that is to
/// watch, and a fleet replaced at once would hold a watch for every router at the platform, which
/// counts each as a call; seen as `peak_watches` above the setting. What a router misses before it
/// watches, the reading at the opening of the watch brings.
#[derive(Default)]
struct SettledView {
    routers: Vec<Name>,
    since: Duration,
}

impl SettledView {
    /// Takes the routers seen now; tells whether they have been the same for long enough.
    fn take(&mut self, routers: Vec<Name>, now: Duration) -> bool {
        if routers != self.routers {
            *self = Self { routers, since: now };
        }
        now.saturating_sub(self.since) >= SETTLED_TIME
    }
}

impl Store {
    /// Starts to follow the platform and the peers until the router stops; once only.
    pub fn start(self: &Arc<Self>, shutdown: &Shutdown) {
        let pulling = self.pulling.lock().expect("pull lock is never poisoned").take();
        let Some(pulling) = pulling else { return };
        // A patch submitted to a router that starts would be checked against the platform alone. If
        // that was restored from a backup, the patch would be accepted on top of an old
        // configuration, under a number that the fleet has used: seen as two versions 3. So
        // submissions wait until the newest is gathered.
        let starting = self.committing.clone().try_lock_owned();
        let store = self.clone();
        let shutdown = shutdown.clone();
        tokio::spawn(async move {
            let work = async {
                store.load_at_start().await;
                drop(starting);
                tokio::join!(
                    store.follow(),
                    store.pull_wanted(pulling),
                    store.spread_changes(),
                    store.ask_now_and_then(),
                    store.write_snapshots(),
                )
            };
            tokio::select! {
                _ = work => {}
                () = shutdown.reached(ShutdownPhase::Stopped) => {}
            }
        });
    }

    async fn follow(&self) {
        let mut failures = 0;
        let mut view = SettledView { since: self.clock.monotonic(), ..SettledView::default() };
        loop {
            let is_settled = view.take(self.routers(), self.clock.monotonic());
            let followed = match is_settled && self.holds_watch() {
                true => self.follow_watch().await,
                false => self.read_when_silent().await,
            };
            if followed {
                failures = 0;
                continue;
            }
            failures += 1;
            let wait = self.with_random(|random| BACKOFF.wait(failures, random));
            tokio::time::sleep(wait).await;
        }
    }

    /// Tells whether this router is among those that watch.
    ///
    /// Half of the allowed watches are used: while two halves of the fleet don't see each other,
    /// each chooses its own watchers, and the platform counts the sum.
    fn holds_watch(&self) -> bool {
        watchers(&self.routers(), self.watcher_count).contains(&self.peers.own.name)
    }

    /// Returns the live routers, this one last.
    pub(super) fn routers(&self) -> Vec<Name> {
        let mut routers: Vec<Name> = self.peers.list().into_iter().map(|peer| peer.name).collect();
        routers.push(self.peers.own.name.clone());
        routers
    }

    /// Reads the head and watches it from there; returns false when the platform failed.
    async fn follow_watch(&self) -> bool {
        let Ok(seen) = self.load().await else { return false };
        let start = seen.revision + 1;
        let opened = self.platform.watch(CallPurpose::Configuration, HEAD_KEY, start).await;
        let Ok(mut watch) = opened else { return false };
        let mut read_at = self.clock.monotonic() + self.spread(READ_INTERVAL);
        while self.holds_watch() {
            match self.next_head(&mut watch).await {
                Ok(Some(head)) => {
                    if self.load_watched(&head).await.is_err() {
                        return false;
                    }
                }
                Ok(None) => {}
                Err(()) => return false,
            }
            if self.clock.monotonic() >= read_at {
                let told = self.version().number;
                match self.load().await {
                    // The watch missed a version: it is dead, or the platform left an event out.
                    Ok(_) if self.version().number > told => return true,
                    Ok(_) => {}
                    Err(_) => return false,
                }
                read_at = self.clock.monotonic() + self.spread(READ_INTERVAL);
            }
        }
        true
    }

    /// Returns the newest head that the next line reports; `None` when none came for a while.
    async fn next_head(&self, watch: &mut Watch) -> Result<Option<Head>, ()> {
        match tokio::time::timeout(DUTY_INTERVAL, watch.next()).await {
            Err(_) => Ok(None),
            Ok(Ok(batch)) => Ok(newest_head(&batch)),
            Ok(Err(_)) => Err(()),
        }
    }

    /// Loads what a watch reported. An older head is no finding here: events may be repeated and
    /// come late, so the head itself is read, which tells a late event from a restored backup.
    async fn load_watched(&self, head: &Head) -> Result<(), super::LoadError> {
        match relation(&self.held.version(), &head.version()) {
            Relation::Same => Ok(()),
            Relation::Newer => self.load_head(&self.held, head).await,
            Relation::Older | Relation::Diverged => self.load().await.map(|_| ()),
        }
    }

    /// Waits a while, and reads the head when no peer was heard of meanwhile.
    async fn read_when_silent(&self) -> bool {
        tokio::time::sleep(self.spread(DUTY_INTERVAL)).await;
        let silence = self.clock.monotonic().saturating_sub(self.heard_at());
        if silence < SILENCE && self.version().number > 0 {
            return true;
        }
        let read = self.load().await.is_ok();
        if read {
            self.note_heard();
        }
        read
    }

    /// Returns a time at random between half of `time` and all of it.
    pub(super) fn spread(&self, time: Duration) -> Duration {
        self.with_random(|random| time.mul_f64(random.random_range(0.5..=1.0)))
    }
}

fn newest_head(batch: &WatchBatch) -> Option<Head> {
    let mut newest: Option<Head> = None;
    for change in &batch.changes {
        let Change::Put(entry) = change else { continue };
        let Ok(seen) = SeenHead::from_entry(Some(entry)) else { continue };
        if newest.as_ref().is_none_or(|head| seen.head.version > head.version) {
            newest = Some(seen.head);
        }
    }
    newest
}
