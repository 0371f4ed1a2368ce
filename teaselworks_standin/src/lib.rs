//! Small stand-ins for what the fleet talks to, the faults they can show, and a harness that runs
//! real routers among them; never part of the shipped binary.

pub mod caller;
pub mod checker;
pub mod connection;
pub mod engine;
pub mod fleet;
pub mod http;
pub mod platform;
pub mod proxy;
pub mod router;
pub mod service;
pub mod vm_list;
