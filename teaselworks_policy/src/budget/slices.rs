//! Tokens of budgets that an entry router holds for the requests it takes.

use std::collections::BTreeMap;
use std::time::Duration;

use super::limit::{BudgetLimit, BudgetPeriod};
use super::message::BudgetAsk;
use crate::name::Name;

/// Time over which an entry looks ahead by what it used lately.
const AHEAD: Duration = Duration::from_secs(60);

/// Time without a request after which an entry gives back what it holds.
const IDLE: Duration = Duration::from_secs(60);

/// Time for which an entry refuses by itself after the owner did.
const SPENT_TIME: Duration = Duration::from_secs(2);

/// What an entry holds of one workspace's budget.
#[derive(Clone, Debug, Default)]
struct Slice {
    budget_tokens: u64,
    /// Tokens free for requests; below zero when requests used more than they had reserved.
    free_tokens: i64,
    reserved_tokens: u64,
    unreported_tokens: u64,
    window_start: Duration,
    window_tokens: u64,
    last_window_tokens: u64,
    used_at: Duration,
    /// Smallest need that the owner refused lately, and until when that holds.
    spent: Option<(u64, Duration)>,
}

/// How a reservation went.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ReserveOutcome {
    /// The tokens are reserved, in this period.
    Reserved(BudgetPeriod),
    /// The owner has to be asked first.
    Ask(BudgetAsk),
    /// The owner said lately that the budget has not as many left.
    Spent,
}

/// Tokens of budgets that an entry router holds.
#[derive(Clone, Debug, Default)]
pub struct Slices {
    slices: BTreeMap<(Name, BudgetPeriod), Slice>,
}

impl Slices {
    /// Reserves tokens for a request, or tells what to ask of the owner.
    ///
    /// ```
    /// use std::time::Duration;
    /// use teaselworks_policy::budget::{BudgetLimit, ReserveOutcome, Slices};
    ///
    /// let (limit, now) = (BudgetLimit { tokens: 100, period_ms: 1_000 }, Duration::ZERO);
    /// let mut slices = Slices::default();
    /// let ReserveOutcome::Ask(ask) = slices.reserve(&"choir".into(), &limit, 8, now, 0) else {
    ///     panic!("nothing is held yet");
    /// };
    /// slices.granted(&ask, 20);
    /// assert!(matches!(
    ///     slices.reserve(&"choir".into(), &limit, 8, now, 0),
    ///     ReserveOutcome::Reserved(_)
    /// ));
    /// ```
    pub fn reserve(
        &mut self,
        workspace: &Name,
        limit: &BudgetLimit,
        estimate_tokens: u64,
        now: Duration,
        wall_ms: u64,
    ) -> ReserveOutcome {
        let period = limit.period_at(wall_ms);
        let slice = self.slices.entry((workspace.clone(), period)).or_default();
        slice.budget_tokens = limit.tokens;
        slice.used_at = now;
        let missing = estimate_tokens as i64 - slice.free_tokens;
        if missing <= 0 {
            slice.free_tokens -= estimate_tokens as i64;
            slice.reserved_tokens += estimate_tokens;
            return ReserveOutcome::Reserved(period);
        }
        let (need, ahead) = (missing as u64, slice.ahead_tokens(now));
        if slice.spent.is_some_and(|(least, until)| need >= least && now < until) {
            return ReserveOutcome::Spent;
        }
        ReserveOutcome::Ask(slice.ask(workspace, period, need, ahead, 0))
    }

    /// Takes tokens that the owner granted; dropped when the period has ended.
    pub fn granted(&mut self, ask: &BudgetAsk, tokens: u64) {
        if let Some(slice) = self.slices.get_mut(&(ask.workspace.clone(), ask.period)) {
            slice.free_tokens += tokens as i64;
        }
    }

    /// Notes that the owner has not as many tokens as asked for.
    pub fn spent(&mut self, ask: &BudgetAsk, now: Duration) {
        if let Some(slice) = self.slices.get_mut(&(ask.workspace.clone(), ask.period)) {
            slice.spent = Some((ask.need_tokens, now + SPENT_TIME));
        }
    }

    /// Replaces a reservation by what was used; one of an ended period changes nothing.
    pub fn settle(
        &mut self,
        workspace: &Name,
        period: BudgetPeriod,
        estimate_tokens: u64,
        actual_tokens: u64,
        now: Duration,
    ) {
        let Some(slice) = self.slices.get_mut(&(workspace.clone(), period)) else {
            return;
        };
        slice.free_tokens += estimate_tokens as i64 - actual_tokens as i64;
        slice.reserved_tokens -= estimate_tokens.min(slice.reserved_tokens);
        slice.unreported_tokens += actual_tokens;
        slice.count(actual_tokens, now);
    }

    /// Returns what to give back: slices without a request for a while, or all of them when the
    /// router stops. Drops those of ended periods.
    pub fn give_back(&mut self, all: bool, now: Duration, wall_ms: u64) -> Vec<BudgetAsk> {
        self.slices
            .retain(|(_, period), slice| !period.is_over(wall_ms) || slice.reserved_tokens > 0);
        let mut asks = Vec::new();
        for ((workspace, period), slice) in &mut self.slices {
            let idle = all || now >= slice.used_at + IDLE;
            let holds = slice.free_tokens > 0 || slice.unreported_tokens > 0;
            if !idle || !holds {
                continue;
            }
            let returned = slice.free_tokens.max(0) as u64;
            slice.free_tokens -= returned as i64;
            asks.push(slice.ask(workspace, *period, 0, 0, returned));
        }
        asks
    }
}

impl Slice {
    /// Makes a message, which reports what was used since the last one.
    fn ask(
        &mut self,
        workspace: &Name,
        period: BudgetPeriod,
        need_tokens: u64,
        ahead_tokens: u64,
        returned_tokens: u64,
    ) -> BudgetAsk {
        BudgetAsk {
            workspace: workspace.clone(),
            period,
            budget_tokens: self.budget_tokens,
            need_tokens,
            ahead_tokens,
            returned_tokens,
            used_tokens: std::mem::take(&mut self.unreported_tokens),
        }
    }

    fn count(&mut self, tokens: u64, now: Duration) {
        self.turn(now);
        self.window_tokens += tokens;
    }

    fn ahead_tokens(&mut self, now: Duration) -> u64 {
        self.turn(now);
        self.window_tokens.max(self.last_window_tokens)
    }

    fn turn(&mut self, now: Duration) {
        if now < self.window_start + AHEAD {
            return;
        }
        let adjacent = now < self.window_start + 2 * AHEAD;
        self.last_window_tokens = if adjacent { self.window_tokens } else { 0 };
        self.window_tokens = 0;
        self.window_start = now;
    }
}
