//! Divides the slots of an overloaded service between ranks and workspaces, over all routers.

mod admission;
mod class;
mod exchange;
mod offered_row;

pub use self::admission::Admission;
pub use self::class::{Class, WorkspaceKey};
pub use self::exchange::{Exchange, ExchangeKind, ExchangeMessage, ServiceLoad, service_key};
pub use self::offered_row::{OfferedRow, RankLoad, Totals};
