//! Holds calls back: rate limits by purpose, and the circuit.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use rand::SeedableRng;
use rand_pcg::Pcg64;
use teaselworks_policy::clock::Clock;
use teaselworks_policy::platform::backoff::Backoff;
use teaselworks_policy::platform::budget::{CallBudget, CallPurpose};
use teaselworks_policy::platform::circuit::{Circuit, CircuitLimits};

use super::error::NotSent;
use crate::event;

const CIRCUIT: CircuitLimits = CircuitLimits {
    failures: 5,
    backoff: Backoff { first: Duration::from_millis(500), longest: Duration::from_secs(10) },
};

/// Decides when a call may leave.
pub struct Limiter {
    clock: Arc<dyn Clock>,
    state: Mutex<State>,
}

struct State {
    budget: CallBudget,
    circuit: Circuit,
    random: Pcg64,
}

impl Limiter {
    pub fn new(calls_per_s: f64, clock: Arc<dyn Clock>, seed: u64) -> Self {
        let budget = CallBudget::new(calls_per_s, clock.monotonic());
        let random = Pcg64::seed_from_u64(seed);
        let state = State { budget, circuit: Circuit::new(CIRCUIT), random };
        Self { clock, state: Mutex::new(state) }
    }

    /// Waits for the purpose's turn, at most `patience`.
    pub async fn admit(&self, purpose: CallPurpose, patience: Duration) -> Result<(), NotSent> {
        let end = self.clock.monotonic() + patience;
        loop {
            let wait = match self.try_admit(purpose)? {
                None => return Ok(()),
                Some(wait) => wait,
            };
            if self.clock.monotonic() + wait > end {
                return Err(NotSent::RateLimited { wait });
            }
            tokio::time::sleep(wait).await;
        }
    }

    fn try_admit(&self, purpose: CallPurpose) -> Result<Option<Duration>, NotSent> {
        let now = self.clock.monotonic();
        let mut state = self.state.lock().expect("limiter lock is never poisoned");
        let State { budget, circuit, random } = &mut *state;
        circuit.check(now).map_err(|wait| NotSent::CircuitOpen { wait })?;
        // The circuit is asked to let the call pass only once the budget has: the one call that it
        // lets through in its time must not be one that then waits.
        if let Err(wait) = budget.take(purpose, now) {
            return Ok(Some(wait));
        }
        circuit.admit(now, random).map_err(|wait| NotSent::CircuitOpen { wait })?;
        Ok(None)
    }

    pub fn calls_per_s(&self) -> f64 {
        self.state.lock().expect("limiter lock is never poisoned").budget.calls_per_s()
    }

    pub fn set_calls_per_s(&self, calls_per_s: f64) {
        let now = self.clock.monotonic();
        let mut state = self.state.lock().expect("limiter lock is never poisoned");
        state.budget.set_calls_per_s(calls_per_s, now);
    }

    pub fn succeeded(&self) {
        let mut state = self.state.lock().expect("limiter lock is never poisoned");
        if state.circuit.succeeded() {
            state.budget.drain(self.clock.monotonic());
            event::PLATFORM_AVAILABLE.log(format_args!("calls pass again"));
        }
    }

    pub fn failed(&self, detail: &str) {
        let now = self.clock.monotonic();
        let mut state = self.state.lock().expect("limiter lock is never poisoned");
        let State { circuit, random, .. } = &mut *state;
        if circuit.failed(now, random) {
            event::PLATFORM_UNAVAILABLE.log(format_args!("{detail}"));
        }
    }
}
