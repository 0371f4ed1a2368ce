//! Exchange of offered load between the routers of the fleet.
//!
//! Routers are divided into groups. Each reports its load to the aggregator of its group, which
//! answers with the total of the fleet; aggregators send each other the totals of the routers that
//! report to them. Every message may be lost, repeated or late.

mod aggregator;
mod message;
mod part;
mod reporter;
mod router;
mod table;
mod timing;
mod topology;

pub use self::message::{ExchangeKind, ExchangeMessage, ReportedLoad, service_key};
pub use self::router::Exchange;
