//! No budget is overspent, through lost answers, killed routers, outages and changes of owner.

use std::collections::BTreeMap;
use std::time::Duration;

use proptest::prelude::*;
use teaselworks_policy::budget::{
    BudgetAsk, BudgetGrant, BudgetLimit, BudgetOutcome, BudgetPeriod, BudgetReading, BudgetStep,
    ReserveOutcome, Slices, Vault,
};
use teaselworks_policy::name::Name;
use teaselworks_policy::usage::Source;

const ROUTERS: usize = 3;
const LIMIT: BudgetLimit = BudgetLimit { tokens: 300_000, period_ms: 86_400_000 };

/// A request in progress.
struct Running {
    entry: usize,
    incarnation: u64,
    period: BudgetPeriod,
    estimate: u64,
}

struct Router {
    incarnation: u64,
    slices: Slices,
    vault: Vault,
    step: Option<BudgetStep>,
}

struct World {
    now: Duration,
    platform: BudgetReading,
    up: bool,
    routers: Vec<Router>,
    running: Vec<Running>,
    /// Tokens used and reserved by period, and by how much requests used more than reserved.
    spent: BTreeMap<BudgetPeriod, u64>,
    told_spent: bool,
}

fn vault(router: usize, incarnation: u64) -> Vault {
    Vault::new(Source { router: format!("router-{router}").into(), incarnation })
}

impl World {
    fn new() -> Self {
        let router = |index| Router {
            incarnation: 1,
            slices: Slices::default(),
            vault: vault(index, 1),
            step: None,
        };
        Self {
            now: Duration::from_secs(10),
            platform: BudgetReading::default(),
            up: true,
            routers: (0..ROUTERS).map(router).collect(),
            running: Vec::new(),
            spent: BTreeMap::new(),
            told_spent: false,
        }
    }

    fn wall_ms(&self) -> u64 {
        self.now.as_millis() as u64
    }

    /// Asks for room for a request; `fate` 1 loses the message, 2 its answer, 3 does not
    /// wait for the platform, 4 and 5 lose calls of it or their answers.
    fn request(&mut self, entry: usize, owner: usize, estimate: u64, fate: u8) -> bool {
        let workspace: Name = "wedding".into();
        for _ in 0..4 {
            let (now, wall_ms) = (self.now, self.wall_ms());
            let slices = &mut self.routers[entry].slices;
            match slices.reserve(&workspace, &LIMIT, estimate, now, wall_ms) {
                ReserveOutcome::Reserved(period) => {
                    let incarnation = self.routers[entry].incarnation;
                    self.running.push(Running { entry, incarnation, period, estimate });
                    *self.spent.entry(period).or_default() += estimate;
                    return true;
                }
                ReserveOutcome::Spent => return false,
                ReserveOutcome::Ask(ask) if fate != 1 => {
                    self.ask(entry, owner, &ask, fate);
                }
                ReserveOutcome::Ask(_) => return false,
            }
        }
        false
    }

    fn ask(&mut self, entry: usize, owner: usize, ask: &BudgetAsk, fate: u8) {
        self.routers[owner].vault.receive(ask);
        let mut grant = self.routers[owner].vault.grant(ask, self.now);
        for _ in 0..3 {
            if grant.is_some() || fate == 3 {
                break;
            }
            self.now += Duration::from_millis(500);
            self.step(owner, false);
            let lost = fate.saturating_sub(3);
            self.platform_step(owner, if self.up { lost } else { 1 });
            grant = self.routers[owner].vault.grant(ask, self.now);
        }
        match grant {
            Some(BudgetGrant::Granted(tokens)) if fate != 2 => {
                self.routers[entry].slices.granted(ask, tokens);
            }
            Some(BudgetGrant::Spent) => self.routers[entry].slices.spent(ask, self.now),
            _ => {}
        }
        self.told_spent |= grant == Some(BudgetGrant::Spent);
    }

    fn step(&mut self, router: usize, gives_up: bool) {
        let (now, wall_ms) = (self.now, self.wall_ms());
        let Router { vault, step, .. } = &mut self.routers[router];
        if let Some(next) = vault.next_step(gives_up, now, wall_ms) {
            *step = Some(next);
        }
    }

    /// Runs a platform call; `fate` 1 loses it, 2 loses its answer.
    fn platform_step(&mut self, router: usize, fate: u8) {
        let now = self.now;
        let Some(step) = self.routers[router].step.take() else {
            return;
        };
        let vault = &mut self.routers[router].vault;
        match step {
            BudgetStep::Read => {
                vault.read_done((fate == 0).then(|| self.platform.clone()), now);
            }
            BudgetStep::Write(write) => {
                let mut outcome = BudgetOutcome::Conflict(self.platform.clone());
                if fate != 1 && write.expected_revision == self.platform.revision {
                    let revision = self.platform.revision + 1;
                    self.platform = BudgetReading { value: write.value, revision };
                    outcome = BudgetOutcome::Written(revision);
                }
                let lost = fate != 0;
                vault.write_done(if lost { BudgetOutcome::Unknown } else { outcome }, now);
            }
        }
    }

    /// Ends a request, which used `excess` tokens more than its estimate, or less.
    fn end(&mut self, position: usize, used: impl Fn(u64) -> u64) {
        if self.running.is_empty() {
            return;
        }
        let running = self.running.swap_remove(position % self.running.len());
        let used = used(running.estimate);
        let spent = self.spent.entry(running.period).or_default();
        *spent = *spent + used - running.estimate;
        let Router { slices, incarnation, .. } = &mut self.routers[running.entry];
        if *incarnation == running.incarnation {
            let workspace: Name = "wedding".into();
            slices.settle(&workspace, running.period, running.estimate, used, self.now);
        }
    }

    fn kill(&mut self, router: usize) {
        let state = &mut self.routers[router];
        state.incarnation += 1;
        state.slices = Slices::default();
        state.vault = vault(router, state.incarnation);
        state.step = None;
    }

    fn give_back(&mut self, entry: usize, owner: usize, fate: u8) {
        let (now, wall_ms) = (self.now, self.wall_ms());
        for ask in self.routers[entry].slices.give_back(fate == 3, now, wall_ms) {
            if fate != 1 {
                self.routers[owner].vault.receive(&ask);
            }
        }
    }

    fn act(&mut self, (kind, first, second, fate): (u8, u8, u8, u8)) {
        let (router, other) = (usize::from(first) % ROUTERS, usize::from(second) % ROUTERS);
        let fate = if fate < 150 { 0 } else { fate % 6 };
        match kind {
            0..130 => drop(self.request(router, other, 500 * (1 + u64::from(second) % 40), fate)),
            130..160 => self.end(usize::from(first), |estimate| estimate * u64::from(second) / 255),
            160..185 => self.step(router, fate == 3),
            185..220 => self.platform_step(router, fate % 3),
            220..230 => self.now += Duration::from_secs(u64::from(second)),
            230..243 => self.give_back(router, other, fate),
            243..250 => self.up = !self.up,
            _ => self.kill(router),
        }
        for (period, spent) in &self.spent {
            assert!(*spent <= LIMIT.tokens, "{spent} tokens of {} in {period:?}", LIMIT.tokens);
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(256))]

    // Symptom: a workspace uses more than its budget.
    // Sequence: writes of draws take effect and lose their answers, grants and tokens given back
    // get lost, two routers both grant, routers are killed, the platform is away, a period ends.
    // Cause: tokens that two parties believe to hold.
    #[test]
    fn no_history_overspends_a_budget(
        history in proptest::collection::vec(any::<(u8, u8, u8, u8)>(), 0..400),
    ) {
        let mut world = World::new();
        for action in history {
            world.act(action);
        }
    }
}

// Symptom: requests that use more than they reserved overspend a budget without limit.
// Sequence: four requests at a time, each using half as much again as its estimate, until the
// budget refuses.
// Cause: an excess that is not taken from what is left.
#[test]
fn the_worst_overspend_is_the_excess_of_the_requests_in_progress() {
    const IN_PROGRESS: u64 = 4;
    const ESTIMATE: u64 = 1_000;
    let mut world = World::new();
    let mut refusals = 0;
    while refusals < 20 {
        for request in 0..IN_PROGRESS {
            let accepted = world.request(request as usize % ROUTERS, 0, ESTIMATE, 0);
            refusals += u64::from(!accepted);
        }
        (0..IN_PROGRESS).for_each(|_| world.end(0, |estimate| estimate * 3 / 2));
        world.now += Duration::from_millis(1_500);
    }
    let spent: u64 = world.spent.values().sum();
    assert!(spent <= LIMIT.tokens + IN_PROGRESS * ESTIMATE / 2, "{spent}");
    assert!(spent >= LIMIT.tokens * 9 / 10, "{spent} tokens, much is left unused");
    assert!(world.told_spent);
}

/// Serves a steady chat for some minutes; returns the number of requests refused.
fn serve(world: &mut World, minutes: u64) -> u64 {
    let mut refused = 0;
    for second in 0..minutes * 60 {
        world.now += Duration::from_secs(1);
        refused += u64::from(!world.request(second as usize % 2, 2, 5, 0));
        world.end(0, |estimate| estimate);
        world.step(2, false);
        world.platform_step(2, u8::from(!world.up));
    }
    refused
}

// Symptom: a workspace with plenty of budget is refused because the platform is down, or the
// outage lets it use more than its budget.
// Sequence: an hour of steady requests; the platform is down for an hour, in the middle of which a
// period ends in one case; entries are killed.
// Cause: tokens drawn only when they are needed.
#[test]
fn an_hours_outage_neither_refuses_nor_overspends() {
    for until_the_next_period in [12, 2] {
        let mut world = World::new();
        world.now = Duration::from_secs(86_400 - until_the_next_period * 3_600 + 1_800);
        assert_eq!(serve(&mut world, 60), 0);
        world.up = false;
        assert_eq!(serve(&mut world, 30), 0);
        world.kill(0);
        assert_eq!(serve(&mut world, 28), 0, "{until_the_next_period} hours");
        // Beyond what was drawn ahead it is refused, as nobody can tell what is left.
        assert!(serve(&mut world, 600) > 0);
        world.up = true;
        world.now += Duration::from_secs(5);
        assert_eq!(serve(&mut world, 1), 0);
        assert!(world.spent.values().all(|spent| *spent <= LIMIT.tokens));
    }
}
