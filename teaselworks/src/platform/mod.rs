//! The users' platform: the one place that knows its names, formats and calls.
//!
//! Everything is decoded once into the product's types; nothing here decides anything.

mod configuration;
mod error;
pub mod headers;
mod item;
mod registration;
mod store;
mod upstream;
mod wire;

pub use self::error::{DecodeError, StoreError};
pub use self::item::{DecodedItem, Item, KeyKind, classify_key, decode_item};
pub use self::registration::{registration_key, registration_value};
pub use self::store::{ItemChange, Lease, Snapshot, Store, WatchResult};

/// Environment variable that holds the path of the settings file.
pub const SETTINGS_VARIABLE: &str = "TEASELWORKS_BOOT";
