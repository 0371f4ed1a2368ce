//! Tables of the page that are written whole: the slopes, and what breaks first.

use std::fmt::Write;

use super::inputs::{BUDGET, Inputs};
use super::node::Node;
use super::number::number;
use crate::slopes::{Recording, RecordingError, Slope, Subject};

/// Returns a table of the slopes that one subject measured.
pub fn slopes(recording: &Recording, subject: Subject) -> String {
    let mut text = String::from(
        "| slope | over, sizes | line: at zero + rise x size | error of the rise | points off the line | \
         run |\n| --- | --- | --- | --- | --- | --- |\n",
    );
    for slope in &recording.slopes {
        if slope.name.subject() == subject {
            text.push_str(&slope_row(slope));
        }
    }
    text
}

fn slope_row(slope: &Slope) -> String {
    let sizes: Vec<String> = slope.points.iter().map(|point| number(point.size)).collect();
    let verdict = match (slope.name.must_not_rise(), slope.rises()) {
        (true, true) => " **rises**",
        (true, false) => " flat",
        (false, _) => "",
    };
    let name = slope.name;
    let fit = slope.fit;
    format!(
        "| `{name}`, {unit}: {about} `{module}` | {input}: {sizes} | {zero} + {rise} x{verdict} | {error} \
         | {residual} | {date} |\n",
        unit = name.unit(),
        about = name.about(),
        module = name.module(),
        input = name.input().as_str(),
        sizes = sizes.join(", "),
        zero = number(fit.intercept),
        rise = number(fit.slope),
        error = number(fit.slope_error),
        residual = number(fit.residual),
        date = slope.date,
    )
}

/// One input that doubles.
struct Doubled {
    name: &'static str,
    change: fn(&mut Inputs),
}

const DOUBLED: [Doubled; 9] = [
    Doubled { name: "nothing", change: |_| {} },
    Doubled { name: "routers", change: |inputs| inputs.routers *= 2.0 },
    Doubled { name: "replicas", change: |inputs| inputs.replicas *= 2.0 },
    Doubled {
        name: "requests, and tokens with them",
        change: |inputs| {
            inputs.requests_per_s *= 2.0;
            inputs.tokens_per_s *= 2.0;
        },
    },
    Doubled { name: "tokens of an answer", change: |inputs| inputs.tokens_per_s *= 2.0 },
    Doubled { name: "chats that may return", change: |inputs| inputs.chats *= 2.0 },
    Doubled { name: "workspaces", change: |inputs| inputs.workspaces *= 2.0 },
    Doubled { name: "models", change: |inputs| inputs.models *= 2.0 },
    Doubled {
        name: "changes, failures and restarts a day",
        change: |inputs| {
            inputs.changes_per_day *= 2.0;
            inputs.restarts_per_day *= 2.0;
        },
    },
];

/// Returns a table of what a node spends when each input doubles.
pub fn doubled(recording: &Recording, inputs: Inputs) -> Result<String, RecordingError> {
    let mut text = String::from(
        "| doubled | control bytes/s | control processor ms/s | control memory MB | requests' processor \
         ms/s | streams' memory MB | platform calls/s and watches | furthest over its budget |\n\
         | --- | --- | --- | --- | --- | --- | --- | --- |\n",
    );
    for doubled in DOUBLED {
        let mut inputs = inputs;
        (doubled.change)(&mut inputs);
        let node = Node::at(recording, inputs)?;
        let platform = node.platform;
        writeln!(
            text,
            "| {} | {} | {} | {} | {} | {} | {} | {} |",
            doubled.name,
            number(node.bytes.total()),
            number(node.processor.total()),
            number(node.memory.control()),
            number(node.entry_processor + node.owner_processor),
            number(node.memory.streams()),
            number(platform.total()),
            furthest(&node),
        )
        .expect("writing to memory cannot fail");
    }
    Ok(text)
}

/// Returns the budget that a node is furthest over, or nearest to, and by which factor.
fn furthest(node: &Node) -> String {
    let platform = node.platform;
    let shares = [
        ("control bytes", node.bytes.total() / BUDGET.control_bytes_per_s),
        ("control processor", node.processor.total() / BUDGET.processor_ms_per_s),
        ("control memory", node.memory.control() / BUDGET.memory_mb),
        ("platform writes", platform.writes() / BUDGET.writes_per_s),
        ("platform reads", platform.reads() / BUDGET.reads_per_s),
        ("time to be in force", node.in_force_s / BUDGET.in_force_s),
    ];
    let most = shares.into_iter().max_by(|a, b| a.1.total_cmp(&b.1));
    most.map_or_else(String::new, |(name, share)| format!("{name}, x {}", number(share)))
}

/// Returns a table of what is spent beside each budget.
pub fn budgets(node: &Node) -> String {
    let platform = node.platform;
    let rows = [
        (
            "control bytes a node, sent and received, B/s",
            node.bytes.total(),
            BUDGET.control_bytes_per_s,
        ),
        (
            "the same with no workspace limited",
            node.bytes.total() - node.bytes.limits,
            BUDGET.control_bytes_per_s,
        ),
        ("control processor a node, ms/s", node.processor.total(), BUDGET.processor_ms_per_s),
        (
            "control memory a node, the process itself counted, MB",
            node.memory.control(),
            BUDGET.memory_mb,
        ),
        (
            "control memory a node beyond an empty process, MB",
            node.memory.control() - node.memory.process,
            BUDGET.memory_mb,
        ),
        ("platform writes/s", platform.writes(), BUDGET.writes_per_s),
        ("platform reads/s and waiting watches", platform.reads(), BUDGET.reads_per_s),
        ("a change in force on the last router, s", node.in_force_s, BUDGET.in_force_s),
    ];
    let mut text =
        String::from("| what | spent | budget | headroom |\n| --- | --- | --- | --- |\n");
    for (what, spent, budget) in rows {
        let headroom = match spent <= budget {
            true => format!("x {}", number(budget / spent)),
            false => format!("**over, x {}**", number(spent / budget)),
        };
        writeln!(text, "| {what} | {} | {} | {headroom} |", number(spent), number(budget))
            .expect("writing to memory cannot fail");
    }
    text
}
