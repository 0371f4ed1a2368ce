//! The data file: every measured slope, and the run that measured it.

use std::fmt;
use std::fs;
use std::io;
use std::path::Path;

use jiff::Timestamp;
use serde::{Deserialize, Serialize};

use super::fit::Fit;
use super::name::SlopeName;
use super::process::load_average;

/// Slopes of the newest run of each part.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Recording {
    /// Processors of the machine.
    pub processors: usize,
    /// Every slope, in the order of [`SlopeName::ALL`].
    pub slopes: Vec<Slope>,
}

/// One measured slope.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Slope {
    /// What was measured.
    pub name: SlopeName,
    /// Command that measured it.
    pub command: String,
    /// Day and hour of the run, in UTC.
    pub date: String,
    /// Measured points, by size.
    pub points: Vec<Point>,
    /// Line through them.
    pub fit: Fit,
}

/// One measured point.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Point {
    /// Size, in the slope's input.
    pub size: f64,
    /// Value, in the slope's unit.
    pub value: f64,
    /// Load average of the machine over the minute before the end of the measurement.
    pub load_average: f64,
}

impl Point {
    /// Makes a point that was measured just now.
    pub fn new(size: f64, value: f64) -> Self {
        Self { size, value, load_average: load_average() }
    }
}

impl Slope {
    /// Fits a line to points that were measured just now.
    pub fn new(name: SlopeName, command: &str, points: Vec<Point>) -> Self {
        let pairs: Vec<_> = points.iter().map(|point| (point.size, point.value)).collect();
        let date = Timestamp::now().strftime("%F %H:00").to_string();
        Self { name, command: command.into(), date, points, fit: Fit::of(&pairs) }
    }

    /// Returns the largest measured size.
    pub fn largest_size(&self) -> f64 {
        self.points.iter().map(|point| point.size).fold(0.0, f64::max)
    }

    /// Returns the value measured at the largest size.
    pub fn largest_value(&self) -> f64 {
        let largest = self.points.iter().max_by(|a, b| a.size.total_cmp(&b.size));
        largest.map_or(f64::NAN, |point| point.value)
    }

    /// Returns the mean of the measured values.
    pub fn mean(&self) -> f64 {
        self.points.iter().map(|point| point.value).sum::<f64>() / self.points.len() as f64
    }

    /// Returns the value measured at a size; NaN where there is none.
    pub fn value_at(&self, size: f64) -> f64 {
        let found = self.points.iter().find(|point| point.size == size);
        found.map_or(f64::NAN, |point| point.value)
    }

    /// Tells whether the line rises over the measured sizes.
    pub fn rises(&self) -> bool {
        let smallest = self.points.iter().map(|point| point.size).fold(f64::MAX, f64::min);
        self.fit.rises(smallest, self.largest_size())
    }
}

/// Why a recording could not be used.
#[derive(Debug)]
pub enum RecordingError {
    /// The file could not be read or written.
    File(io::Error),
    /// The file is no recording.
    Format(serde_json::Error),
    /// A slope is missing.
    Missing(SlopeName),
}

impl fmt::Display for RecordingError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            RecordingError::File(error) => error.fmt(f),
            RecordingError::Format(error) => error.fmt(f),
            RecordingError::Missing(name) => write!(f, "the slope {name} was not measured"),
        }
    }
}

impl std::error::Error for RecordingError {}

impl From<io::Error> for RecordingError {
    fn from(error: io::Error) -> Self {
        RecordingError::File(error)
    }
}

impl From<serde_json::Error> for RecordingError {
    fn from(error: serde_json::Error) -> Self {
        RecordingError::Format(error)
    }
}

impl Recording {
    /// Returns a slope; fails when the run did not measure it.
    pub fn slope(&self, name: SlopeName) -> Result<&Slope, RecordingError> {
        let found = self.slopes.iter().find(|slope| slope.name == name);
        found.ok_or(RecordingError::Missing(name))
    }

    /// Puts slopes in the place of earlier ones of the same names.
    pub fn replace(&mut self, slopes: Vec<Slope>) {
        self.slopes.retain(|held| slopes.iter().all(|slope| slope.name != held.name));
        self.slopes.extend(slopes);
        self.slopes.sort_by_key(|slope| slope.name as usize);
    }

    /// Returns the least and the highest load average at any point.
    pub fn load_range(&self) -> (f64, f64) {
        let points = self.slopes.iter().flat_map(|slope| &slope.points);
        let loads = points.map(|point| point.load_average);
        loads.fold((f64::MAX, 0.0), |(least, most), load| (least.min(load), most.max(load)))
    }

    /// Reads a recording; fails when the file is missing or is none.
    pub fn read(path: &Path) -> Result<Self, RecordingError> {
        Ok(serde_json::from_slice(&fs::read(path)?)?)
    }

    /// Writes the recording, and the folders above it.
    pub fn write(&self, path: &Path) -> Result<(), RecordingError> {
        if let Some(folder) = path.parent() {
            fs::create_dir_all(folder)?;
        }
        let mut text = serde_json::to_string_pretty(self)?;
        text.push('\n');
        Ok(fs::write(path, text)?)
    }
}
