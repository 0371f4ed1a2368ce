//! Reading of JSON values with numbers as the platform writes them.

use std::time::Duration;

use serde::de::DeserializeOwned;
use serde::{Deserialize, Deserializer};

use super::DecodeError;

/// Longest time that a value may state: a day.
const LONGEST_MS: f64 = 86_400_000.0;

/// Reads a value; the error names the field.
pub(super) fn read<T: DeserializeOwned>(value: &[u8]) -> Result<T, DecodeError> {
    let mut json = serde_json::Deserializer::from_slice(value);
    let read = serde_path_to_error::deserialize(&mut json)
        .map_err(|error| DecodeError::new(error.path().to_string(), error.inner()))?;
    json.end().map_err(|error| DecodeError::new("", error))?;
    Ok(read)
}

/// Reads a time in milliseconds, which is written whole or with a fraction.
pub(super) fn milliseconds<'de, D: Deserializer<'de>>(from: D) -> Result<Duration, D::Error> {
    let ms = f64::deserialize(from)?;
    if !(0.0..=LONGEST_MS).contains(&ms) {
        return Err(serde::de::Error::custom("is no time in milliseconds"));
    }
    Ok(Duration::from_secs_f64(ms / 1e3))
}

/// Reads a whole number that may be written with a fraction of zero; what is out of range is cut.
pub(super) fn whole<'de, D: Deserializer<'de>>(from: D) -> Result<u64, D::Error> {
    let number = f64::deserialize(from)?;
    if number.is_nan() {
        return Err(serde::de::Error::custom("is no number"));
    }
    // A cast from a float saturates.
    Ok(number as u64)
}

/// Reads a number as [`whole`] does, into a type that is smaller.
pub(super) fn small<'de, D: Deserializer<'de>>(from: D) -> Result<u32, D::Error> {
    Ok(u32::try_from(whole(from)?).unwrap_or(u32::MAX))
}

/// Reads a field that may be left out; one that is there must have a value.
pub(super) fn present<'de, D: Deserializer<'de>, T: Deserialize<'de>>(
    from: D,
) -> Result<Option<T>, D::Error> {
    T::deserialize(from).map(Some)
}
