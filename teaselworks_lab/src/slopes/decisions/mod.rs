//! Time and memory of the decision crate alone, at full size.

mod limits;
mod membership;
mod memory;
pub(crate) mod meter;
mod placement;
mod usage;
mod workspaces;

pub use memory::run_as_meter;

use super::collect::Collector;

/// Measures every decision; blocks its thread for about a minute. Fails when a process that
/// measures memory does.
pub fn measure(points: &mut Collector) -> Result<(), String> {
    eprintln!("decisions");
    memory::measure(points)?;
    membership::measure(points);
    workspaces::measure(points);
    usage::measure(points);
    limits::measure(points);
    placement::measure(points);
    Ok(())
}
