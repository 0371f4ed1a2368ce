//! The service that records use and holds budgets of one router.

use std::fmt;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use bytes::Bytes;
use teaselworks_config::configuration::Budget;
use teaselworks_policy::budget::{BudgetGrant, BudgetLimit, BudgetStep, BudgetValue};
use teaselworks_policy::name::Name;
use teaselworks_policy::usage::{
    Answer, Call, Ledger, Period, Reading, Request, Sighting, Slot, SlotStep, UsageRecord, UseRow,
    WriteOutcome,
};
use teaselworks_policy::verdict::{Refusal, RefusalReason};
use teaselworks_wire::codec;
use teaselworks_wire::message::Open;
use tokio::sync::Notify;

use super::budgets::{Budgets, Reserved};
use super::clock::wall_ms;
use super::message::{UsageMessage, UsageReply};
use super::meters::Meters;
use super::parts::UsageParts;
use super::recorded::Recorded;
use super::reservation::Reservation;
use super::runner;
use super::witness::Witness;
use crate::event;
use crate::kernel::{ServiceName, Shutdown};
use crate::platform::PlatformError;

/// Name of the usage service.
pub const USAGE: ServiceName<UsageService> = ServiceName::new("usage");

/// Times that an entry asks for one request's tokens: others may take what it was granted.
const RESERVE_TRIES: usize = 4;

/// When a caller returns whose budget could not be told.
const UNAVAILABLE_RETRY_MS: u64 = 2_000;

/// Records use and holds budgets.
pub struct UsageService {
    parts: UsageParts,
    meters: Meters,
    recorded: Mutex<Recorded>,
    ledger: Mutex<Ledger>,
    budgets: Budgets,
    hurry: Notify,
    stopping: AtomicBool,
}

/// What is due at a tick.
pub(super) struct Due {
    pub(super) calls: Vec<Call>,
    pub(super) steps: Vec<(Slot, SlotStep)>,
    pub(super) budget_steps: Vec<(u8, BudgetStep)>,
}

impl fmt::Debug for UsageService {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("UsageService").field("parts", &self.parts).finish_non_exhaustive()
    }
}

impl UsageService {
    /// Makes a service that has counted nothing; `start` sets it going.
    pub fn new(parts: UsageParts) -> Arc<Self> {
        let meters = Meters::new(&parts.metrics);
        let ledger = Ledger::new(parts.source.clone());
        let budgets = Budgets::new(parts.source.clone(), parts.clock.clone());
        Arc::new(Self {
            parts,
            meters,
            recorded: Mutex::default(),
            ledger: Mutex::new(ledger),
            budgets,
            hurry: Notify::new(),
            stopping: AtomicBool::new(false),
        })
    }

    /// Copies use to other routers and writes it to the platform until the process stops.
    pub fn start(self: &Arc<Self>, shutdown: Shutdown) {
        tokio::spawn(runner::run(self.clone(), shutdown));
    }

    /// Copies what is held to another router, or gives up after a few seconds; called when a
    /// planned stop has let every request end.
    pub async fn hand_over(self: &Arc<Self>) {
        runner::hand_over(self).await;
    }

    /// Records what an attempt used; a second record of the attempt changes nothing.
    ///
    /// Never waits for another router or the platform.
    pub fn record(&self, record: UsageRecord) {
        let outcome = record.outcome;
        if lock(&self.recorded).add(record) {
            self.meters.add_attempt(outcome);
        }
    }

    /// Notes what an attempt has used so far whose entry is this router too, so that no other one
    /// sees it; the router that holds this one's copies charges it if this one is lost.
    ///
    /// Never waits for another router or the platform.
    pub fn progress(&self, record: UsageRecord) {
        lock(&self.recorded).note_progress(record);
    }

    /// Looks on as the replies to an attempt at another router pass; `None` for a call of a plain
    /// service, and when nobody holds the owner's copies.
    pub fn witness(self: &Arc<Self>, owner: &Name, open: &Open) -> Option<Witness> {
        let watched = (self.parts.watched)(owner)?;
        Witness::new(self.clone(), watched, open)
    }

    /// Returns the use of a month by workspace, model and adapter, as the platform keeps it.
    ///
    /// What ended in the last seconds may still be on its way. Fails when the platform does not
    /// answer.
    pub async fn report(&self, period: Period) -> Result<Vec<UseRow>, PlatformError> {
        (self.parts.slots.month)(period).await
    }

    /// Returns the current month.
    pub fn period(&self) -> Period {
        Period::at(self.wall_ms())
    }

    /// Answers a message of the router `from`; `None` when it cannot be read.
    pub async fn handle(&self, from: &Name, message: &[u8]) -> Option<Bytes> {
        let reply = match codec::decode(message).ok()? {
            UsageMessage::Use(request) => UsageReply::Use(self.serve(request.with(from))),
            UsageMessage::Budget(ask) => UsageReply::Budget(self.budgets.serve(&ask).await),
        };
        codec::encode(&reply).ok()
    }

    /// Reserves tokens of a workspace's budget for one request; refuses with
    /// [`RefusalReason::Budget`] and the time to the next period when it is spent, and with
    /// [`RefusalReason::PlatformUnavailable`] when nobody can tell.
    pub async fn reserve(
        self: &Arc<Self>,
        workspace: &Name,
        budget: Option<&Budget>,
        estimate_tokens: u64,
    ) -> Result<Reservation, Refusal> {
        let Some(budget) = budget else {
            return Ok(Reservation::unlimited());
        };
        let limit = BudgetLimit { tokens: budget.tokens, period_ms: budget.period_ms };
        for _ in 0..RESERVE_TRIES {
            let ask = match self.budgets.reserve(workspace, &limit, estimate_tokens) {
                Reserved::Held(period) => {
                    let (service, workspace) = (self.clone(), workspace.clone());
                    return Ok(Reservation::held(service, workspace, period, estimate_tokens));
                }
                Reserved::Ask(ask) => ask,
                Reserved::Spent => return Err(self.spent(workspace, &limit)),
            };
            let grant = runner::ask_owner(self, &ask).await;
            self.budgets.answered(&ask, grant);
            match grant {
                BudgetGrant::Granted(_) => {}
                BudgetGrant::Spent => return Err(self.spent(workspace, &limit)),
                BudgetGrant::Unavailable => break,
            }
        }
        Err(Refusal::not_run(
            RefusalReason::PlatformUnavailable,
            Some(UNAVAILABLE_RETRY_MS),
            format!("What is left of the budget of workspace {workspace} cannot be told now."),
        ))
    }

    fn spent(&self, workspace: &Name, limit: &BudgetLimit) -> Refusal {
        Refusal::not_run(
            RefusalReason::Budget,
            Some(limit.next_period_ms(self.wall_ms())),
            format!("The budget of workspace {workspace} is spent for this period."),
        )
    }

    /// Returns what was drawn of all budgets; `None` when the platform does not answer.
    pub async fn drawn(&self) -> Option<Vec<BudgetValue>> {
        (self.parts.budgets.all)().await.ok()
    }

    pub(super) fn budgets(&self) -> &Budgets {
        &self.budgets
    }

    pub(super) fn parts(&self) -> &UsageParts {
        &self.parts
    }

    /// Takes what was recorded since the last tick, and returns what is to be sent.
    pub(super) fn due(&self) -> Due {
        let fleet = (self.parts.fleet)();
        let (now, wall_ms) = (self.now(), self.wall_ms());
        // Taken under the ledger's lock: a record in neither of the two would be lost by a planned
        // stop that looks at this moment whether anything is held, and seen in engines' totals.
        let mut ledger = lock(&self.ledger);
        let (records, progress) = {
            let mut recorded = lock(&self.recorded);
            (recorded.take(), recorded.take_progress())
        };
        for record in &records {
            ledger.record(record, now);
        }
        for record in &progress {
            ledger.progress(record);
        }
        let calls = ledger.calls(&fleet, now);
        let steps = ledger.steps(&fleet, now, wall_ms);
        self.note(&mut ledger);
        let budget_steps = self.budgets.steps(&fleet, self.is_stopping());
        Due { calls, steps, budget_steps }
    }

    /// Reports what the ledger noticed.
    fn note(&self, ledger: &mut Ledger) {
        for slot in ledger.take_behind() {
            event::USE_VALUE_BEHIND.log(format_args!("slot={slot}"));
        }
        for (source, attempts) in ledger.take_adopted() {
            self.meters.add_taken_over(attempts as u64);
            event::USE_TAKEN_OVER.log(format_args!("source={source} attempts={attempts}"));
        }
        let dropped = ledger.take_dropped_claims().len();
        if dropped > 0 {
            self.meters.add_dropped_claims(dropped as u64);
            event::USE_CLAIM_DROPPED.log(format_args!("attempts={dropped}"));
        }
        let (own, copies) = ledger.held_charges();
        self.meters.set_held(own, copies);
    }

    pub(super) fn serve(&self, request: Request) -> Answer {
        lock(&self.ledger).serve(request, self.now())
    }

    pub(super) fn answered(&self, call: Call, answer: Option<Answer>) {
        lock(&self.ledger).answered(call, answer, self.now());
    }

    pub(super) fn read_done(&self, slot: Slot, reading: Option<Reading>) {
        lock(&self.ledger).read_done(slot, reading, self.wall_ms());
    }

    pub(super) fn write_done(&self, slot: Slot, outcome: WriteOutcome) {
        lock(&self.ledger).write_done(slot, outcome, self.wall_ms());
    }

    pub(super) fn count_write(&self, outcome: &WriteOutcome) {
        self.meters.add_write(runner::outcome_name(outcome));
    }

    pub(super) fn begin_stop(&self) {
        lock(&self.ledger).stop(self.now());
        self.stopping.store(true, Ordering::Relaxed);
        self.hurry.notify_one();
    }

    pub(super) fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    /// Makes the next tick due at once.
    pub(super) fn hurry(&self) {
        self.hurry.notify_one();
    }

    /// Waits until a tick is wanted before its time.
    pub(super) async fn hurried(&self) {
        self.hurry.notified().await;
    }

    /// Tells whether another router or the platform holds everything recorded here.
    pub(super) fn may_end(&self) -> bool {
        let ledger = lock(&self.ledger);
        lock(&self.recorded).is_empty() && ledger.may_end()
    }

    pub(super) fn held_charges(&self) -> (usize, usize) {
        lock(&self.ledger).held_charges()
    }

    pub(super) fn see(&self, sighting: Sighting) {
        lock(&self.ledger).see(sighting);
    }

    pub(super) fn now(&self) -> Duration {
        self.parts.clock.monotonic()
    }

    pub(super) fn wall_ms(&self) -> u64 {
        wall_ms(&*self.parts.clock)
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("usage lock is never poisoned")
}
