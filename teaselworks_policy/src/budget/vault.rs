//! Tokens of budgets that a router has drawn from the platform, to be granted to entries.

use std::collections::BTreeMap;
use std::time::Duration;

use super::limit::BudgetPeriod;
use super::message::{BudgetAsk, BudgetGrant};
use super::value::BudgetValue;
use crate::name::Name;
use crate::usage::Source;

/// Time for which an owner draws ahead, by what it granted lately: an outage of the platform that
/// is no longer leaves the workspaces with a budget served.
pub const DRAWN_AHEAD: Duration = Duration::from_secs(3_600);

/// Window of the rate that tokens are granted at.
const WINDOW: Duration = Duration::from_secs(600);

/// Part of what is left of a budget that is drawn ahead at once, as a divisor, and part of what is
/// drawn that is granted ahead; what is needed is drawn this many times over.
///
/// Parts of what is left shrink as the budget is spent, so that little is held idle when it ends.
const PART: u64 = 8;

/// Time between two writes that only top up; one that a request waits for is made at once.
const TOP_UP_INTERVAL: Duration = Duration::from_secs(60);

/// Time between two writes that requests wait for.
const URGENT_INTERVAL: Duration = Duration::from_secs(1);

/// Age at which a reading no longer tells that a budget is spent.
const READING_AGE: Duration = Duration::from_secs(10);

/// Time for which requests are refused at once after the platform has failed.
const FAILURE_TIME: Duration = Duration::from_secs(1);

/// A value as the platform gave it.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct BudgetReading {
    /// The value; empty when the platform has none.
    pub value: BudgetValue,
    /// Revision of the key's last change, 0 when there is no value.
    pub revision: u64,
}

/// A value to be written if the key's revision is still the expected one.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct BudgetWrite {
    /// The new value.
    pub value: BudgetValue,
    /// Revision that the key must have, 0 for no value.
    pub expected_revision: u64,
}

/// What a shard's budgets need of the platform next.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum BudgetStep {
    /// Read the value.
    Read,
    /// Replace the value.
    Write(BudgetWrite),
}

/// How a write ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum BudgetOutcome {
    /// The value was replaced; its new revision.
    Written(u64),
    /// Somebody else wrote first; what the platform holds now.
    Conflict(BudgetReading),
    /// The call had no effect.
    NotWritten,
    /// The value may or may not have been replaced.
    Unknown,
}

/// Tokens of one workspace and period that this router has drawn.
#[derive(Clone, Debug, Default)]
struct Account {
    budget_tokens: u64,
    free_tokens: u64,
    needed_tokens: u64,
    used_tokens: u64,
    window_start: Duration,
    window_tokens: u64,
    last_window_tokens: u64,
}

/// Changes of a write under way.
#[derive(Clone, Debug)]
struct Planned {
    number: u64,
    value: BudgetValue,
    draws: BTreeMap<(Name, BudgetPeriod), u64>,
    /// What is put back when the write has no effect: tokens given back, and use reported.
    withheld: BTreeMap<(Name, BudgetPeriod), (u64, u64)>,
}

/// Tokens of the budgets of one shard that a router has drawn.
///
/// Every failure leaves tokens unused rather than used twice: a draw whose outcome stays unknown,
/// what a killed router held, a grant whose answer is lost.
#[derive(Clone, Debug)]
pub struct Vault {
    own: Source,
    base: Option<BudgetReading>,
    accounts: BTreeMap<(Name, BudgetPeriod), Account>,
    writing: Option<Planned>,
    unsure: Option<Planned>,
    writes: u64,
    reading: bool,
    wanted: bool,
    read_at: Option<Duration>,
    failed_at: Option<Duration>,
    written_at: Option<Duration>,
}

impl Vault {
    /// Makes a vault that has drawn nothing.
    pub fn new(own: Source) -> Self {
        Self {
            own,
            base: None,
            accounts: BTreeMap::new(),
            writing: None,
            unsure: None,
            writes: 0,
            reading: false,
            wanted: false,
            read_at: None,
            failed_at: None,
            written_at: None,
        }
    }

    /// Takes what a message gives back and reports, and leaves its grant to [`grant`](Self::grant).
    pub fn receive(&mut self, ask: &BudgetAsk) {
        let account = self.account(ask);
        account.free_tokens += ask.returned_tokens;
        account.used_tokens += ask.used_tokens;
    }

    /// Grants what a message needs; `None` while the platform has to be asked first.
    pub fn grant(&mut self, ask: &BudgetAsk, now: Duration) -> Option<BudgetGrant> {
        let need = ask.need_tokens;
        let account = self.account(ask);
        if account.free_tokens >= need {
            let ahead = (need + ask.ahead_tokens).min(account.free_tokens / PART);
            let tokens = need.max(ahead);
            account.free_tokens -= tokens;
            account.count(tokens, now);
            return Some(BudgetGrant::Granted(tokens));
        }
        account.needed_tokens = account.needed_tokens.max(need);
        let free_tokens = account.free_tokens;
        if self.failed_at.is_some_and(|at| now < at + FAILURE_TIME) {
            return Some(BudgetGrant::Unavailable);
        }
        let current = self.read_at.is_some_and(|at| now < at + READING_AGE);
        let Some(base) = self.base.as_ref().filter(|_| current) else {
            // Another owner may have given tokens back since.
            self.wanted = true;
            return None;
        };
        let drawn = base.value.drawn(&ask.workspace, ask.period).drawn_tokens;
        let left = ask.budget_tokens.saturating_sub(drawn);
        if self.writing.is_some() || free_tokens + left >= need {
            return None;
        }
        self.account(ask).needed_tokens = 0;
        Some(BudgetGrant::Spent)
    }

    /// Returns what to ask of the platform, one thing at a time; with `gives_up` everything that
    /// was drawn and not granted is given back, as when another router becomes the owner.
    pub fn next_step(&mut self, gives_up: bool, now: Duration, wall_ms: u64) -> Option<BudgetStep> {
        if self.reading || self.writing.is_some() {
            return None;
        }
        self.forget_old(wall_ms);
        let urgent = self.accounts.values().any(Account::is_short);
        if self.wanted && self.failed_at.is_none_or(|at| now >= at + FAILURE_TIME) {
            self.reading = true;
            return Some(BudgetStep::Read);
        }
        let interval = if urgent || gives_up { URGENT_INTERVAL } else { TOP_UP_INTERVAL };
        if self.written_at.is_some_and(|at| now < at + interval) {
            return None;
        }
        let base = self.base.clone()?;
        let planned =
            if gives_up { self.plan_return(&base) } else { self.plan(&base, now, wall_ms) };
        if planned.value.accounts == base.value.accounts {
            return None;
        }
        let write = BudgetWrite { value: planned.value.clone(), expected_revision: base.revision };
        self.writing = Some(planned);
        self.written_at = Some(now);
        Some(BudgetStep::Write(write))
    }

    /// Takes the value read; `None` when the read failed.
    pub fn read_done(&mut self, reading: Option<BudgetReading>, now: Duration) {
        self.reading = false;
        let Some(reading) = reading else {
            self.failed_at = Some(now);
            return;
        };
        self.wanted = false;
        self.read_at = Some(now);
        let unsure = self.unsure.take();
        if let Some(planned) = unsure
            && reading.value.writer == Some((self.own.clone(), planned.number))
        {
            self.credit(planned.draws);
        }
        self.base = Some(reading);
    }

    /// Takes the outcome of a write.
    pub fn write_done(&mut self, outcome: BudgetOutcome, now: Duration) {
        let Some(planned) = self.writing.take() else {
            return;
        };
        match outcome {
            BudgetOutcome::Written(revision) => {
                self.read_at = Some(now);
                self.base = Some(BudgetReading { value: planned.value, revision });
                self.credit(planned.draws);
            }
            BudgetOutcome::Conflict(reading) => {
                self.read_at = Some(now);
                self.base = Some(reading);
                self.put_back(planned.withheld);
            }
            BudgetOutcome::NotWritten => {
                self.failed_at = Some(now);
                self.put_back(planned.withheld);
            }
            BudgetOutcome::Unknown => {
                // Credited now, a draw that did not take effect would be spent beyond the budget;
                // forgotten, one that did would stay unused. The value's writer tells which.
                self.base = None;
                self.wanted = true;
                self.failed_at = Some(now);
                self.unsure = Some(planned);
            }
        }
    }

    /// Tells whether nothing is held or under way.
    pub fn is_empty(&self) -> bool {
        let holds = |account: &Account| account.free_tokens > 0 || account.used_tokens > 0;
        !self.reading && self.writing.is_none() && !self.accounts.values().any(holds)
    }

    fn account(&mut self, ask: &BudgetAsk) -> &mut Account {
        let account = self.accounts.entry((ask.workspace.clone(), ask.period)).or_default();
        account.budget_tokens = ask.budget_tokens;
        account
    }

    fn forget_old(&mut self, wall_ms: u64) {
        self.accounts.retain(|(_, period), _| !period.is_over(wall_ms));
    }

    fn credit(&mut self, draws: BTreeMap<(Name, BudgetPeriod), u64>) {
        for (key, tokens) in draws {
            if let Some(account) = self.accounts.get_mut(&key) {
                account.free_tokens += tokens;
                account.needed_tokens = 0;
            }
        }
    }

    fn put_back(&mut self, withheld: BTreeMap<(Name, BudgetPeriod), (u64, u64)>) {
        for (key, (free_tokens, used_tokens)) in withheld {
            let account = self.accounts.entry(key).or_default();
            account.free_tokens += free_tokens;
            account.used_tokens += used_tokens;
        }
    }

    fn plan(&mut self, base: &BudgetReading, now: Duration, wall_ms: u64) -> Planned {
        self.foresee(now, wall_ms);
        let mut planned = self.planned(base);
        for (key, account) in &mut self.accounts {
            let drawn = planned.value.accounts.entry(key.clone()).or_default();
            let left = account.budget_tokens.saturating_sub(drawn.drawn_tokens);
            let tokens = account.wanted_tokens(left, now);
            let used_tokens = std::mem::take(&mut account.used_tokens);
            drawn.drawn_tokens += tokens;
            drawn.used_tokens += used_tokens;
            planned.draws.insert(key.clone(), tokens);
            planned.withheld.insert(key.clone(), (0, used_tokens));
        }
        planned.value.accounts.retain(|(_, period), _| !period.is_over(wall_ms));
        planned
    }

    fn plan_return(&mut self, base: &BudgetReading) -> Planned {
        let mut planned = self.planned(base);
        for (key, account) in &mut self.accounts {
            let drawn = planned.value.accounts.entry(key.clone()).or_default();
            // Taken out before the write, so that nothing granted meanwhile is given back too.
            let free_tokens = std::mem::take(&mut account.free_tokens);
            let used_tokens = std::mem::take(&mut account.used_tokens);
            drawn.drawn_tokens -= free_tokens.min(drawn.drawn_tokens);
            drawn.used_tokens += used_tokens;
            account.needed_tokens = 0;
            planned.withheld.insert(key.clone(), (free_tokens, used_tokens));
        }
        planned
    }

    fn planned(&mut self, base: &BudgetReading) -> Planned {
        self.writes += 1;
        let mut value = base.value.clone();
        value.writer = Some((self.own.clone(), self.writes));
        Planned { number: self.writes, value, draws: BTreeMap::new(), withheld: BTreeMap::new() }
    }

    /// Opens the accounts of the next period shortly before it begins, so that an outage at that
    /// moment finds them drawn.
    fn foresee(&mut self, now: Duration, wall_ms: u64) {
        let mut next = Vec::new();
        for ((workspace, period), account) in &self.accounts {
            let following = period.next();
            let soon = following.begins_in_ms(wall_ms) <= DRAWN_AHEAD.as_millis() as u64;
            let key = (workspace.clone(), following);
            if soon && account.per_hour_tokens(now) > 0 && !self.accounts.contains_key(&key) {
                next.push((key, account.clone()));
            }
        }
        for (key, account) in next {
            let fresh = Account { free_tokens: 0, needed_tokens: 0, used_tokens: 0, ..account };
            self.accounts.insert(key, fresh);
        }
    }
}

impl Account {
    fn is_short(&self) -> bool {
        self.needed_tokens > self.free_tokens
    }

    /// Returns what to draw when `left_tokens` are left of the budget.
    fn wanted_tokens(&self, left_tokens: u64, now: Duration) -> u64 {
        let ahead = self.per_hour_tokens(now).min(left_tokens / PART);
        let wanted = ahead.max(self.needed_tokens * PART);
        wanted.saturating_sub(self.free_tokens).min(left_tokens)
    }

    fn count(&mut self, tokens: u64, now: Duration) {
        if now >= self.window_start + WINDOW {
            let adjacent = now < self.window_start + 2 * WINDOW;
            self.last_window_tokens = if adjacent { self.window_tokens } else { 0 };
            self.window_tokens = 0;
            self.window_start = now;
        }
        self.window_tokens += tokens;
    }

    /// Returns what an hour will take by what the last minutes took.
    fn per_hour_tokens(&self, now: Duration) -> u64 {
        if now >= self.window_start + 3 * WINDOW {
            return 0;
        }
        let windows = (DRAWN_AHEAD.as_secs() / WINDOW.as_secs()).max(1);
        self.window_tokens.max(self.last_window_tokens) * windows
    }
}
