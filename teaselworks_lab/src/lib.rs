//! Demonstration and measurement programs, and what they share.

pub mod capacity;
pub mod experiment;
pub mod own_program;
pub mod slopes;
pub mod spread;
