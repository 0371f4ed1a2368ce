//! Budgets of one router: slices for its own requests, vaults for the shards that it owns.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use teaselworks_policy::budget::{
    BudgetAsk, BudgetGrant, BudgetLimit, BudgetOutcome, BudgetPeriod, BudgetReading, BudgetStep,
    ReserveOutcome, Slices, Vault,
};
use teaselworks_policy::clock::Clock;
use teaselworks_policy::name::Name;
use teaselworks_policy::usage::{Fleet, Period, Slot, Source};
use tokio::sync::{Notify, watch};
use tokio::time;

use super::clock::wall_ms;

/// Longest wait of a request for the platform, when nothing was drawn ahead.
const DRAW_TIME: Duration = Duration::from_millis(1_500);

/// What became of a reservation at this entry.
pub(super) enum Reserved {
    /// The tokens are reserved.
    Held(BudgetPeriod),
    /// The owner has to be asked.
    Ask(BudgetAsk),
    /// The budget is spent.
    Spent,
}

/// Budgets of one router.
pub(super) struct Budgets {
    own: Source,
    clock: Arc<dyn Clock>,
    slices: Mutex<Slices>,
    vaults: Mutex<BTreeMap<u8, Vault>>,
    /// Raised when a platform call has ended.
    ended: watch::Sender<u64>,
    /// Told when a request waits for the platform.
    wanted: Notify,
}

impl Budgets {
    pub(super) fn new(own: Source, clock: Arc<dyn Clock>) -> Self {
        Self {
            own,
            clock,
            slices: Mutex::default(),
            vaults: Mutex::default(),
            ended: watch::Sender::new(0),
            wanted: Notify::new(),
        }
    }

    /// Returns the shard that a workspace's budget belongs to.
    pub(super) fn shard_of(workspace: &str) -> u8 {
        Slot::of(Period::default(), workspace).shard
    }

    pub(super) fn reserve(
        &self,
        workspace: &Name,
        limit: &BudgetLimit,
        estimate_tokens: u64,
    ) -> Reserved {
        let (now, wall_ms) = (self.now(), self.wall_ms());
        let mut slices = lock(&self.slices);
        match slices.reserve(workspace, limit, estimate_tokens, now, wall_ms) {
            ReserveOutcome::Reserved(period) => Reserved::Held(period),
            ReserveOutcome::Ask(ask) => Reserved::Ask(ask),
            ReserveOutcome::Spent => Reserved::Spent,
        }
    }

    /// Takes the owner's answer.
    pub(super) fn answered(&self, ask: &BudgetAsk, grant: BudgetGrant) {
        let now = self.now();
        let mut slices = lock(&self.slices);
        match grant {
            BudgetGrant::Granted(tokens) => slices.granted(ask, tokens),
            BudgetGrant::Spent => slices.spent(ask, now),
            BudgetGrant::Unavailable => {}
        }
    }

    pub(super) fn settle(
        &self,
        workspace: &Name,
        period: BudgetPeriod,
        estimate_tokens: u64,
        used_tokens: u64,
    ) {
        let now = self.now();
        lock(&self.slices).settle(workspace, period, estimate_tokens, used_tokens, now);
    }

    /// Returns what to give back to owners.
    pub(super) fn give_back(&self, all: bool) -> Vec<BudgetAsk> {
        let (now, wall_ms) = (self.now(), self.wall_ms());
        lock(&self.slices).give_back(all, now, wall_ms)
    }

    /// Answers an entry; waits for the platform where nothing was drawn ahead.
    pub(super) async fn serve(&self, ask: &BudgetAsk) -> BudgetGrant {
        let shard = Self::shard_of(&ask.workspace);
        let mut ended = self.ended.subscribe();
        self.with_vault(shard, |vault| vault.receive(ask));
        if ask.need_tokens == 0 {
            return BudgetGrant::Granted(0);
        }
        let granted = async {
            loop {
                ended.mark_unchanged();
                let now = self.now();
                if let Some(grant) = self.with_vault(shard, |vault| vault.grant(ask, now)) {
                    return grant;
                }
                self.wanted.notify_one();
                // The sender lives in `self`, so waiting cannot fail.
                let _ = ended.changed().await;
            }
        };
        time::timeout(DRAW_TIME, granted).await.unwrap_or(BudgetGrant::Unavailable)
    }

    /// Returns what the platform is to be asked for.
    pub(super) fn steps(&self, fleet: &Fleet, stopping: bool) -> Vec<(u8, BudgetStep)> {
        let (now, wall_ms) = (self.now(), self.wall_ms());
        let mut vaults = lock(&self.vaults);
        let mut steps = Vec::new();
        for (shard, vault) in &mut *vaults {
            let owner = fleet.owner_of(Slot { period: Period::default(), shard: *shard });
            let gives_up = stopping || owner != Some(&self.own.router);
            if let Some(step) = vault.next_step(gives_up, now, wall_ms) {
                steps.push((*shard, step));
            }
        }
        steps
    }

    pub(super) fn read_done(&self, shard: u8, reading: Option<BudgetReading>) {
        let now = self.now();
        self.with_vault(shard, |vault| vault.read_done(reading, now));
        self.ended.send_modify(|ended| *ended += 1);
    }

    pub(super) fn write_done(&self, shard: u8, outcome: BudgetOutcome) {
        let now = self.now();
        self.with_vault(shard, |vault| vault.write_done(outcome, now));
        self.ended.send_modify(|ended| *ended += 1);
    }

    /// Waits until a request waits for the platform.
    pub(super) async fn wanted(&self) {
        self.wanted.notified().await;
    }

    /// Tells whether everything drawn was granted or given back.
    pub(super) fn is_empty(&self) -> bool {
        lock(&self.vaults).values().all(Vault::is_empty)
    }

    fn with_vault<T>(&self, shard: u8, work: impl FnOnce(&mut Vault) -> T) -> T {
        let mut vaults = lock(&self.vaults);
        work(vaults.entry(shard).or_insert_with(|| Vault::new(self.own.clone())))
    }

    fn now(&self) -> Duration {
        self.clock.monotonic()
    }

    fn wall_ms(&self) -> u64 {
        wall_ms(&*self.clock)
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("budget lock is never poisoned")
}
