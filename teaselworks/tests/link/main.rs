//! Links between two routers in one process, directly or through a fault-injecting proxy.

mod control;
mod failures;
mod fixture;
mod pieces;
mod protocol;
mod streams;
