//! The capacity page: inputs, formulas, and the page made from the recorded slopes.

mod figures;
mod inputs;
mod moments;
mod node;
mod number;
mod page;
mod tables;

pub use inputs::{BUDGET, Budget, Inputs};
pub use node::Node;
pub use number::number;
pub use page::{PageError, page};
