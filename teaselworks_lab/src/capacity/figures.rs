//! Every figure of the page by name.

use super::inputs::{BUDGET, Inputs};
use super::moments::Moments;
use super::node::{LOOK_SIZE_BYTES, Node, REPORT_SIZE_BYTES, VM_LIST_READINGS_PER_S};
use super::number::number;
use crate::slopes::{Recording, RecordingError, SlopeName};

/// Calls of the platform that a fleet makes in a second at most, by default.
const FLEET_CALLS_PER_S: f64 = 600.0;

/// A figure of the page.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Figure {
    /// Name by which the page refers to it.
    pub name: String,
    /// The figure as text.
    pub text: String,
}

/// Figures gathered so far.
#[derive(Debug, Default)]
struct Figures(Vec<Figure>);

impl Figures {
    fn add(&mut self, name: &str, value: f64) {
        self.add_text(name, number(value));
    }

    fn add_text(&mut self, name: &str, text: String) {
        self.0.push(Figure { name: name.into(), text });
    }
}

/// Returns every figure; fails when a slope was not measured.
pub fn figures(recording: &Recording, inputs: Inputs) -> Result<Vec<Figure>, RecordingError> {
    let node = Node::at(recording, inputs)?;
    let mut figures = Figures::default();
    add_inputs(&mut figures, &inputs);
    add_slopes(&mut figures, recording);
    add_bytes(&mut figures, &node);
    add_processor(&mut figures, &node);
    add_memory(&mut figures, &node);
    add_platform(&mut figures, &node);
    add_moments(&mut figures, &Moments::of(recording, &node)?);
    let (least, most) = recording.load_range();
    figures.add("load_least", least);
    figures.add("load_most", most);
    figures.add("processors", recording.processors as f64);
    Ok(figures.0)
}

fn add_inputs(figures: &mut Figures, inputs: &Inputs) {
    figures.add("requests_per_router", inputs.requests_per_router());
    figures.add("tokens_per_request", inputs.tokens_per_request());
    figures.add("tokens_per_router", inputs.tokens_per_s / inputs.routers);
    figures.add("request_s", inputs.request_s());
    figures.add("streams_per_router", inputs.streams_per_router());
    figures.add("streams_of_fleet", inputs.streams_per_router() * inputs.routers);
    figures
        .add("streams_per_replica", inputs.requests_per_s * inputs.request_s() / inputs.replicas);
    figures.add("replicas_per_router", inputs.replicas_per_router());
    figures.add("workspaces_per_router", inputs.workspaces_per_router());
    figures.add("chats_per_replica", inputs.chats_per_replica());
    figures.add("changes_per_s", inputs.changes_per_s());
}

/// Adds each slope's value at zero, rise, largest size and value there.
fn add_slopes(figures: &mut Figures, recording: &Recording) {
    for slope in &recording.slopes {
        let name = slope.name.as_str();
        figures.add(&format!("{name}.zero"), slope.fit.intercept);
        figures.add(&format!("{name}.rise"), slope.fit.slope);
        figures.add(&format!("{name}.largest"), slope.largest_value());
        figures.add(&format!("{name}.mean"), slope.mean());
    }
    let at = |name: SlopeName, size: f64| recording.slope(name).map(|slope| slope.fit.at(size));
    for (figure, name, size) in SINGLE {
        if let Ok(value) = at(name, size) {
            figures.add(figure, value);
        }
    }
}

/// Values of single slopes at the size of the page.
const SINGLE: [(&str, SlopeName, f64); 9] = [
    ("owner_ns", SlopeName::OwnerTime, 410.0),
    ("search_ns", SlopeName::SearchTime, 200.0),
    ("key_ns", SlopeName::KeyTime, 18_000.0),
    ("limiter_ns", SlopeName::LimiterTime, 18_000.0),
    ("owned_most", SlopeName::OwnedMost, 410.0),
    ("membership_us", SlopeName::MembershipTime, 410.0),
    ("view_us", SlopeName::ViewTime, 410.0),
    ("change_ms", SlopeName::WorkspacesChangeProcessor, 18_000.0),
    ("configuration_mb", SlopeName::ConfigurationSize, 18_000.0),
];

fn add_bytes(figures: &mut Figures, node: &Node) {
    let bytes = &node.bytes;
    figures.add("bytes.membership", bytes.membership);
    figures.add("bytes.load", bytes.load);
    figures.add("bytes.configuration", bytes.configuration);
    figures.add("bytes.changes", bytes.changes);
    figures.add("bytes.usage", bytes.usage);
    figures.add("bytes.limits", bytes.limits);
    figures.add("bytes.handshakes", bytes.handshakes);
    figures.add("bytes.total", bytes.total());
    figures.add("bytes.sent", bytes.total() / 2.0);
    figures.add("bytes.unlimited", bytes.total() - bytes.limits);
    figures.add("bytes.vm_list", node.vm_list_bytes);
    figures.add("bytes.reports", node.report_bytes);
    figures.add("report_kb", REPORT_SIZE_BYTES / 1e3);
    let reading_bytes = node.vm_list_bytes * node.inputs.routers / VM_LIST_READINGS_PER_S;
    figures.add("vm_list_kb", reading_bytes / 1e3);
}

fn add_processor(figures: &mut Figures, node: &Node) {
    let processor = &node.processor;
    figures.add("processor.idle", processor.idle);
    figures.add("processor.growth", processor.growth);
    figures.add("processor.changes", processor.changes);
    figures.add("processor.limits", processor.limits);
    figures.add("processor.total", processor.total());
    figures.add("processor.share", processor.total() / 10.0);
    figures.add("entry_processor", node.entry_processor);
    figures.add("owner_processor", node.owner_processor);
    figures.add("requests_processor", node.entry_processor + node.owner_processor);
    figures.add("busiest", node.busiest);
    figures.add("busiest_processor", node.owner_processor * node.busiest);
}

fn add_memory(figures: &mut Figures, node: &Node) {
    let memory = &node.memory;
    figures.add("memory.process", memory.process);
    figures.add("memory.links", memory.links);
    figures.add("memory.configuration", memory.configuration);
    figures.add("memory.membership", memory.membership);
    figures.add("memory.replicas", memory.replicas);
    figures.add("memory.usage", memory.usage);
    figures.add("memory.tables", memory.tables);
    figures.add("memory.control", memory.control());
    figures.add("memory.beyond_process", memory.control() - memory.process);
    figures.add("memory.entry_streams", memory.entry_streams);
    figures.add("memory.owner_streams", memory.owner_streams);
    figures.add("memory.streams", memory.streams());
    figures.add("memory.all", memory.control() + memory.streams());
    figures.add("busiest_streams_mb", memory.owner_streams * node.busiest);
    figures.add("held_records", node.held_records);
    figures.add("in_force_s", node.in_force_s);
}

fn add_platform(figures: &mut Figures, node: &Node) {
    let platform = &node.platform;
    figures.add("platform.watches", platform.watches);
    figures.add("platform.idle", platform.idle);
    figures.add("platform.changes", platform.changes);
    figures.add("platform.usage", platform.usage);
    figures.add("platform.orders", platform.orders);
    figures.add("looks_per_s", node.looks_per_s);
    figures.add("looks_processor", node.looks_processor);
    figures.add("looks_bytes", node.looks_per_s * LOOK_SIZE_BYTES);
    figures.add("looks_round_s", node.inputs.replicas / node.looks_per_s);
    figures.add("active_looks_per_s", node.active_looks_per_s);
    figures.add("active_looks_bytes", node.active_looks_per_s * LOOK_SIZE_BYTES);
    figures.add("active_looks_round_s", node.inputs.replicas / node.active_looks_per_s);
    figures.add("platform.vm_list", VM_LIST_READINGS_PER_S);
    figures.add("platform.default_rate", 20.0 * node.inputs.routers);
    figures.add("platform.fleet_rate", FLEET_CALLS_PER_S);
    figures.add("platform.rate_per_router", FLEET_CALLS_PER_S / node.inputs.routers);
    figures.add("platform.bookings", BUDGET.writes_per_s - platform.writes());
}

fn add_moments(figures: &mut Figures, moments: &Moments) {
    for (name, value) in moments.all() {
        figures.add(name, value);
    }
}
