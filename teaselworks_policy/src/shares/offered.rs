//! Offered load of one service at this router, by workspace and rank.
//!
//! Designed for: bursts that begin within a second, and a few requests of a class a
//! second at each of hundreds of routers.

use std::collections::HashMap;
use std::time::Duration;

use super::{OfferedRow, RankLoad, WorkspaceKey};

/// Time constant of the mean that is exchanged. Callers give up after a fraction of a second, so
/// that a burst must be noticed as fast; summed over all routers its noise is small.
const FAST: Duration = Duration::from_millis(300);
/// Time constant of the mean by which a router plans alone. A router of hundreds gets a few
/// requests within [`FAST`], of which one would look like an overload.
const ALONE: Duration = Duration::from_secs(1);
/// Time constant of the average load, longer than the bursts from which it tells the usual load.
const USUAL: Duration = Duration::from_secs(30);
/// Time constant of the average load while a workspace exceeds its share. At most what is
/// within the share counts then, so that the excess does not become the average.
const USUAL_IN_EXCESS: Duration = Duration::from_secs(60);
/// Multiple of the age of the table that takes the place of [`USUAL_IN_EXCESS`] while it is shorter.
/// With the age itself, an excess would become the average within seconds after a start.
const AGE_FACTOR_IN_EXCESS: f64 = 4.0;
/// Age of the table up to which the first totals tell it the growth of workspaces.
const MAX_AGE_AT_FIRST_TOTALS: Duration = Duration::from_secs(5);
/// Workspaces with rows of their own. With more, those with the least load share a row: what they
/// take does not change what the others get.
const MAX_WORKSPACES: usize = 64;
/// Load in slots below which a row is left out.
const MIN_LOAD: f64 = 1e-3;

/// Moving mean of the load that this router admitted.
#[derive(Debug, Default)]
pub(super) struct AdmittedLoad {
    updated_at: Duration,
    slots: f64,
}

impl AdmittedLoad {
    /// Returns whether there is room for a request in a part of the slots.
    pub fn has_room(&mut self, now: Duration, slot_time: Duration, slots: f64) -> bool {
        self.advance(now);
        // Half of the request, so that the mean comes to the slots and not to less.
        self.slots + slot_time.div_duration_f64(ALONE) / 2.0 <= slots
    }

    pub fn add(&mut self, now: Duration, slot_time: Duration) {
        self.advance(now);
        self.slots += slot_time.div_duration_f64(ALONE);
    }

    fn advance(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.updated_at);
        self.slots *= (-elapsed.div_duration_f64(ALONE)).exp();
        self.updated_at = now.max(self.updated_at);
    }
}

/// For whom the offered load is read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Reader {
    /// For the exchange with other routers.
    Exchange,
    /// For a plan of this router alone.
    Alone,
}

/// Moving means of the load of one rank.
#[derive(Clone, Debug)]
struct RankMeans {
    rank: u8,
    fast: RankLoad,
    alone: RankLoad,
}

/// Moving means of the load of one workspace.
#[derive(Clone, Debug)]
struct WorkspaceMeans {
    updated_at: Duration,
    usual: f64,
    /// Part of the offered load that counts for the average load; below 1 beyond the share.
    averaged_part: f64,
    ranks: Vec<RankMeans>,
}

/// Offered load of one service at this router.
#[derive(Debug)]
pub(super) struct OfferedLoad {
    started_at: Duration,
    rows: HashMap<WorkspaceKey, WorkspaceMeans>,
    /// Growth of workspaces when this router got its first totals.
    growth_at_start: Option<HashMap<WorkspaceKey, f64>>,
}

impl OfferedLoad {
    /// Creates the table at the first request to the service.
    pub fn new(now: Duration) -> Self {
        Self { started_at: now, rows: HashMap::new(), growth_at_start: None }
    }

    /// Adds a request.
    pub fn add(
        &mut self,
        now: Duration,
        workspace: WorkspaceKey,
        rank: u8,
        slot_time: Duration,
        is_returning: bool,
    ) {
        let started_at = self.started_at;
        let age = now.saturating_sub(started_at);
        if age > USUAL {
            self.growth_at_start = None;
        }
        let growth = self.growth_at_start.as_ref().and_then(|growth| growth.get(&workspace));
        let growth = growth.copied().unwrap_or(1.0);
        let row = self.row(now, workspace);
        row.advance(now, started_at);
        let counted = row.averaged_part.min(1.0 / growth);
        row.usual += counted * slot_time.div_duration_f64(row.usual_time_constant().at_age(age));
        let means = row.rank(rank);
        for (load, time_constant) in [(&mut means.fast, FAST), (&mut means.alone, ALONE)] {
            let mean = if is_returning { &mut load.returning } else { &mut load.new };
            *mean += slot_time.div_duration_f64(time_constant);
        }
    }

    /// Takes the growth of workspaces from the first totals after a start.
    ///
    /// A router that starts while a workspace sends ten times its average load would otherwise take
    /// that for the average: with few routers, this alone doubles the share of the workspace.
    pub fn on_totals(&mut self, now: Duration, totals: &[OfferedRow]) {
        let age = now.saturating_sub(self.started_at);
        if self.growth_at_start.is_some() || age > MAX_AGE_AT_FIRST_TOTALS {
            return;
        }
        let has_average = |row: &&OfferedRow| row.usual >= MIN_LOAD;
        let growth = |row: &OfferedRow| (row.workspace, (row.offered_slots() / row.usual).max(1.0));
        let growth: HashMap<WorkspaceKey, f64> =
            totals.iter().filter(has_average).map(growth).collect();
        for (workspace, row) in &mut self.rows {
            row.usual /= growth.get(workspace).copied().unwrap_or(1.0);
        }
        self.growth_at_start = Some(growth);
    }

    /// Returns the row of a workspace; makes room for it if it has none.
    fn row(&mut self, now: Duration, workspace: WorkspaceKey) -> &mut WorkspaceMeans {
        if workspace != WorkspaceKey::REST && !self.rows.contains_key(&workspace) {
            let shared = usize::from(self.rows.contains_key(&WorkspaceKey::REST));
            if self.rows.len() - shared >= MAX_WORKSPACES {
                self.move_least_to_rest(now);
            }
        }
        self.rows.entry(workspace).or_insert_with(|| WorkspaceMeans::new(now))
    }

    /// Adds the workspace with the least load to the shared row.
    fn move_least_to_rest(&mut self, now: Duration) {
        let started_at = self.started_at;
        for row in self.rows.values_mut() {
            row.advance(now, started_at);
        }
        let own_rows = self.rows.iter().filter(|(key, _)| **key != WorkspaceKey::REST);
        let least = own_rows.min_by(|(_, a), (_, b)| a.load().total_cmp(&b.load()));
        let Some(least) = least.map(|(key, _)| *key).and_then(|key| self.rows.remove(&key)) else {
            return;
        };
        let rest = self.rows.entry(WorkspaceKey::REST).or_insert_with(|| WorkspaceMeans::new(now));
        rest.usual += least.usual;
        for means in least.ranks {
            let into = rest.rank(means.rank);
            for (into, load) in [(&mut into.fast, means.fast), (&mut into.alone, means.alone)] {
                into.new += load.new;
                into.returning += load.returning;
            }
        }
    }

    /// Returns the rows, sorted by key.
    pub fn rows(&self, now: Duration, reader: Reader) -> Vec<OfferedRow> {
        let mut rows: Vec<OfferedRow> = Vec::with_capacity(self.rows.len());
        for (workspace, row) in &self.rows {
            let mut row = row.clone();
            row.advance(now, self.started_at);
            let loads = row.ranks.iter().map(|means| match reader {
                Reader::Exchange => means.fast,
                Reader::Alone => means.alone,
            });
            let mut ranks: Vec<RankLoad> =
                loads.filter(|load| load.new + load.returning >= MIN_LOAD).collect();
            ranks.sort_by_key(|load| load.rank);
            if row.usual >= MIN_LOAD || !ranks.is_empty() {
                rows.push(OfferedRow { workspace: *workspace, usual: row.usual, ranks });
            }
        }
        rows.sort_by_key(|row| row.workspace);
        rows
    }

    /// Records which part of the load of each workspace counts for its average load; 1 for those
    /// that are within their share.
    pub fn set_averaged_parts(
        &mut self,
        now: Duration,
        averaged_part: impl Fn(WorkspaceKey) -> f64,
    ) {
        for (workspace, row) in &mut self.rows {
            row.advance(now, self.started_at);
            row.averaged_part = averaged_part(*workspace);
        }
    }

    /// Drops the rows of workspaces for which `is_kept` is false.
    pub fn retain(&mut self, is_kept: impl Fn(WorkspaceKey) -> bool) {
        self.rows.retain(|workspace, _| is_kept(*workspace));
    }
}

impl WorkspaceMeans {
    fn new(now: Duration) -> Self {
        Self { updated_at: now, usual: 0.0, averaged_part: 1.0, ranks: Vec::new() }
    }

    /// Returns the load by which the rows that are kept are chosen.
    fn load(&self) -> f64 {
        let fast = self.ranks.iter().map(|means| means.fast.new + means.fast.returning);
        self.usual + fast.sum::<f64>()
    }

    fn usual_time_constant(&self) -> UsualTimeConstant {
        if self.averaged_part < 1.0 {
            UsualTimeConstant { age_factor: AGE_FACTOR_IN_EXCESS, most: USUAL_IN_EXCESS }
        } else {
            UsualTimeConstant { age_factor: 1.0, most: USUAL }
        }
    }

    /// Returns the means of a rank.
    fn rank(&mut self, rank: u8) -> &mut RankMeans {
        let index = self.ranks.iter().position(|means| means.rank == rank);
        let index = index.unwrap_or_else(|| {
            let none = RankLoad { rank, new: 0.0, returning: 0.0 };
            self.ranks.push(RankMeans { rank, fast: none, alone: none });
            self.ranks.len() - 1
        });
        &mut self.ranks[index]
    }

    /// Lets the means decay until now.
    fn advance(&mut self, now: Duration, started_at: Duration) {
        if now <= self.updated_at {
            return;
        }
        let elapsed = now - self.updated_at;
        let decay = |time_constant| (-elapsed.div_duration_f64(time_constant)).exp();
        let (fast, alone) = (decay(FAST), decay(ALONE));
        for means in &mut self.ranks {
            means.fast.new *= fast;
            means.fast.returning *= fast;
            means.alone.new *= alone;
            means.alone.returning *= alone;
        }
        let age = |at: Duration| at.saturating_sub(started_at);
        self.usual *= self.usual_time_constant().decay(age(self.updated_at), age(now));
        self.updated_at = now;
    }
}

/// Time constant of the average load: a multiple of the table's age, up to a bound. While it is the
/// age itself, the average is the mean since the start.
#[derive(Clone, Copy, Debug)]
struct UsualTimeConstant {
    age_factor: f64,
    most: Duration,
}

impl UsualTimeConstant {
    fn at_age(self, age: Duration) -> Duration {
        age.max(FAST).mul_f64(self.age_factor).min(self.most)
    }

    /// Returns by how much the average load decays between two ages of the table.
    fn decay(self, from: Duration, to: Duration) -> f64 {
        let young_until = self.most.div_f64(self.age_factor).min(to).max(FAST);
        let young_from = from.clamp(FAST, young_until);
        let young = young_from.div_duration_f64(young_until).powf(1.0 / self.age_factor);
        let old = to.saturating_sub(from.max(young_until)).div_duration_f64(self.most);
        young * (-old).exp()
    }
}
