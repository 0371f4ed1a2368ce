//! Faults drawn from a seed, each with its begin and end.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use teaselworks_standin::fleet::Fleet;
use teaselworks_standin::platform::LostAnswer;

/// Time in which faults begin.
const FAULTS_TIME: Duration = Duration::from_secs(10);
/// Faults that begin in that time; several are in force at any moment.
const FAULTS: usize = 24;
/// Shortest time that a fault is in force, in milliseconds.
const SHORTEST_MS: u64 = 100;
/// Longest time that a fault is in force, in milliseconds; longer than a router takes to be given
/// up.
const LONGEST_MS: u64 = 3_500;

/// One fault; the number names a router, an engine or a replica of the service.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    /// A router is killed; it starts again in the end.
    RouterKilled(usize),
    /// A router stands still.
    RouterFrozen(usize),
    /// Links to a router stay open and carry nothing.
    LinksFrozen(usize),
    /// Links to a router are cut and opened again.
    LinksCut(usize),
    /// Links to a router carry nothing towards it, and everything from it.
    LinksHalfOpen(usize),
    /// The platform answers errors.
    PlatformDown,
    /// The platform takes effect late and answers later.
    PlatformSlow,
    /// Writes at the platform take effect and their answers get lost.
    AnswersLost(LostAnswer),
    /// One router cannot reach the platform.
    PlatformCut(usize),
    /// An engine crashes; it starts again, empty, in the end.
    EngineCrashed(usize),
    /// An engine stands still.
    EngineStalled(usize),
    /// An engine breaks answers off, and answers others late.
    EngineBreaks(usize),
    /// An engine answers with another chat's answer.
    EngineCrosses(usize),
    /// An engine fails or refuses chats.
    EngineFails(usize),
    /// The connections to an engine are cut.
    EngineCut(usize),
    /// A replica of the service executes calls and their answers get lost.
    ServiceLosesAnswers(usize),
    /// A replica of the service is slow and fails after execution.
    ServiceSlow(usize),
}

impl Fault {
    /// Tells whether it keeps a router from reading the platform.
    pub fn hides_platform(self, router: usize) -> bool {
        match self {
            Fault::PlatformDown | Fault::PlatformSlow => true,
            Fault::PlatformCut(cut) => cut == router,
            _ => false,
        }
    }
}

/// A fault with its time.
#[derive(Clone, Copy, Debug)]
pub struct Step {
    /// Begin, from the first one's reference.
    pub begin: Duration,
    /// End, from the same reference.
    pub end: Duration,
    /// What fails.
    pub fault: Fault,
}

/// Draws the faults of a seed, in the order of their begin.
pub fn draw(seed: u64, routers: usize, engines: usize, services: usize) -> Vec<Step> {
    let mut rng = Pcg64::seed_from_u64(seed);
    let mut steps = Vec::new();
    for _ in 0..FAULTS {
        let begin = rng.random_range(Duration::ZERO..FAULTS_TIME);
        let lasts = Duration::from_millis(rng.random_range(SHORTEST_MS..LONGEST_MS));
        let router = rng.random_range(0..routers);
        let engine = rng.random_range(0..engines);
        let service = rng.random_range(0..services);
        let fault = match rng.random_range(0..17) {
            0 => Fault::RouterKilled(router),
            1 => Fault::RouterFrozen(router),
            2 => Fault::LinksFrozen(router),
            3 => Fault::LinksCut(router),
            4 => Fault::LinksHalfOpen(router),
            5 => Fault::PlatformDown,
            6 => Fault::PlatformSlow,
            7 => Fault::AnswersLost(LostAnswer::Cut),
            8 => Fault::AnswersLost(LostAnswer::Silence),
            9 => Fault::PlatformCut(router),
            10 => Fault::EngineCrashed(engine),
            11 => Fault::EngineStalled(engine),
            12 => Fault::EngineBreaks(engine),
            13 => Fault::EngineCrosses(engine),
            14 => Fault::EngineFails(engine),
            15 => Fault::ServiceLosesAnswers(service),
            _ => [Fault::EngineCut(engine), Fault::ServiceSlow(service)][router % 2],
        };
        steps.push(Step { begin, end: begin + lasts, fault });
    }
    steps.sort_by_key(|step| step.begin);
    steps
}

/// Lets a fault begin.
pub fn begin(fleet: &mut Fleet, fault: Fault) {
    match fault {
        Fault::RouterKilled(router) => fleet.routers[router].kill(),
        Fault::RouterFrozen(router) => fleet.routers[router].freeze(),
        Fault::LinksFrozen(router) => fleet.link_proxies[router].set_frozen(true),
        Fault::LinksCut(router) => fleet.link_proxies[router].cut(),
        Fault::LinksHalfOpen(router) => {
            fleet.link_proxies[router].set_faults(|faults| faults.forward.frozen = true);
        }
        Fault::PlatformDown => fleet.platform.set_faults(|faults| faults.unavailable = true),
        Fault::PlatformSlow => fleet.platform.set_faults(|faults| {
            (faults.delay_before_ms, faults.delay_ms) = (300, 300);
        }),
        Fault::AnswersLost(lost_answer) => fleet.platform.set_faults(|faults| {
            (faults.lose_answers, faults.lost_answer) = (4, lost_answer);
        }),
        Fault::PlatformCut(router) => fleet.platform_proxies[router].set_frozen(true),
        Fault::EngineCrashed(engine) => fleet.engines[engine].crash(),
        Fault::EngineStalled(engine) => {
            fleet.engines[engine].set_faults(|faults| faults.stalled = true);
        }
        Fault::EngineBreaks(engine) => fleet.engines[engine].set_faults(|faults| {
            (faults.break_chats, faults.break_after_tokens, faults.late_ms) = (4, 7, 100);
        }),
        Fault::EngineCrosses(engine) => fleet.engines[engine].set_faults(|faults| {
            (faults.cross_chats, faults.cross_after_tokens) = (4, 5);
        }),
        Fault::EngineFails(engine) => fleet.engines[engine].set_faults(|faults| {
            (faults.fail_chats, faults.refuse_chats) = (3, 3);
        }),
        Fault::EngineCut(engine) => fleet.engine_proxies[engine].cut(),
        Fault::ServiceLosesAnswers(service) => {
            fleet.services[service].set_faults(|faults| faults.lose_answers = 3);
        }
        Fault::ServiceSlow(service) => fleet.services[service].set_faults(|faults| {
            (faults.delay_ms, faults.fail_after) = (200, 2);
        }),
    }
}

/// Lets a fault end.
pub fn end(fleet: &mut Fleet, fault: Fault) {
    match fault {
        // Two kills may overlap: the router has then been started again already.
        Fault::RouterKilled(router) if fleet.routers[router].id().is_some() => {}
        Fault::RouterKilled(router) => fleet.routers[router].restart().unwrap(),
        Fault::RouterFrozen(router) => fleet.routers[router].thaw(),
        Fault::LinksFrozen(router) | Fault::LinksHalfOpen(router) => {
            fleet.link_proxies[router].set_frozen(false);
        }
        Fault::PlatformDown => fleet.platform.set_faults(|faults| faults.unavailable = false),
        Fault::PlatformSlow => fleet.platform.set_faults(|faults| {
            (faults.delay_before_ms, faults.delay_ms) = (0, 0);
        }),
        Fault::PlatformCut(router) => fleet.platform_proxies[router].set_frozen(false),
        Fault::EngineCrashed(engine) => fleet.engines[engine].restart().unwrap(),
        Fault::EngineStalled(engine) | Fault::EngineBreaks(engine) => {
            fleet.engines[engine]
                .set_faults(|faults| (faults.stalled, faults.late_ms) = (false, 0));
        }
        Fault::ServiceSlow(service) => {
            fleet.services[service].set_faults(|faults| faults.delay_ms = 0);
        }
        // They end by themselves, or are over as soon as they began.
        Fault::AnswersLost(_)
        | Fault::LinksCut(_)
        | Fault::EngineCrosses(_)
        | Fault::EngineFails(_)
        | Fault::EngineCut(_)
        | Fault::ServiceLosesAnswers(_) => {}
    }
}

/// Takes back what counted faults have not used up.
pub fn end_counted(fleet: &Fleet) {
    fleet.platform.set_faults(|faults| faults.lose_answers = 0);
    for engine in &fleet.engines {
        engine.set_faults(|faults| *faults = Default::default());
    }
    for service in &fleet.services {
        service.set_faults(|faults| *faults = Default::default());
    }
}
