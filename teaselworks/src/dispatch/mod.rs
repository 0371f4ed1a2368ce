//! The entry's part: chooses candidates, makes attempts and puts the answer together.

mod affinity;
mod answer;
mod attempt;
mod dispatcher;
mod doubt;
mod entry;
mod feed;
mod once;
mod placement;
mod progress;
mod recovery;
mod refusal;
mod request;
mod retry;
mod routing;
mod spent;
mod whole;

pub use answer::{Answer, AnswerPart};
pub use dispatcher::{Dispatcher, DispatcherParts};
pub use entry::{CallWork, ChatWork, Entry, Work};
pub use feed::{CallBody, REPLAY_SIZE_BYTES, StreamedBody};
pub use placement::Placement;
pub use routing::{Routing, serves_of, serves_of_service};
