//! Watches the links of one router: one task for those on which something is awaited, and one
//! that closes those which nothing uses.
//!
//! A timer for each link would wake an idle router several hundred times a second. Here a link
//! that nobody waits on costs nothing, however many there are.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time;

use super::connection::{Link, LinkEnd, LinkState, Shared};
use super::liveness::{Liveness, LivenessAction};
use super::peers::Links;
use crate::event;

/// Sweeps without use after which a link is closed.
const QUIET_SWEEPS: u32 = 4;

/// Links that have come to be watched since the last tick.
#[derive(Debug, Default)]
pub(super) struct Watched {
    added: Mutex<Vec<Arc<Link>>>,
    wake: Notify,
}

impl Watched {
    fn add(&self, link: Arc<Link>) {
        self.added.lock().expect("watch lock is never poisoned").push(link);
        self.wake.notify_one();
    }

    fn take(&self) -> Vec<Arc<Link>> {
        std::mem::take(&mut self.added.lock().expect("watch lock is never poisoned"))
    }
}

/// Probes and gives up silent links as [`Liveness`] decides.
pub(super) async fn watch_awaited(shared: Arc<Shared>) {
    let mut watched = Vec::new();
    loop {
        if watched.is_empty() {
            shared.watched.wake.notified().await;
        }
        time::sleep(shared.liveness.tick).await;
        watched.append(&mut shared.watched.take());
        watched.retain(Link::tick);
    }
}

/// Closes links that carried nothing for the time that the settings say.
pub(super) async fn close_quiet(links: Arc<Links>, quiet: Duration) {
    let pause = (quiet / QUIET_SWEEPS).max(Duration::from_millis(1));
    loop {
        time::sleep(pause).await;
        for link in links.open_links() {
            if link.sweep() >= QUIET_SWEEPS {
                link.retire();
            }
        }
    }
}

impl Link {
    /// Has the link watched until nothing is awaited from the peer any more.
    pub(super) fn watch(self: &Arc<Self>, state: &mut LinkState) {
        if std::mem::replace(&mut state.watched, true) {
            return;
        }
        state.quiet_sweeps = 0;
        state.liveness = Liveness::default();
        self.take_received();
        self.shared.watched.add(self.clone());
    }

    /// Counts a tick; returns whether the link is to be watched further.
    fn tick(self: &Arc<Self>) -> bool {
        let action = {
            let mut state = self.lock();
            // A link in doubt is watched until the peer says something or is given up, although
            // the attempts on it have gone elsewhere.
            if !state.is_awaited() && !self.doubt.is_raised() {
                state.watched = false;
                return false;
            }
            let owes = state.is_owed();
            state.liveness.tick(&self.shared.liveness, self.take_received(), owes)
        };
        match action {
            LivenessAction::Wait => {}
            LivenessAction::Ping => self.outbox.ping(),
            LivenessAction::Doubt => self.doubted(),
            LivenessAction::GiveUp => self.fail(LinkEnd::Silent),
        }
        !self.over.is_cancelled()
    }

    fn doubted(&self) {
        self.shared.meters.add_doubt();
        event::LINK_DOUBTED.log(format_args!("peer={}", self.peer));
        self.doubt.raise();
    }

    /// Counts a sweep; returns how many there were since the link was last used.
    fn sweep(&self) -> u32 {
        let mut state = self.lock();
        state.quiet_sweeps = if state.is_awaited() { 0 } else { state.quiet_sweeps + 1 };
        state.quiet_sweeps
    }
}
