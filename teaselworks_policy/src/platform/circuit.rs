//! Stops calls to a service that fails, and lets one through at a time until it answers again.

use std::time::Duration;

use rand::Rng;

use super::backoff::Backoff;

/// When a circuit opens and how long it stays open.
#[derive(Clone, Copy, Debug)]
pub struct CircuitLimits {
    /// Failures in a row that open the circuit.
    pub failures: u32,
    /// Time between tries while it is open.
    pub backoff: Backoff,
}

/// State of a circuit: closed below the limit of failures in a row, open from it on.
#[derive(Clone, Debug)]
pub struct Circuit {
    limits: CircuitLimits,
    failures: u32,
    next_try: Duration,
}

impl Circuit {
    /// Makes a closed circuit.
    pub fn new(limits: CircuitLimits) -> Self {
        Self { limits, failures: 0, next_try: Duration::ZERO }
    }

    /// Tells whether calls are held back.
    pub fn is_open(&self) -> bool {
        self.failures >= self.limits.failures
    }

    /// Tells whether a call may pass now, or how long to wait.
    pub fn check(&self, now: Duration) -> Result<(), Duration> {
        if self.is_open() && now < self.next_try {
            return Err(self.next_try - now);
        }
        Ok(())
    }

    /// Lets a call pass, or returns how long to wait.
    ///
    /// While open, one call passes in each wait; it closes the circuit when it succeeds. A try that
    /// never reports back does no harm: the next one passes after the wait.
    pub fn admit(&mut self, now: Duration, random: &mut impl Rng) -> Result<(), Duration> {
        self.check(now)?;
        if self.is_open() {
            self.next_try = now + self.wait(random);
        }
        Ok(())
    }

    /// Notes an answer; returns true when that closed the circuit.
    pub fn succeeded(&mut self) -> bool {
        let closed = self.is_open();
        self.failures = 0;
        closed
    }

    /// Notes a failure; returns true when that opened the circuit.
    ///
    /// ```
    /// use std::time::Duration;
    /// use rand::SeedableRng;
    /// use teaselworks_policy::platform::backoff::Backoff;
    /// use teaselworks_policy::platform::circuit::{Circuit, CircuitLimits};
    ///
    /// let wait = Duration::from_secs(1);
    /// let backoff = Backoff { first: wait, longest: wait };
    /// let mut circuit = Circuit::new(CircuitLimits { failures: 1, backoff });
    /// let mut random = rand_pcg::Pcg64::seed_from_u64(1);
    /// assert!(circuit.failed(Duration::ZERO, &mut random));
    /// assert!(circuit.admit(Duration::ZERO, &mut random).is_err());
    /// assert!(circuit.admit(wait, &mut random).is_ok());
    /// assert!(circuit.succeeded());
    /// ```
    pub fn failed(&mut self, now: Duration, random: &mut impl Rng) -> bool {
        let was_open = self.is_open();
        self.failures = self.failures.saturating_add(1);
        if !self.is_open() {
            return false;
        }
        self.next_try = self.next_try.max(now + self.wait(random));
        !was_open
    }

    fn wait(&self, random: &mut impl Rng) -> Duration {
        let beyond = self.failures.saturating_sub(self.limits.failures) + 1;
        self.limits.backoff.wait(beyond, random)
    }
}
