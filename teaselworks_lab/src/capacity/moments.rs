//! The worst moments, worked out from what a node spends at the peak.

use super::node::Node;
use crate::slopes::{Recording, RecordingError, SlopeName};

/// Time for which regions lose each other, in seconds.
const REGIONS_APART_S: f64 = 600.0;
/// Time for which the platform is away, and in which all routers are replaced, in seconds.
const HOUR_S: f64 = 3_600.0;
/// Routers of one rack.
const RACK_ROUTERS: f64 = 20.0;
/// Records of its own use that a router holds at most before it sums them.
const HELD_LIMIT: f64 = 100_000.0;
/// Replicas that a version is rolled out over, and weight loads at once by default.
const ROLLOUT_REPLICAS: f64 = 200.0;
const WEIGHT_LOADS: f64 = 2.0;
/// Surge of the three busiest workspaces.
const SURGE: f64 = 10.0;
const SURGING: usize = 3;
/// Measured rate that stands for the peak, in requests a second at each router.
const PEAK_RATE: f64 = 24.0;

/// The worst moments.
#[derive(Clone, Debug)]
pub struct Moments {
    values: Vec<(&'static str, f64)>,
}

impl Moments {
    /// Works the moments out; fails when a slope was not measured.
    pub fn of(recording: &Recording, node: &Node) -> Result<Self, RecordingError> {
        let mut moments = Self { values: Vec::new() };
        moments.add_zone(node);
        moments.add_rack(node);
        moments.add_regions(recording, node)?;
        moments.add_replacement(recording, node)?;
        moments.add_platform_away(recording, node)?;
        moments.add_surge(recording, node)?;
        moments.add_rollout(node);
        Ok(moments)
    }

    /// Returns every value by its name.
    pub fn all(&self) -> impl Iterator<Item = (&'static str, f64)> + '_ {
        self.values.iter().copied()
    }

    fn add(&mut self, name: &'static str, value: f64) {
        self.values.push((name, value));
    }

    fn add_zone(&mut self, node: &Node) {
        let inputs = &node.inputs;
        let lost = 1.0 / inputs.zones;
        let streams = inputs.streams_per_router() * inputs.routers;
        let left = 1.0 - lost;
        self.add("zone.routers", inputs.routers * lost);
        self.add("zone.replicas", inputs.replicas * lost);
        self.add("zone.factor", 1.0 / left);
        self.add("zone.entries_cut", streams * lost);
        self.add("zone.owners_cut", streams * lost * left);
        self.add("zone.retries_per_router", streams * lost / inputs.routers);
        self.add("zone.requests_processor", (node.entry_processor + node.owner_processor) / left);
        self.add("zone.streams_mb", node.memory.streams() / left);
        self.add("zone.records", inputs.routers * lost * node.held_records);
        self.add("zone.records_per_router", node.held_records * lost / left);
        self.add("zone.workspaces", inputs.workspaces * lost);
        self.add("zone.running", streams / inputs.replicas / left);
    }

    fn add_rack(&mut self, node: &Node) {
        let inputs = &node.inputs;
        let lost = RACK_ROUTERS / inputs.routers;
        let streams = inputs.streams_per_router() * inputs.routers;
        self.add("rack.routers", RACK_ROUTERS);
        self.add("rack.factor", 1.0 / (1.0 - lost));
        self.add("rack.replicas", inputs.replicas * lost);
        self.add("rack.cut", streams * (1.0 - (1.0 - lost).powi(2)));
        self.add("rack.workspaces", inputs.workspaces * lost);
    }

    fn add_regions(&mut self, recording: &Recording, node: &Node) -> Result<(), RecordingError> {
        let records = node.inputs.requests_per_router() * REGIONS_APART_S;
        self.add("apart.records", records);
        self.add("apart.memory", held_mb(recording, records)?);
        self.add("apart.watches", 2.0 * node.platform.watches);
        Ok(())
    }

    fn add_replacement(
        &mut self,
        recording: &Recording,
        node: &Node,
    ) -> Result<(), RecordingError> {
        let inputs = &node.inputs;
        let per_s = inputs.routers / HOUR_S;
        let configuration_mb = recording.slope(SlopeName::ConfigurationSize)?.fit;
        let configuration_bytes = configuration_mb.at(inputs.workspaces) * 1e6;
        let handshake_bytes = recording.slope(SlopeName::HandshakeBytes)?.mean();
        self.add("replaced.interval_s", 1.0 / per_s);
        self.add("replaced.configuration_bytes", 2.0 * configuration_bytes / HOUR_S);
        self.add("replaced.handshake_bytes", 2.0 * handshake_bytes * per_s);
        self.add("replaced.replicas_moved", 2.0 * inputs.replicas / HOUR_S);
        self.add("replaced.workspaces_moved", 2.0 * inputs.workspaces / HOUR_S);
        self.add("replaced.draining", per_s * (2.0 + inputs.request_s()));
        Ok(())
    }

    fn add_platform_away(
        &mut self,
        recording: &Recording,
        node: &Node,
    ) -> Result<(), RecordingError> {
        let records = node.inputs.requests_per_router() * HOUR_S;
        self.add("away.records", records);
        self.add("away.share", 100.0 * records / HELD_LIMIT);
        self.add("away.minutes", HELD_LIMIT / node.inputs.requests_per_router() / 60.0);
        self.add("away.memory", held_mb(recording, records)?);
        self.add("away.changes", node.inputs.changes_per_s() * HOUR_S);
        Ok(())
    }

    fn add_rollout(&mut self, node: &Node) {
        let replicas = node.inputs.replicas;
        let rounds = ROLLOUT_REPLICAS / WEIGHT_LOADS;
        self.add("rollout.looks_min", rounds * replicas / node.active_looks_per_s / 60.0);
    }

    fn add_surge(&mut self, recording: &Recording, node: &Node) -> Result<(), RecordingError> {
        let inputs = &node.inputs;
        let ranks = 1..=inputs.workspaces as u32;
        let sum: f64 = ranks.map(|rank| 1.0 / f64::from(rank)).sum();
        let share = 1.0 / sum;
        let surging: f64 = (1..=SURGING).map(|rank| share / rank as f64).sum();
        self.add("surge.share", 100.0 * surging);
        self.add("surge.first_share", 100.0 * share);
        let requests_per_s = inputs.requests_per_s * (1.0 + (SURGE - 1.0) * surging);
        self.add("surge.requests", requests_per_s);
        // What a surge costs is no line; the rate of the peak is among those measured.
        let usual_bytes = recording.slope(SlopeName::BusiestLimitBytes)?.value_at(PEAK_RATE);
        let owner_bytes = recording.slope(SlopeName::SurgeLimitBytes)?.value_at(PEAK_RATE);
        self.add("surge.usual_bytes", usual_bytes);
        self.add("surge.owner_bytes", owner_bytes);
        for (figure, slope) in [
            ("surge.owner_asks", SlopeName::SurgeLimitAsks),
            ("surge.used", SlopeName::SurgeLimitUsed),
        ] {
            self.add(figure, recording.slope(slope)?.value_at(PEAK_RATE));
        }
        // A node asks as much as it is asked: its bytes and its time are those of both ends.
        let processor_share = owner_bytes / node.bytes.limits;
        self.add("surge.owner_processor", node.processor.limits * processor_share);
        Ok(())
    }
}

/// Returns the memory of a source's records and of as many copies that it holds for another.
fn held_mb(recording: &Recording, records: f64) -> Result<f64, RecordingError> {
    Ok(2.0 * records * recording.slope(SlopeName::UseMemory)?.fit.slope / 1e3)
}
