//! Load of replicas, counted in tokens of work: what is admitted, and how far from the mean.

pub mod bound;
pub mod foreign;
pub mod mean;
pub mod schedule;
pub mod work;

pub use bound::{Admission, BoundPolicy, ReplicaLoad};
pub use mean::{LoadSample, LoadTable, MeanEstimate};
pub use schedule::ReportSchedule;
pub use work::Work;
