//! What one node spends at a size of the fleet, worked out from the slopes.

use teaselworks_policy::load::schedule::{STEADY_BYTES_PER_S, STEADY_INTERVAL};
use teaselworks_policy::membership::TURNS_A_POLL;
use teaselworks_policy::orders::round_interval;
use teaselworks_policy::usage::{SHARDS, write_interval};

use super::inputs::Inputs;
use crate::slopes::{Recording, RecordingError, SlopeName};

/// Time in which the fleet makes [`TURNS_A_POLL`] readings of the list of VMs, in seconds.
const VM_LIST_POLL_S: f64 = 5.0;
/// Readings of the list of VMs by the whole fleet, in a second.
pub const VM_LIST_READINGS_PER_S: f64 = TURNS_A_POLL as f64 / VM_LIST_POLL_S;
/// Size of an engine's page of metrics, in bytes; an assumption, the stand-in's is shorter.
pub const REPORT_SIZE_BYTES: f64 = 40_000.0;
/// Time between looks at one engine in the runs that measured them, in seconds.
const LOOK_INTERVAL_S: f64 = 5.0;
/// Request and answer of one look with their headers, in bytes; an assumption.
pub const LOOK_SIZE_BYTES: f64 = 600.0;
/// Routers that pass a change on, one after another, until the last one has it: the watchers are
/// 8, each router has 4 children a tree, and 8 x 4 x 4 x 4 is above 410.
const HOPS: f64 = 3.0;
/// Largest rate of requests with limits at which asks were counted.
const ASKED_RATE: f64 = 24.0;

/// Control bytes of one node, both directions, in bytes a second.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ControlBytes {
    /// Membership.
    pub membership: f64,
    /// Mean loads, all models.
    pub load: f64,
    /// Questions after the configuration's number.
    pub configuration: f64,
    /// Changes of the configuration.
    pub changes: f64,
    /// Use, as source, holder of copies and owner.
    pub usage: f64,
    /// Limits, as asker and owner, with every workspace limited.
    pub limits: f64,
    /// Handshakes with routers that were restarted.
    pub handshakes: f64,
}

impl ControlBytes {
    /// Returns the sum.
    pub fn total(&self) -> f64 {
        self.membership
            + self.load
            + self.configuration
            + self.changes
            + self.usage
            + self.limits
            + self.handshakes
    }
}

/// Processor time of one node for control, in milliseconds a second.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ControlProcessor {
    /// Idle router with a link to every other one.
    pub idle: f64,
    /// Part of `idle` that grows with the fleet.
    pub growth: f64,
    /// Changes of the configuration.
    pub changes: f64,
    /// Limits, as asker and owner.
    pub limits: f64,
}

impl ControlProcessor {
    /// Returns the sum.
    pub fn total(&self) -> f64 {
        self.idle + self.changes + self.limits
    }
}

/// Memory of one node, in megabytes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Memory {
    /// Process without links, with a configuration of one workspace.
    pub process: f64,
    /// Links to all other routers.
    pub links: f64,
    /// Configuration, index of keys, and what changes of it leave behind.
    pub configuration: f64,
    /// Membership and the view.
    pub membership: f64,
    /// Replicas owned and the estimates of what they hold.
    pub replicas: f64,
    /// Records of use, own and copies.
    pub usage: f64,
    /// Tables of replicas and loads.
    pub tables: f64,
    /// Streams as entry.
    pub entry_streams: f64,
    /// Streams as owner.
    pub owner_streams: f64,
}

impl Memory {
    /// Returns what control takes: everything but streams.
    pub fn control(&self) -> f64 {
        self.process
            + self.links
            + self.configuration
            + self.membership
            + self.replicas
            + self.usage
            + self.tables
    }

    /// Returns what the streams take.
    pub fn streams(&self) -> f64 {
        self.entry_streams + self.owner_streams
    }
}

/// Calls of the platform, of the whole fleet, a second.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlatformCalls {
    /// Waiting watches.
    pub watches: f64,
    /// Readings of the head by routers that watch.
    pub idle: f64,
    /// Calls for changes of the configuration.
    pub changes: f64,
    /// Writes of use.
    pub usage: f64,
    /// Lease of the orders.
    pub orders: f64,
}

impl PlatformCalls {
    /// Returns the calls that count as writes; those for changes and orders, which are of both
    /// kinds, count here and as reads.
    pub fn writes(&self) -> f64 {
        self.usage + self.changes + self.orders
    }

    /// Returns the calls that count as reads, waiting watches among them.
    pub fn reads(&self) -> f64 {
        self.idle + self.watches + self.changes + self.orders
    }

    /// Returns all calls and waiting watches.
    pub fn total(&self) -> f64 {
        self.watches + self.idle + self.changes + self.usage + self.orders
    }
}

/// What one node spends at a size of the fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Node {
    /// Size.
    pub inputs: Inputs,
    /// Control bytes.
    pub bytes: ControlBytes,
    /// Processor time for control.
    pub processor: ControlProcessor,
    /// Memory.
    pub memory: Memory,
    /// Platform calls of the fleet.
    pub platform: PlatformCalls,
    /// Processor time of an entry for requests, in milliseconds a second.
    pub entry_processor: f64,
    /// Processor time of an owner for requests, in milliseconds a second.
    pub owner_processor: f64,
    /// Requests of the busiest owner as a multiple of the mean.
    pub busiest: f64,
    /// Records of use that a source holds.
    pub held_records: f64,
    /// Bytes a second of readings of the list of VMs.
    pub vm_list_bytes: f64,
    /// Bytes a second of engines' load reports.
    pub report_bytes: f64,
    /// Looks at engines of the one router that holds the orders, in a second, while nothing is to
    /// be done.
    pub looks_per_s: f64,
    /// The same while orders are given.
    pub active_looks_per_s: f64,
    /// Processor time of these looks, in milliseconds a second.
    pub looks_processor: f64,
    /// Time in which a change is in force on the last router, in seconds.
    pub in_force_s: f64,
}

impl Node {
    /// Works out what a node spends; fails when a slope was not measured.
    pub fn at(recording: &Recording, inputs: Inputs) -> Result<Self, RecordingError> {
        let slopes = Slopes(recording);
        let rate = inputs.requests_per_router();
        let held_records = slopes.at(SlopeName::UseHeld, rate)?;
        Ok(Self {
            bytes: slopes.bytes(&inputs)?,
            processor: slopes.processor(&inputs)?,
            memory: slopes.memory(&inputs, held_records)?,
            platform: slopes.platform(&inputs)?,
            entry_processor: rate
                * slopes.at(SlopeName::EntryProcessor, inputs.tokens_per_request())?,
            owner_processor: rate
                * slopes.at(SlopeName::OwnerProcessor, inputs.tokens_per_request())?,
            busiest: slopes.busiest(&inputs)?,
            held_records,
            vm_list_bytes: slopes.slope(SlopeName::VmListSize)?
                * (inputs.routers + inputs.replicas)
                * VM_LIST_READINGS_PER_S
                / inputs.routers,
            report_bytes: report_bytes(&inputs),
            looks_per_s: looks_per_s(&inputs, false),
            active_looks_per_s: looks_per_s(&inputs, true),
            looks_processor: slopes.slope(SlopeName::OrdersProcessor)?
                * LOOK_INTERVAL_S
                * looks_per_s(&inputs, false),
            in_force_s: slopes.in_force_s(&inputs)?,
            inputs,
        })
    }
}

/// Returns the bytes a second of load reports while no owner changes, at most.
fn report_bytes(inputs: &Inputs) -> f64 {
    let wanted = inputs.replicas_per_router() * REPORT_SIZE_BYTES / STEADY_INTERVAL.as_secs_f64();
    wanted.min(STEADY_BYTES_PER_S as f64)
}

fn looks_per_s(inputs: &Inputs, is_active: bool) -> f64 {
    inputs.replicas / round_interval(inputs.replicas as usize, is_active).as_secs_f64()
}

struct Slopes<'a>(&'a Recording);

impl Slopes<'_> {
    fn at(&self, name: SlopeName, size: f64) -> Result<f64, RecordingError> {
        Ok(self.0.slope(name)?.fit.at(size))
    }

    fn slope(&self, name: SlopeName) -> Result<f64, RecordingError> {
        Ok(self.0.slope(name)?.fit.slope)
    }

    /// Returns the mean of a slope that is flat.
    fn flat(&self, name: SlopeName) -> Result<f64, RecordingError> {
        Ok(self.0.slope(name)?.mean())
    }

    fn bytes(&self, inputs: &Inputs) -> Result<ControlBytes, RecordingError> {
        let rate = inputs.requests_per_router();
        let change_bytes = self.at(SlopeName::ChangeBytes, inputs.followers())?;
        // A restarted router shakes hands with all others, and each of them with it.
        let handshake_bytes = self.flat(SlopeName::HandshakeBytes)?;
        Ok(ControlBytes {
            membership: self.flat(SlopeName::MembershipBytes)?,
            load: self.flat(SlopeName::LoadBytes)? * inputs.models,
            configuration: self.flat(SlopeName::ConfigurationBytes)?,
            changes: change_bytes * inputs.changes_per_s(),
            usage: self.at(SlopeName::UseTraffic, rate)?,
            limits: self.at(SlopeName::LimitsTraffic, rate)?,
            handshakes: 2.0 * handshake_bytes * inputs.restarts_per_s(),
        })
    }

    fn processor(&self, inputs: &Inputs) -> Result<ControlProcessor, RecordingError> {
        let idle = self.at(SlopeName::IdleProcessor, inputs.routers)?;
        let change_ms = self.at(SlopeName::WorkspacesChangeProcessor, inputs.workspaces)?;
        Ok(ControlProcessor {
            idle,
            growth: self.slope(SlopeName::IdleProcessor)? * inputs.routers,
            changes: change_ms * inputs.changes_per_s(),
            limits: self.ask_ms()?
                * self.at(SlopeName::LimitsAsks, inputs.requests_per_router())?
                * inputs.requests_per_router(),
        })
    }

    /// Returns the processor time of one question about limits, at both ends together.
    fn ask_ms(&self) -> Result<f64, RecordingError> {
        let limited = self.slope(SlopeName::RateProcessor)?;
        let unlimited = self.slope(SlopeName::RateUnlimitedProcessor)?;
        let asks = self.0.slope(SlopeName::RateAsks)?.value_at(ASKED_RATE);
        Ok((limited - unlimited).max(0.0) / asks)
    }

    fn memory(&self, inputs: &Inputs, held_records: f64) -> Result<Memory, RecordingError> {
        let idle = self.0.slope(SlopeName::IdleResident)?.fit;
        let owned = inputs.replicas_per_router();
        let streams = inputs.streams_per_router();
        let kilobytes = |name: SlopeName, size: f64| self.at(name, size).map(|value| value / 1e3);
        let configuration = self.at(SlopeName::ChangedResident, inputs.workspaces)?
            - self.at(SlopeName::ChangedResident, 1.0)?;
        let held_kb = 2.0 * held_records * self.slope(SlopeName::UseMemory)?;
        Ok(Memory {
            process: idle.intercept,
            links: idle.slope * inputs.links(),
            configuration,
            membership: kilobytes(SlopeName::MembershipMemory, inputs.routers)?
                + kilobytes(SlopeName::ViewMemory, inputs.routers)?,
            replicas: owned
                * (self.slope(SlopeName::ReplicasResident)?
                    + self.slope(SlopeName::HoldingsMemory)?),
            usage: held_kb / 1e3,
            tables: kilobytes(SlopeName::TablesMemory, inputs.replicas_per_model())?,
            entry_streams: streams * self.slope(SlopeName::EntryStreamResident)?,
            owner_streams: streams * self.slope(SlopeName::OwnerStreamResident)?,
        })
    }

    fn platform(&self, inputs: &Inputs) -> Result<PlatformCalls, RecordingError> {
        let interval = write_interval(inputs.routers as usize);
        let change_calls = self.0.slope(SlopeName::ChangePlatformCalls)?.largest_value();
        Ok(PlatformCalls {
            watches: self.0.slope(SlopeName::PlatformWatches)?.largest_value(),
            idle: self.0.slope(SlopeName::PlatformCalls)?.largest_value(),
            changes: change_calls * inputs.changes_per_s(),
            usage: f64::from(SHARDS) / interval.as_secs_f64(),
            orders: self.flat(SlopeName::OrdersPlatformCalls)?,
        })
    }

    fn busiest(&self, inputs: &Inputs) -> Result<f64, RecordingError> {
        let owned = self.at(SlopeName::OwnedMost, inputs.routers)?;
        // Measured with two replicas a router.
        Ok(owned / 2.0)
    }

    fn in_force_s(&self, inputs: &Inputs) -> Result<f64, RecordingError> {
        let fleet_ms = self.at(SlopeName::ChangeLate, inputs.routers)?;
        let late = self.0.slope(SlopeName::WorkspacesChangeLate)?.fit;
        let hop_ms = late.slope * inputs.workspaces;
        Ok((fleet_ms + (HOPS + 1.0) * hop_ms) / 1e3)
    }
}
