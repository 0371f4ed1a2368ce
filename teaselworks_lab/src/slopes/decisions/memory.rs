//! Memory of what the decisions keep, each measured in a process of its own, whose heap holds
//! nothing else: in a used one new values fill the pages that earlier ones left.

use std::env;
use std::process::{Command, ExitCode};

use super::{membership, placement, workspaces};
use crate::slopes::collect::Collector;
use crate::slopes::name::SlopeName;

/// Hidden first argument with which a program starts itself to measure memory.
const MEMORY_ARGUMENT: &str = "memory";

/// What is measured, and at which sizes.
const MEASURED: [(SlopeName, &[usize]); 8] = [
    (SlopeName::ViewMemory, membership::ROUTERS),
    (SlopeName::MembershipMemory, membership::ROUTERS),
    (SlopeName::KeyMemory, workspaces::WORKSPACES),
    (SlopeName::ConfigurationMemory, workspaces::WORKSPACES),
    (SlopeName::LimiterMemory, workspaces::WORKSPACES),
    (SlopeName::UseMemory, workspaces::RECORDS),
    (SlopeName::TablesMemory, placement::REPLICAS),
    (SlopeName::HoldingsMemory, placement::HELD),
];

/// Measures memory and prints it when this process was started for that; returns its exit code,
/// else `None`.
pub fn run_as_meter() -> Option<ExitCode> {
    let mut arguments = env::args().skip(1);
    if arguments.next().as_deref() != Some(MEMORY_ARGUMENT) {
        return None;
    }
    let name = arguments.next().unwrap_or_default();
    let size = arguments.next().and_then(|text| text.parse().ok()).unwrap_or_default();
    for (measured, _) in MEASURED {
        if measured.as_str() == name {
            println!("{}", value(measured, size));
            return Some(ExitCode::SUCCESS);
        }
    }
    Some(ExitCode::FAILURE)
}

fn value(name: SlopeName, size: usize) -> f64 {
    match name {
        SlopeName::ViewMemory => membership::view_kb(size),
        SlopeName::MembershipMemory => membership::machine_kb(size),
        SlopeName::KeyMemory => workspaces::keys_mb(size),
        SlopeName::ConfigurationMemory => workspaces::configuration_mb(size),
        SlopeName::LimiterMemory => workspaces::limiter_mb(size),
        SlopeName::UseMemory => workspaces::use_kb(size),
        SlopeName::TablesMemory => placement::tables_kb(size),
        SlopeName::HoldingsMemory => placement::holdings_mb(size),
        _ => unreachable!("the list holds no other"),
    }
}

/// Measures every memory at every size; fails when a process does.
pub fn measure(points: &mut Collector) -> Result<(), String> {
    let program = env::current_exe().map_err(|error| error.to_string())?;
    for (name, sizes) in MEASURED {
        for size in sizes {
            let arguments = [MEMORY_ARGUMENT, name.as_str(), &size.to_string()];
            let output = Command::new(&program).args(arguments).output();
            let output = output.map_err(|error| error.to_string())?;
            let text = String::from_utf8_lossy(&output.stdout);
            let value = text.trim().parse().map_err(|_| format!("{name} at {size}: {text}"))?;
            points.add(name, *size as f64, value);
        }
    }
    Ok(())
}
