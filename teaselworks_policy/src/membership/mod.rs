//! Which routers are live, and which of them owns a replica or a workspace.

mod event;
mod learning;
mod machine;
mod message;
mod ownership;
mod periodic;
mod prober;
mod reading;
mod record;
mod rumours;
mod standing;
mod sync;
mod table;
mod timing;
mod upstreams;
mod view;

pub use event::{Action, Answer, Call, Evidence, Identity, ListedState, VmList};
pub use machine::Membership;
pub use message::{Contact, MAX_UPDATES, Message, MessageKind};
pub use ownership::{Duty, OwnershipClock};
pub use periodic::TICKS_AN_INTERVAL;
pub use prober::CallId;
pub use reading::TURNS_A_POLL;
pub use record::{Details, Liveness, MAX_FLAPS, Record, Update};
pub use rumours::Rumours;
pub use standing::Standing;
pub use timing::Timing;
pub use upstreams::{LEAVING_HOLD, MAX_MARKS, UpstreamBoard, UpstreamMark};
pub use view::{Place, RouterInfo, RouterState, View, copy_holder_of, owner_of, peer_elsewhere};
