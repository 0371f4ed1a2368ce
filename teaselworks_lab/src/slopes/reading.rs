//! What a whole fleet of router processes has used and sent so far, and the difference of two
//! readings.

use std::time::{Duration, Instant};

use teaselworks_standin::fleet::Fleet;
use teaselworks_standin::platform::CallCounts;
use teaselworks_standin::router::{RouterProcess, sum_metric};
use teaselworks_wire::message::Purpose;

use super::process::ProcessUse;

const LIMIT_ASKS: &str = "teaselworks_limit_asks_total";
const CONTROL_BYTES: &str = "teaselworks_control_bytes_total";

/// Control bytes by purpose, both directions.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ControlBytes([f64; Purpose::ALL.len()]);

impl ControlBytes {
    fn from_metrics(metrics: &str) -> Self {
        Self(Purpose::ALL.map(|purpose| {
            let label = format!("purpose=\"{purpose}\"", purpose = purpose.as_str());
            sum_metric(metrics, CONTROL_BYTES, &[&label])
        }))
    }

    /// Returns the bytes of a purpose.
    pub fn of(&self, purpose: Purpose) -> f64 {
        let index = Purpose::ALL.iter().position(|listed| *listed == purpose);
        index.map_or(0.0, |index| self.0[index])
    }

    /// Returns the sum over all purposes.
    pub fn total(&self) -> f64 {
        self.0.iter().sum()
    }

    fn plus(mut self, other: &Self, factor: f64) -> Self {
        for (sum, bytes) in self.0.iter_mut().zip(other.0) {
            *sum += bytes * factor;
        }
        self
    }

    fn times(&self, factor: f64) -> Self {
        Self::default().plus(self, factor)
    }
}

/// Sums over all routers of a fleet at one moment.
#[derive(Clone, Debug)]
pub struct Reading {
    at: Instant,
    routers: usize,
    control_bytes: ControlBytes,
    requests: f64,
    limit_asks: f64,
    processor: Duration,
    links: f64,
    watches: f64,
    platform: CallCounts,
}

/// What happened between two readings, over all routers together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Span {
    /// Time between the readings.
    pub elapsed: Duration,
    /// Routers of the fleet.
    pub routers: usize,
    /// Control bytes.
    pub control_bytes: ControlBytes,
    /// Requests answered whole.
    pub requests: f64,
    /// Questions to owners of workspaces for allowance.
    pub limit_asks: f64,
    /// Processor time.
    pub processor: Duration,
    /// Calls that the platform counted.
    pub platform_calls: f64,
}

impl Reading {
    /// Reads the start of a span: counters first, so that their reading is not in the span's
    /// processor time.
    pub async fn start(fleet: &Fleet) -> Result<Self, String> {
        let mut reading = Self::counters(fleet).await?;
        reading.read_processes(fleet)?;
        reading.at = Instant::now();
        reading.platform = fleet.platform.counts();
        Ok(reading)
    }

    /// Reads the end of a span: counters last.
    pub async fn end(fleet: &Fleet) -> Result<Self, String> {
        let (at, platform) = (Instant::now(), fleet.platform.counts());
        let mut early = Self::empty(fleet);
        early.read_processes(fleet)?;
        let counters = Self::counters(fleet).await?;
        Ok(Self { at, platform, processor: early.processor, ..counters })
    }

    fn empty(fleet: &Fleet) -> Self {
        Self {
            at: Instant::now(),
            routers: fleet.routers.len(),
            control_bytes: ControlBytes::default(),
            requests: 0.0,
            limit_asks: 0.0,
            processor: Duration::ZERO,
            links: 0.0,
            watches: 0.0,
            platform: CallCounts::default(),
        }
    }

    async fn counters(fleet: &Fleet) -> Result<Self, String> {
        let mut reading = Self::empty(fleet);
        for router in &fleet.routers {
            let metrics = router.get_text("/metrics").await?;
            reading.control_bytes =
                reading.control_bytes.plus(&ControlBytes::from_metrics(&metrics), 1.0);
            reading.requests += sum_metric(&metrics, "teaselworks_requests_total", &[]);
            reading.limit_asks += sum_metric(&metrics, LIMIT_ASKS, &[]);
            reading.links += sum_metric(&metrics, "teaselworks_links", &[]);
            reading.watches += sum_metric(&metrics, "teaselworks_platform_watches", &[]);
        }
        Ok(reading)
    }

    fn read_processes(&mut self, fleet: &Fleet) -> Result<(), String> {
        for router in &fleet.routers {
            self.processor += process_use(router)?.processor;
        }
        Ok(())
    }

    /// Returns the links of one router on average.
    pub fn links(&self) -> f64 {
        self.links / self.routers as f64
    }

    /// Returns the control bytes of the links themselves since the routers' start.
    pub fn link_bytes(&self) -> f64 {
        self.control_bytes.of(Purpose::Link)
    }

    /// Returns the links of all routers, each counted at both ends.
    pub fn link_ends(&self) -> f64 {
        self.links
    }

    /// Returns the watches that wait at the platform.
    pub fn watches(&self) -> f64 {
        self.watches
    }

    /// Returns what happened since an earlier reading.
    pub fn since(&self, earlier: &Reading) -> Span {
        Span {
            elapsed: self.at - earlier.at,
            routers: self.routers,
            control_bytes: self.control_bytes.plus(&earlier.control_bytes, -1.0),
            requests: self.requests - earlier.requests,
            limit_asks: self.limit_asks - earlier.limit_asks,
            processor: self.processor.saturating_sub(earlier.processor),
            platform_calls: self.platform.total() as f64 - earlier.platform.total() as f64,
        }
    }
}

impl Span {
    /// Returns the control bytes of one router in a second.
    pub fn control_bytes_per_s(&self) -> ControlBytes {
        self.control_bytes.times(1.0 / (self.elapsed.as_secs_f64() * self.routers as f64))
    }

    /// Returns the processor time of one router in a second, in milliseconds.
    pub fn processor_ms_per_s(&self) -> f64 {
        self.processor.as_secs_f64() * 1e3 / (self.elapsed.as_secs_f64() * self.routers as f64)
    }

    /// Returns the platform's calls in a second, of the whole fleet.
    pub fn platform_calls_per_s(&self) -> f64 {
        self.platform_calls / self.elapsed.as_secs_f64()
    }

    /// Returns the platform's calls beyond those of an idle fleet in the same time.
    pub fn platform_calls_beyond(&self, idle: &Span) -> f64 {
        let share = self.elapsed.as_secs_f64() / idle.elapsed.as_secs_f64();
        self.platform_calls - idle.platform_calls * share
    }

    /// Returns the control bytes beyond what an idle fleet sends in the same time.
    pub fn control_bytes_beyond(&self, idle: &Span) -> ControlBytes {
        let share = self.elapsed.as_secs_f64() / idle.elapsed.as_secs_f64();
        self.control_bytes.plus(&idle.control_bytes, -share)
    }

    /// Returns the processor time in milliseconds beyond what an idle fleet takes in the same time.
    pub fn processor_ms_beyond(&self, idle: &Span) -> f64 {
        let share = self.elapsed.as_secs_f64() / idle.elapsed.as_secs_f64();
        (self.processor.as_secs_f64() - idle.processor.as_secs_f64() * share) * 1e3
    }
}

/// Reads processor time and memory of a router; fails when it has ended.
pub fn process_use(router: &RouterProcess) -> Result<ProcessUse, String> {
    let id = router.id().ok_or_else(|| format!("{} has ended", router.name()))?;
    ProcessUse::of(id).map_err(|error| error.to_string())
}
