//! The designs that are compared: published ones, the chosen one, and it less each of its parts.

use std::time::Duration;

/// Tokens a second that an engine exports at 10 Gbit/s with 128 KiB of cache a token.
const EXPORT_TOKENS_PER_S: f64 = 1.25e9 / 131_072.0;

/// How a design finds a replica.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Route {
    /// No replicas: one cache with the memory of all engines. No router reuses more.
    Pooled,
    /// Knows what every engine holds and carries at this moment, and keeps the bound.
    AllKnowing,
    /// The less loaded of two drawn replicas, by lagged reports.
    TwoChoices,
    /// The first of the chat's rendezvous order.
    Rendezvous,
    /// The first of the rendezvous order that lagged reports put within the bound.
    LocalBound,
    /// Search for the first candidate whose owner admits.
    Owners,
}

/// A part of the chosen design.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Part {
    /// Affinity tokens are followed.
    Token,
    /// Owners price work by what they believe the engine holds.
    Holdings,
    /// Owners send a chat on whose context they do not believe held.
    IfHeld,
    /// New work leaves room below the bound.
    Fresh,
    /// Owners correct work as answers stream.
    Progress,
    /// Owners use what other routers know of the mean.
    Merge,
    /// Owners price what was not used for long as gone, as the engine's figures teach.
    Age,
    /// New owners start with the reported load and a reduced bound.
    Handover,
}

/// Something added to the chosen design to see what it is worth.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Trial {
    /// Owners hear what engines drop, so late, with so many of 100 events lost.
    Events { late: Duration, lost_percent: u32 },
    /// Engines that leave on purpose export what likely returners need, so many tokens a second.
    Export { tokens_per_s: f64 },
}

/// One design.
#[derive(Clone, Copy, Debug)]
pub struct Design {
    /// Name in the rows.
    pub name: &'static str,
    pub(super) route: Route,
    /// Part of the chosen design that it lacks.
    pub(super) less: Option<Part>,
    /// What it has beside the chosen design.
    pub(super) trial: Option<Trial>,
}

impl Design {
    const fn new(name: &'static str, route: Route, less: Option<Part>) -> Self {
        Self { name, route, less, trial: None }
    }

    const fn with(name: &'static str, trial: Trial) -> Self {
        Self { name, route: Route::Owners, less: None, trial: Some(trial) }
    }

    const fn with_events(name: &'static str, late_ms: u64, lost_percent: u32) -> Self {
        Self::with(name, Trial::Events { late: Duration::from_millis(late_ms), lost_percent })
    }

    /// Tells whether the design has a part.
    pub(super) fn has(&self, part: Part) -> bool {
        self.less != Some(part)
    }
}

/// Every design; reuse is compared with the first.
pub const DESIGNS: [Design; 18] = [
    Design::new("pooled_cache", Route::Pooled, None),
    Design::new("all_knowing", Route::AllKnowing, None),
    Design::new("two_choices", Route::TwoChoices, None),
    Design::new("rendezvous", Route::Rendezvous, Some(Part::Token)),
    Design::new("local_bound", Route::LocalBound, Some(Part::Token)),
    Design::new("chosen", Route::Owners, None),
    Design::new("chosen_less_token", Route::Owners, Some(Part::Token)),
    Design::new("chosen_less_holdings", Route::Owners, Some(Part::Holdings)),
    Design::new("chosen_less_age", Route::Owners, Some(Part::Age)),
    Design::new("chosen_less_if_held", Route::Owners, Some(Part::IfHeld)),
    Design::new("chosen_less_fresh", Route::Owners, Some(Part::Fresh)),
    Design::new("chosen_less_progress", Route::Owners, Some(Part::Progress)),
    Design::new("chosen_less_merge", Route::Owners, Some(Part::Merge)),
    Design::new("chosen_less_handover", Route::Owners, Some(Part::Handover)),
    Design::with_events("with_events", 2_000, 2),
    Design::with_events("with_exact_events", 0, 0),
    Design::with("with_export", Trial::Export { tokens_per_s: EXPORT_TOKENS_PER_S }),
    Design::with("with_instant_export", Trial::Export { tokens_per_s: f64::INFINITY }),
];
