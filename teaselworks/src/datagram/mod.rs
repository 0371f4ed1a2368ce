//! Datagrams between routers: short messages that need no answer, or may remain without one.
//!
//! Datagrams may be lost. What a router must know is therefore sent to several others, or asked for
//! again.

mod load_message;
mod lookup;
mod message;
mod port;

pub use self::load_message::{LoadMessage, LoadRow};
pub use self::message::{CrashRow, EndRow, EndsRow, Message, decode_message, encode_message};
pub(crate) use self::message::{unpack_keys, unpack_origin};
pub use self::port::DatagramPort;
