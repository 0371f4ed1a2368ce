//! Simulation of engines, callers and routers under a recorded load, without input or output.
//!
//! The simulated routers decide through the same functions of `teaselworks_policy` as the real
//! ones, so the model contains no second version of a decision. Equal loads and seeds give equal
//! results.
#![warn(clippy::disallowed_methods)]

mod caller;
mod crashes;
mod ended_requests;
mod engine;
mod load;
mod result;
mod retries;
mod router;
mod run;
mod stops;
mod streams;

pub use self::crashes::{CrashLoad, CrashOutcome, run_crashes};
pub use self::ended_requests::{
    EndedRequestLoad, EndedRequestOutcome, RouterFault, run_ended_requests,
};
pub use self::load::{
    ColdRestart, EngineSettings, Evacuation, Funnel, HotPart, Load, LoadError, Outage,
    PlacementMode, RequestKind, Surge,
};
pub use self::result::{EngineTotals, Outcome, RequestCounts};
pub use self::retries::{RetryBug, RetryFault, RetryLoad, RetryOutcome, run_retries};
pub use self::run::run;
pub use self::stops::{StopBug, StopLoad, StopOutcome, run_stops};
pub use self::streams::{StreamBug, StreamLoad, StreamOutcome, run_streams};
