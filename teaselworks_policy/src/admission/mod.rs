//! Admission: bounded fair queues, limits of workspaces, and refusals made at once.

pub mod bucket;
pub mod deadline;
mod demand;
mod denial;
pub mod lane;
mod lease;
mod leases;
pub mod lending;
pub mod limits;
pub mod loan;
pub mod open;
pub mod queue;
mod share;
