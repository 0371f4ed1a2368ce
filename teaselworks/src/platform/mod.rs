//! Adapter to the users' platform: its store, its HTTP headers and its data formats.
//!
//! This is the only module that depends on the platform's names, formats and calls. Each value is
//! decoded once into the router's own types; routing decisions are made in other modules.

mod configuration;
mod error;
pub mod headers;
mod item;
mod origins;
mod registration;
mod store;
mod upstream;
mod wire;

pub use self::error::{DecodeError, StoreError};
pub use self::item::{
    Item, ItemValue, KeyKind, ListedEnds, ORIGINS_KEY, blocked_part_key, classify_key, decode_item,
    ended_request_key,
};
pub use self::origins::encode_origins;
pub use self::registration::{registration_key, registration_value};
pub use self::store::{ItemChange, Lease, Snapshot, Store, WatchResult};

/// Environment variable that contains the path of the settings file.
pub const SETTINGS_VARIABLE: &str = "TEASELWORKS_BOOT";
