//! Divides the slots of an overloaded service between ranks and workspaces.
//!
//! Designed for: more requests than the service has slots for, of several ranks, and
//! workspaces that send many times what they usually send. The plan follows from the capacity and
//! the offered load alone, so that routers with the same totals admit the same fractions.

use super::rank_order::{max_min, rank_amounts};
use super::{OfferedRow, RankLoad, WorkspaceKey};

/// Offered load, as a part of the capacity, beyond which a service becomes overloaded. Placement
/// needs some free slots to find one for each request without a wait.
const OVERLOAD_BEGINS: f64 = 0.9;
/// Offered load, as a part of the capacity, below which a service is no longer overloaded. The
/// distance to [`OVERLOAD_BEGINS`] exceeds the noise of the offered load, so that callers are not
/// refused and admitted in turns.
const OVERLOAD_ENDS: f64 = 0.8;
/// Multiple of a workspace's average load that is within its share when the others have not grown.
/// The load of workspaces varies by this factor within minutes without any cause.
const MAX_HEADROOM: f64 = 1.5;
/// The same where the shares do not fit into the capacity. The offered load of small workspaces
/// varies by this factor within a second.
const MIN_HEADROOM: f64 = 1.2;
/// Halvings of the interval in which the headroom is searched; it is then exact to a millionth.
const HEADROOM_STEPS: u32 = 18;
/// Part of the admitted load of a class that returning callers may take. Their answers are late
/// already, and the same slots answer new callers in time.
const RETURNING_SHARE: f64 = 0.1;
/// The same, as a part of the admitted load of new callers.
const RETURNING_PER_NEW: f64 = RETURNING_SHARE / (1.0 - RETURNING_SHARE);
/// Smallest weight of a workspace, as a part of an equal part of the capacity. Without it a
/// workspace that is new, and so has no average load, would be refused nearly everything.
const MIN_WEIGHT: f64 = 0.1;
/// Average load, as a part of an equal part of the capacity, below which a workspace does not count
/// in the common growth: it is new, or so small that single requests make its growth.
const MIN_GROWTH_BASE: f64 = 0.01;
/// Tolerance for the rounding of sums of fractions.
const ROUNDING_TOLERANCE: f64 = 1e-9;

/// The plan's decision on one class.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ClassPlan {
    /// Part of the requests of new callers that is admitted.
    pub new: f64,
    /// Part of the requests of returning callers that is admitted.
    pub returning: f64,
    /// Whether only a part of the class is admitted.
    pub is_marginal: bool,
    /// Whether most of what is refused of the class is beyond its workspace's share.
    pub is_beyond_share: bool,
    /// Whether load of a more urgent rank is offered.
    pub has_more_urgent: bool,
    /// Part of the admitted load at the service that has the same or a more urgent rank.
    pub ahead_share: f64,
}

/// Offered and admitted load of one rank of a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RankPlan {
    /// Rank; 0 is the most urgent.
    pub rank: u8,
    /// Offered load in slots.
    pub offered_slots: f64,
    /// Admitted load in slots.
    pub admitted_slots: f64,
    /// Admitted load of returning callers per admitted load of new ones, at least what the former
    /// may take.
    returning_per_new: f64,
    /// Admitted fraction of the load within the shares of workspaces.
    within_share: f64,
}

impl RankPlan {
    /// Returns the admitted fraction of the offered load.
    ///
    /// ```
    /// # use teaselworks_policy::shares::{OfferedRow, RankLoad, WorkspaceKey, plan};
    /// # let ranks = [0, 1].map(|rank| RankLoad { rank, new: 80.0, returning: 0.0 }).to_vec();
    /// # let workspace = WorkspaceKey::of("search");
    /// let plan = plan(100.0, &[OfferedRow { workspace, usual: 20.0, ranks }]);
    /// assert!((plan.ranks[1].admitted_fraction() - 0.25).abs() < 1e-6);
    /// ```
    pub fn admitted_fraction(&self) -> f64 {
        fraction(self.admitted_slots, self.offered_slots)
    }
}

/// Offered and admitted load of one workspace at a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WorkspacePlan {
    /// The workspace.
    pub workspace: WorkspaceKey,
    /// Offered load in slots.
    pub offered_slots: f64,
    /// Admitted load in slots.
    pub admitted_slots: f64,
    /// Share of the workspace in slots.
    pub share_slots: f64,
    /// Part of the offered load that counts for the average load, where it exceeds the share.
    averaged_slots: f64,
    /// Whether the workspace offers more than its share.
    pub exceeds_share: bool,
}

impl WorkspacePlan {
    /// Returns the admitted fraction of the offered load.
    ///
    /// ```
    /// # use teaselworks_policy::shares::{OfferedRow, RankLoad, WorkspaceKey, plan};
    /// # let ranks = [0, 1].map(|rank| RankLoad { rank, new: 80.0, returning: 0.0 }).to_vec();
    /// # let workspace = WorkspaceKey::of("search");
    /// let plan = plan(100.0, &[OfferedRow { workspace, usual: 20.0, ranks }]);
    /// assert!((plan.workspaces[0].admitted_fraction() - 0.625).abs() < 1e-6);
    /// ```
    pub fn admitted_fraction(&self) -> f64 {
        fraction(self.admitted_slots, self.offered_slots)
    }
}

/// Division of the slots of an overloaded service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Plan {
    /// The capacity that is divided.
    pub capacity_slots: f64,
    /// Ranks with offered load, the most urgent first.
    pub ranks: Vec<RankPlan>,
    /// Workspaces, sorted by key.
    pub workspaces: Vec<WorkspacePlan>,
    /// Decision by workspace and rank, sorted.
    classes: Vec<((WorkspaceKey, u8), ClassPlan)>,
}

impl Plan {
    /// Returns the decision on a class that is in the offered load.
    ///
    /// ```
    /// # use teaselworks_policy::shares::{OfferedRow, RankLoad, WorkspaceKey, plan};
    /// # let ranks = [0, 1].map(|rank| RankLoad { rank, new: 80.0, returning: 0.0 }).to_vec();
    /// # let workspace = WorkspaceKey::of("search");
    /// let plan = plan(100.0, &[OfferedRow { workspace, usual: 20.0, ranks }]);
    /// assert!(plan.class(workspace, 0).is_some() && plan.class(workspace, 2).is_none());
    /// ```
    pub fn class(&self, workspace: WorkspaceKey, rank: u8) -> Option<&ClassPlan> {
        let index = self.classes.binary_search_by_key(&(workspace, rank), |(key, _)| *key).ok()?;
        Some(&self.classes[index].1)
    }

    /// Returns the decision on a class that is not in the offered load: it is within the share of
    /// its workspace, and is treated as its rank, or as the next more urgent one if the rank has no
    /// load either.
    ///
    /// ```
    /// # use teaselworks_policy::shares::{OfferedRow, RankLoad, WorkspaceKey, plan};
    /// # let ranks = [0, 1].map(|rank| RankLoad { rank, new: 80.0, returning: 0.0 }).to_vec();
    /// # let workspace = WorkspaceKey::of("search");
    /// let plan = plan(100.0, &[OfferedRow { workspace, usual: 20.0, ranks }]);
    /// assert!((plan.class_without_load(2).new - 0.25).abs() < 1e-6);
    /// ```
    pub fn class_without_load(&self, rank: u8) -> ClassPlan {
        let next = self.ranks.partition_point(|known| known.rank <= rank);
        let admitted = self.ranks[..next].last().map_or(1.0, |known| known.within_share);
        ClassPlan {
            new: admitted,
            returning: admitted,
            is_marginal: admitted < 1.0,
            is_beyond_share: false,
            has_more_urgent: self.ranks.first().is_some_and(|first| first.rank < rank),
            ahead_share: self.ahead_share(next),
        }
    }

    /// Returns the part of a workspace's offered load that counts for its average load; 1 if it is
    /// within its share.
    ///
    /// ```
    /// # use teaselworks_policy::shares::{OfferedRow, RankLoad, WorkspaceKey, plan};
    /// # let ranks = [0, 1].map(|rank| RankLoad { rank, new: 80.0, returning: 0.0 }).to_vec();
    /// # let workspace = WorkspaceKey::of("search");
    /// let plan = plan(100.0, &[OfferedRow { workspace, usual: 20.0, ranks }]);
    /// assert_eq!(plan.averaged_part(workspace), 1.0);
    /// ```
    pub fn averaged_part(&self, workspace: WorkspaceKey) -> f64 {
        let index = self.workspaces.binary_search_by_key(&workspace, |row| row.workspace);
        let exceeding = index.map(|index| &self.workspaces[index]).ok();
        let exceeding = exceeding.filter(|row| row.exceeds_share);
        exceeding.map_or(1.0, |row| fraction(row.averaged_slots, row.offered_slots))
    }

    /// Returns the admitted load of returning callers of a rank per admitted load of new ones.
    pub fn returning_per_new(&self, rank: u8) -> f64 {
        let index = self.ranks.binary_search_by_key(&rank, |known| known.rank);
        index.map_or(RETURNING_PER_NEW, |index| self.ranks[index].returning_per_new)
    }

    /// Returns whether a workspace has a row of its own.
    pub fn has_workspace(&self, workspace: WorkspaceKey) -> bool {
        self.workspaces.binary_search_by_key(&workspace, |row| row.workspace).is_ok()
    }

    /// Returns the part of the admitted load that the first `ranks` ranks have.
    fn ahead_share(&self, ranks: usize) -> f64 {
        let sum = |ranks: &[RankPlan]| ranks.iter().map(|rank| rank.admitted_slots).sum::<f64>();
        fraction(sum(&self.ranks[..ranks]), sum(&self.ranks))
    }
}

/// Returns whether a service is overloaded; `was_overloaded` is the latest result.
///
/// ```
/// use teaselworks_policy::shares::is_overloaded;
///
/// assert!(is_overloaded(91.0, 100.0, false));
/// assert!(is_overloaded(81.0, 100.0, true) && !is_overloaded(81.0, 100.0, false));
/// ```
pub fn is_overloaded(offered_slots: f64, capacity_slots: f64, was_overloaded: bool) -> bool {
    let threshold = if was_overloaded { OVERLOAD_ENDS } else { OVERLOAD_BEGINS };
    offered_slots > threshold * capacity_slots
}

/// Offered load of one class, divided into the layers that get capacity one after the other.
struct ClassLoad {
    workspace: usize,
    rank: usize,
    load: RankLoad,
    /// Load within the share of the workspace, beyond it, and load of returning callers beyond
    /// [`RETURNING_SHARE`]. The last gets only what no one else requests.
    layers: [f64; 3],
    admitted: [f64; 3],
}

impl ClassLoad {
    /// Returns the admitted load of returning callers.
    fn admitted_returning(&self) -> f64 {
        let [within, excess, late] = self.admitted;
        late + self.load.returning.min(RETURNING_SHARE * (within + excess))
    }
}

/// Divides the capacity of an overloaded service. `rows` must have one row for each workspace, with
/// one entry for each rank.
///
/// Load within the shares of workspaces comes first, by rank, then load beyond them, by rank, and
/// last what returning callers offer beyond their part. Each rank keeps a floor.
///
/// ```
/// use teaselworks_policy::shares::{OfferedRow, RankLoad, WorkspaceKey, plan};
///
/// let ranks = [0, 1].map(|rank| RankLoad { rank, new: 80.0, returning: 0.0 }).to_vec();
/// let workspace = WorkspaceKey::of("search");
/// let plan = plan(100.0, &[OfferedRow { workspace, usual: 20.0, ranks }]);
/// assert!((plan.class(workspace, 0).unwrap().new - 1.0).abs() < 1e-6);
/// assert!((plan.class(workspace, 1).unwrap().new - 0.25).abs() < 1e-6);
/// ```
pub fn plan(capacity_slots: f64, rows: &[OfferedRow]) -> Plan {
    let capacity_slots = capacity_slots.max(0.0);
    // In one order, so that routers that get the rows in different ones make the same plan.
    let mut rows = rows.to_vec();
    rows.sort_by_key(|row| row.workspace);
    for row in &mut rows {
        row.ranks.sort_by_key(|load| load.rank);
    }
    let mut ranks: Vec<u8> = rows.iter().flat_map(|row| &row.ranks).map(|load| load.rank).collect();
    ranks.sort_unstable();
    ranks.dedup();

    let equal_part = capacity_slots / rows.len().max(1) as f64;
    let growth = common_growth(&rows, equal_part);
    let headroom = headroom(capacity_slots, &rows, equal_part, growth);
    // With less headroom, less of an excess counts for the average, and with the least none.
    let spare = (headroom - MIN_HEADROOM) / (MAX_HEADROOM - MIN_HEADROOM);
    let averaged = 1.0 + spare * (MAX_HEADROOM - 1.0);
    let mut workspaces: Vec<WorkspacePlan> = Vec::with_capacity(rows.len());
    let mut classes: Vec<ClassLoad> = Vec::new();
    for (index, row) in rows.iter().enumerate() {
        let share_slots = equal_part.max(headroom * growth * row.usual);
        let averaged_slots = equal_part.max(averaged * growth * row.usual);
        let first = classes.len();
        push_classes(&mut classes, index, row, &ranks, share_slots);
        let exceeds_share = classes[first..].iter().any(|class| class.layers[1] > 0.0);
        let offered_slots = row.offered_slots();
        let workspace = row.workspace;
        workspaces.push(WorkspacePlan {
            workspace,
            offered_slots,
            admitted_slots: 0.0,
            share_slots,
            averaged_slots,
            exceeds_share,
        });
    }
    let weights: Vec<f64> = rows
        .iter()
        .map(|row| row.usual.max(MIN_WEIGHT * equal_part).max(f64::MIN_POSITIVE))
        .collect();
    let by_rank = admit_layers(capacity_slots, ranks.len(), &mut classes, &weights);
    summarize(capacity_slots, &ranks, &by_rank, workspaces, &classes)
}

/// Returns the growth of the half of the workspaces that have grown least: their offered load
/// divided by their average load, at least 1.
///
/// The median itself is too large where nearly half of the workspaces have grown much: it is then
/// one of the largest of the others, most of which is the noise of small workspaces. In one replay
/// it was 1.8 with 10 of 24 workspaces at ten times their load and the others at their average.
fn common_growth(rows: &[OfferedRow], equal_part: f64) -> f64 {
    let loads = |row: &OfferedRow| (counted_slots(row), row.usual);
    let has_history = |row: &&OfferedRow| row.usual > MIN_GROWTH_BASE * equal_part;
    let mut loads: Vec<(f64, f64)> = rows.iter().filter(has_history).map(loads).collect();
    loads.sort_by(|a, b| (a.0 / a.1).total_cmp(&(b.0 / b.1)));
    loads.truncate(loads.len().div_ceil(2));
    let (offered, usual) = loads
        .into_iter()
        .fold((0.0, 0.0), |sum, (offered, usual)| (sum.0 + offered, sum.1 + usual));
    if usual > 0.0 { (offered / usual).max(1.0) } else { 1.0 }
}

/// Returns the headroom with which the load within shares fits into the capacity.
///
/// Shares that do not fit take from each other by rank, so that a workspace beyond its average takes
/// from the less urgent ranks of those that are not.
fn headroom(capacity_slots: f64, rows: &[OfferedRow], equal_part: f64, growth: f64) -> f64 {
    let fits = |headroom: f64| {
        let within = |row: &OfferedRow| {
            counted_slots(row).min(equal_part.max(headroom * growth * row.usual))
        };
        rows.iter().map(within).sum::<f64>() <= capacity_slots
    };
    if fits(MAX_HEADROOM) {
        return MAX_HEADROOM;
    }
    let (mut low, mut high) = (MIN_HEADROOM, MAX_HEADROOM);
    for _ in 0..HEADROOM_STEPS {
        let middle = (low + high) / 2.0;
        if fits(middle) {
            low = middle;
        } else {
            high = middle;
        }
    }
    low
}

/// Returns the load of a workspace that counts.
fn counted_slots(row: &OfferedRow) -> f64 {
    row.ranks.iter().map(|load| load.new + counted_returning(load)).sum()
}

/// Returns the load of returning callers that counts as load of their class.
fn counted_returning(load: &RankLoad) -> f64 {
    load.returning.min(load.new * RETURNING_PER_NEW)
}

/// Adds the classes of one workspace, divided into layers.
fn push_classes(
    classes: &mut Vec<ClassLoad>,
    workspace: usize,
    row: &OfferedRow,
    ranks: &[u8],
    share_slots: f64,
) {
    let counted: Vec<f64> =
        row.ranks.iter().map(|load| load.new + counted_returning(load)).collect();
    // Ranks keep a floor within the share too, so that urgent requests of the workspace leave
    // something to its others.
    let within = rank_amounts(share_slots, &vec![0.0; counted.len()], &counted);
    for ((load, counted), within) in row.ranks.iter().zip(counted).zip(within) {
        let late = load.returning - counted_returning(load);
        let excess = counted - within;
        let rank = ranks.partition_point(|rank| *rank < load.rank);
        let layers = [within, excess, late];
        classes.push(ClassLoad { workspace, rank, load: *load, layers, admitted: [0.0; 3] });
    }
}

/// Load within shares by rank, and the admitted part of it.
#[derive(Clone, Copy, Default)]
struct WithinShare {
    offered: f64,
    admitted: f64,
}

/// Gives the capacity to the layers in turn. Returns the load within shares by rank.
fn admit_layers(
    capacity_slots: f64,
    rank_count: usize,
    classes: &mut [ClassLoad],
    weights: &[f64],
) -> Vec<WithinShare> {
    let mut by_rank: Vec<Vec<usize>> = vec![Vec::new(); rank_count];
    for (index, class) in classes.iter().enumerate() {
        by_rank[class.rank].push(index);
    }
    let mut offered = vec![0.0; rank_count];
    let mut admitted = vec![0.0; rank_count];
    let mut within_share = vec![WithinShare::default(); rank_count];
    for layer in 0..3 {
        for class in &*classes {
            offered[class.rank] += class.layers[layer];
        }
        let next = rank_amounts(capacity_slots, &admitted, &offered);
        for (rank, members) in by_rank.iter().enumerate() {
            let loads: Vec<(f64, f64)> = members
                .iter()
                .map(|index| &classes[*index])
                .map(|class| (class.layers[layer], weights[class.workspace]))
                .collect();
            let parts = max_min(next[rank] - admitted[rank], &loads);
            for (index, part) in members.iter().zip(parts) {
                classes[*index].admitted[layer] = part;
            }
        }
        admitted = next;
        if layer == 0 {
            for (rank, within) in within_share.iter_mut().enumerate() {
                *within = WithinShare { offered: offered[rank], admitted: admitted[rank] };
            }
        }
    }
    within_share
}

/// Creates the plan from what each class gets.
fn summarize(
    capacity_slots: f64,
    ranks: &[u8],
    within_share: &[WithinShare],
    mut workspaces: Vec<WorkspacePlan>,
    classes: &[ClassLoad],
) -> Plan {
    let mut rank_plans: Vec<RankPlan> = Vec::with_capacity(ranks.len());
    for (rank, within) in ranks.iter().zip(within_share) {
        let within_share = fraction(within.admitted, within.offered);
        rank_plans.push(RankPlan {
            rank: *rank,
            offered_slots: 0.0,
            admitted_slots: 0.0,
            returning_per_new: RETURNING_PER_NEW,
            within_share,
        });
    }
    let mut returning_by_rank = vec![0.0; ranks.len()];
    for class in classes {
        let admitted: f64 = class.admitted.iter().sum();
        returning_by_rank[class.rank] += class.admitted_returning();
        rank_plans[class.rank].offered_slots += class.load.new + class.load.returning;
        rank_plans[class.rank].admitted_slots += admitted;
        workspaces[class.workspace].admitted_slots += admitted;
    }
    for (rank, returning) in rank_plans.iter_mut().zip(returning_by_rank) {
        let new = (rank.admitted_slots - returning).max(f64::MIN_POSITIVE);
        rank.returning_per_new = RETURNING_PER_NEW.max(returning / new);
    }
    let mut plan = Plan { capacity_slots, ranks: rank_plans, workspaces, classes: Vec::new() };
    for class in classes {
        let ClassLoad { load, layers, admitted, .. } = class;
        let returning = class.admitted_returning();
        let new = admitted.iter().sum::<f64>() - returning;
        // Without load of new callers, they are treated as those of the rank.
        let rank_fraction = plan.ranks[class.rank].within_share;
        let new = if load.new > 0.0 { fraction(new, load.new) } else { rank_fraction };
        // The first returning caller is ahead of new ones, if any of them is admitted.
        let returning = if load.returning > 0.0 {
            fraction(returning, load.returning)
        } else {
            f64::from(u8::from(new > 0.0))
        };
        let urgent = &plan.ranks[..class.rank];
        let decision = ClassPlan {
            new,
            returning,
            is_marginal: new < 1.0,
            is_beyond_share: layers[1] - admitted[1] > layers[0] - admitted[0],
            has_more_urgent: urgent.iter().any(|rank| rank.offered_slots > 0.0),
            ahead_share: plan.ahead_share(class.rank + 1),
        };
        let workspace = plan.workspaces[class.workspace].workspace;
        plan.classes.push(((workspace, load.rank), decision));
    }
    plan
}

/// Returns a part as a fraction of the whole; 1 where the whole is nothing or rounding alone makes
/// the difference.
fn fraction(part: f64, whole: f64) -> f64 {
    if part >= whole * (1.0 - ROUNDING_TOLERANCE) { 1.0 } else { part.max(0.0) / whole }
}
