//! Seeded requests of the two deployments: who asks what, when, and through which router.

use std::time::Duration;

use rand::{Rng, RngExt};
use rand_pcg::Pcg64Mcg;
use teaselworks_policy::name::Name;
use teaselworks_policy::placement::{ChatKey, PrefixBlock};

/// What happens to the fleet while requests arrive.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Workload {
    /// Nothing changes.
    Steady,
    /// Five engines in a hundred change each minute: planned leaves, flaps and crashes in turn.
    Churn,
    /// The three smallest workspaces start ten times as many chats for a while.
    Surge,
    /// Half of the routers take the other half for lost for a while; two routers are replaced.
    Split,
    /// Engines hold a fifth of the tokens, so that most of what returns late was dropped.
    Evict,
    /// Five engines in a hundred leave on purpose each minute.
    Leave,
}

impl Workload {
    /// Every workload with its name in the rows.
    pub const ALL: [(Workload, &'static str); 6] = [
        (Workload::Steady, "steady"),
        (Workload::Churn, "churn"),
        (Workload::Surge, "surge"),
        (Workload::Split, "split"),
        (Workload::Evict, "evict"),
        (Workload::Leave, "leave"),
    ];
}

/// Sizes of one run.
#[derive(Clone, Debug)]
pub struct Scale {
    /// Region and availability zone of each place, over which routers and engines are spread.
    pub(super) places: Vec<(&'static str, &'static str)>,
    /// Routers.
    pub routers: usize,
    /// Engines.
    pub engines: usize,
    /// Models, each served by an equal share of the engines.
    pub(super) models: usize,
    /// Workspaces; the share of each falls with its rank to the power of `-zipf`.
    pub(super) workspaces: usize,
    zipf: f64,
    /// Requests a second for each engine, if every chat came to its end.
    requests_per_engine_s: f64,
    /// Time before anything is measured.
    pub(super) warmup: Duration,
    pub(super) end: Duration,
    kinds: [Kind; 3],
}

/// One sort of chat: share, mean turns, median tokens and pause.
#[derive(Clone, Copy, Debug)]
struct Kind {
    share: f64,
    turns: f64,
    question_tokens: f64,
    answer_tokens: f64,
    pause_s: f64,
}

const fn kind(share: f64, turns: f64, question: f64, answer: f64, pause_s: f64) -> Kind {
    Kind { share, turns, question_tokens: question, answer_tokens: answer, pause_s }
}

/// Commentaries, glosses, tags.
const ARCHIVE: [Kind; 3] = [
    kind(0.15, 4.0, 400.0, 900.0, 150.0),
    kind(0.60, 5.0, 60.0, 90.0, 60.0),
    kind(0.25, 1.2, 300.0, 30.0, 20.0),
];
/// Quotes, contracts, confirmations.
const KHAIMA: [Kind; 3] = [
    kind(0.50, 5.0, 80.0, 180.0, 120.0),
    kind(0.15, 3.0, 600.0, 800.0, 200.0),
    kind(0.35, 2.0, 50.0, 60.0, 30.0),
];

impl Scale {
    /// Returns today's size of a deployment; `None` for an unknown name.
    pub fn today(deployment: &str) -> Option<Self> {
        let (zones, kinds): (&[_], _) = match deployment {
            "archive" => (&["dvorana-a", "dvorana-b", "dvorana-c", "dvorana-d"], ARCHIVE),
            "khaima" => (&["sfax-a", "sfax-b", "sfax-c"], KHAIMA),
            _ => return None,
        };
        Some(Self {
            places: zones.iter().map(|zone| ("home", *zone)).collect(),
            routers: 8,
            engines: 18,
            models: 1,
            workspaces: 10,
            zipf: 1.5,
            requests_per_engine_s: 12.0,
            warmup: Duration::from_secs(180),
            end: Duration::from_secs(600),
            kinds,
        })
    }

    /// Returns a part of the letter's size, from 0 to 1, for a short while.
    pub fn letter(deployment: &str, part: f64) -> Option<Self> {
        let zones = ["east-a", "east-b", "east-c", "east-d", "west-a", "west-b", "west-c"];
        Some(Self {
            places: zones.iter().map(|zone| (&zone[..4], *zone)).collect(),
            routers: (410.0 * part) as usize,
            engines: (800.0 * part) as usize,
            models: 4,
            workspaces: (18_000.0 * part) as usize,
            zipf: 1.0,
            requests_per_engine_s: 16.0,
            warmup: Duration::from_secs(120),
            end: Duration::from_secs(150),
            ..Self::today(deployment)?
        })
    }

    /// Tells whether `now` is within the surge or split.
    pub(super) fn is_disturbed(&self, now: Duration) -> bool {
        let measured = self.end - self.warmup;
        now >= self.warmup + measured / 4 && now < self.warmup + measured * 3 / 5
    }
}

/// How the caller names its chat: by conversation and affinity token, by conversation, or only by
/// its messages.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Caller {
    Token,
    Named,
    Bare,
}

/// One request of a run, the same whatever the design.
#[derive(Clone, Debug)]
pub struct Request {
    pub(super) at: Duration,
    pub(super) chat: u32,
    pub(super) workspace: Name,
    pub(super) model: usize,
    /// Router that the balancer picked.
    pub(super) entry: usize,
    pub(super) caller: Caller,
    pub(super) key: ChatKey,
    /// Prefixes of the prompt, the whole prompt last.
    pub(super) chain: Vec<PrefixBlock>,
    pub(super) prompt_tokens: u32,
    /// Length that the router expects of the answer.
    pub(super) expected_tokens: u32,
    /// Length that the answer will have.
    pub(super) answer_tokens: u32,
    /// The prompt with the answer, which the next turn begins with.
    pub(super) answered: PrefixBlock,
    pub(super) draw: u64,
}

/// Generates every request of a run, in order of arrival.
pub fn generate(scale: &Scale, workload: Workload, seed: u64) -> Vec<Request> {
    let mut random = Pcg64Mcg::new((u128::from(seed) << 1) | 1);
    let mut shares = vec![0.0];
    for rank in 1..=scale.workspaces {
        shares.push(shares[rank - 1] + (rank as f64).powf(-scale.zipf));
    }
    let total = shares[scale.workspaces];
    let surging_from = shares[scale.workspaces.saturating_sub(3)];
    let turns: f64 = scale.kinds.iter().map(|kind| kind.share * kind.turns).sum();
    let chats_per_s = scale.requests_per_engine_s * scale.engines as f64 / turns;
    let (mut requests, mut chat, mut now) = (Vec::new(), 0, 0.0);
    while now < scale.end.as_secs_f64() {
        let surges = workload == Workload::Surge;
        let surges = surges && scale.is_disturbed(Duration::from_secs_f64(now));
        let more = if surges { 9.0 * (total - surging_from) } else { 0.0 };
        let drawn = random.random::<f64>() * (total + more);
        let drawn = if drawn < total { drawn } else { surging_from + (drawn - total) / 9.0 };
        let workspace = shares.partition_point(|share| *share <= drawn) as u32;
        generate_chat(scale, &mut random, chat, workspace, now, &mut requests);
        chat += 1;
        now += -random.random::<f64>().ln() * total / (chats_per_s * (total + more));
    }
    requests.sort_by_key(|request| request.at);
    requests
}

fn generate_chat(
    scale: &Scale,
    random: &mut Pcg64Mcg,
    chat: u32,
    workspace: u32,
    start_s: f64,
    requests: &mut Vec<Request>,
) {
    let drawn = random.random::<f64>();
    let [first, second, third] = &scale.kinds;
    let kind = match drawn {
        drawn if drawn < first.share => first,
        drawn if drawn < first.share + second.share => second,
        _ => third,
    };
    let caller = match random.random_range(0..10) {
        0..4 => Caller::Token,
        4..8 => Caller::Named,
        _ => Caller::Bare,
    };
    let place = random.random_range(0..scale.places.len());
    let name: Name = format!("workspace-{workspace}").into();
    let shared_tokens = 300 + 200 * (workspace % 7);
    let mut chain = vec![PrefixBlock { hash: u64::from(workspace), tokens: shared_tokens }];
    let (mut now, mut opening) = (start_s, None);
    loop {
        // Every twentieth turn changes the last question, so that its prompt forks.
        if chain.len() > 3 && random.random_bool(0.05) {
            chain.truncate(chain.len() - 2);
        }
        extend(&mut chain, random, kind.question_tokens, 0.6);
        let opening = *opening.get_or_insert(chain[1].hash);
        let prompt = chain.clone();
        let answer_tokens = extend(&mut chain, random, kind.answer_tokens, 0.5);
        requests.push(Request {
            at: Duration::from_secs_f64(now),
            chat,
            workspace: name.clone(),
            model: workspace as usize % scale.models,
            entry: entry_near(scale, random, place),
            caller,
            key: match caller {
                Caller::Bare => ChatKey::of_chain("w", &[0, opening]),
                Caller::Token | Caller::Named => ChatKey::of_conversation("w", &chat.to_string()),
            },
            prompt_tokens: prompt[prompt.len() - 1].tokens,
            chain: prompt,
            expected_tokens: (kind.answer_tokens * 1.13) as u32,
            answer_tokens,
            answered: chain[chain.len() - 1],
            draw: random.next_u64(),
        });
        now += f64::from(answer_tokens) * 0.04 + lognormal(random, kind.pause_s, 1.0);
        if now >= scale.end.as_secs_f64() || random.random_bool(1.0 / kind.turns) {
            return;
        }
    }
}

/// Draws the router that a balancer in the region of `place` picks.
fn entry_near(scale: &Scale, random: &mut Pcg64Mcg, place: usize) -> usize {
    loop {
        let router = random.random_range(0..scale.routers);
        if scale.places[router % scale.places.len()].0 == scale.places[place].0 {
            return router;
        }
    }
}

fn extend(chain: &mut Vec<PrefixBlock>, random: &mut Pcg64Mcg, median: f64, sigma: f64) -> u32 {
    let tokens = lognormal(random, median, sigma).max(1.0) as u32;
    let before = chain.last().map_or(0, |block| block.tokens);
    chain.push(PrefixBlock { hash: random.next_u64(), tokens: before + tokens });
    tokens
}

fn lognormal(random: &mut Pcg64Mcg, median: f64, sigma: f64) -> f64 {
    let radius = (-2.0 * random.random::<f64>().max(1e-12).ln()).sqrt();
    let normal = radius * (std::f64::consts::TAU * random.random::<f64>()).cos();
    median * (sigma * normal).exp()
}
