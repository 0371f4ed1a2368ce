//! The file of an experiment.

use std::fs;
use std::path::{Path, PathBuf};

use serde::Deserialize;
use teaselworks_model::{Load, Placing};

use super::ExperimentError;

/// What is played.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// Files of loads, beside the file of the experiment.
    loads: Vec<PathBuf>,
    /// Variants of each load.
    pub variants: Vec<Variant>,
    /// Number of seeds for each.
    pub seeds: u64,
}

/// A change of every load.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Variant {
    /// Name.
    pub name: String,
    /// Routers.
    routers: Option<u32>,
    /// Time between two exchanges among the routers.
    exchange_ms: Option<f64>,
    /// Multiple of the usual requests, all the time.
    times: Option<f64>,
    /// How routers place requests.
    placing: Option<Placing>,
}

impl Plan {
    /// Reads the file of an experiment.
    pub(super) fn read(file: &Path) -> Result<Self, ExperimentError> {
        let text = read(file)?;
        let options = jsonc_parser::ParseOptions::default();
        jsonc_parser::parse_to_serde_value::<Plan>(&text, &options)
            .map_err(|error| ExperimentError::Malformed(file.to_owned(), error.to_string()))
    }

    /// Reads the loads, with their names.
    pub(super) fn loads(&self, file: &Path) -> Result<Vec<(String, Load)>, ExperimentError> {
        let folder = file.parent().unwrap_or(Path::new("."));
        let mut loads = Vec::new();
        for path in &self.loads {
            let path = folder.join(path);
            let load = Load::parse(&read(&path)?)
                .map_err(|error| ExperimentError::Malformed(path.clone(), error.to_string()))?;
            let name = path.file_stem().unwrap_or_default().to_string_lossy().into_owned();
            loads.push((name, load));
        }
        Ok(loads)
    }
}

impl Variant {
    /// Returns a load with the change.
    pub(super) fn of(&self, load: &Load) -> Load {
        let mut load = load.clone();
        load.routers = self.routers.unwrap_or(load.routers);
        load.exchange_ms = self.exchange_ms.or(load.exchange_ms);
        load.placing = self.placing.unwrap_or(load.placing);
        for kind in &mut load.kinds {
            kind.per_s *= self.times.unwrap_or(1.0);
        }
        load
    }
}

fn read(path: &Path) -> Result<String, ExperimentError> {
    fs::read_to_string(path).map_err(|error| ExperimentError::File(path.to_owned(), error))
}
