//! The file format of experiments.

use std::fs;
use std::path::{Path, PathBuf};

use serde::Deserialize;
use teaselworks_model::{Load, PlacementMode};

use super::ExperimentError;

/// Definition of an experiment, as read from its file: every load is simulated in every variant.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ExperimentPlan {
    /// Files of the loads, relative to the folder of the experiment's file.
    loads: Vec<PathBuf>,
    /// Variants in which each load is simulated.
    pub variants: Vec<Variant>,
    /// Number of simulations of each load in each variant, with the seeds from 1 on.
    pub seeds: u64,
}

/// A set of changes that is applied to every load; a missing field leaves the load as it is.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Variant {
    /// Name in the table, the CSV file and the plots.
    pub name: String,
    /// Number of routers.
    routers: Option<u32>,
    /// Interval at which routers exchange their observations of the engines.
    exchange_ms: Option<f64>,
    /// Factor by which the rates of all kinds of requests are multiplied during the whole load.
    #[serde(rename = "times")]
    rate_factor: Option<f64>,
    /// How routers choose an engine for a request.
    #[serde(rename = "placing")]
    placement: Option<PlacementMode>,
}

impl ExperimentPlan {
    /// Reads the definition of an experiment from `file`.
    pub(super) fn read(file: &Path) -> Result<Self, ExperimentError> {
        let text = read_text(file)?;
        let options = jsonc_parser::ParseOptions::default();
        jsonc_parser::parse_to_serde_value::<ExperimentPlan>(&text, &options)
            .map_err(|error| ExperimentError::Malformed(file.to_owned(), error.to_string()))
    }

    /// Reads the loads of the experiment in `file`; returns them with their names.
    pub(super) fn loads(&self, file: &Path) -> Result<Vec<(String, Load)>, ExperimentError> {
        let folder = file.parent().unwrap_or(Path::new("."));
        let mut loads = Vec::new();
        for path in &self.loads {
            let path = folder.join(path);
            let load = Load::parse(&read_text(&path)?)
                .map_err(|error| ExperimentError::Malformed(path.clone(), error.to_string()))?;
            let name = path.file_stem().unwrap_or_default().to_string_lossy().into_owned();
            loads.push((name, load));
        }
        Ok(loads)
    }
}

impl Variant {
    /// Returns a copy of `load` with the changes of this variant.
    pub(super) fn apply_to(&self, load: &Load) -> Load {
        let mut load = load.clone();
        load.routers = self.routers.unwrap_or(load.routers);
        load.exchange_ms = self.exchange_ms.or(load.exchange_ms);
        load.placement = self.placement.unwrap_or(load.placement);
        for kind in &mut load.kinds {
            kind.per_s *= self.rate_factor.unwrap_or(1.0);
        }
        load
    }
}

/// Reads a whole text file.
fn read_text(path: &Path) -> Result<String, ExperimentError> {
    fs::read_to_string(path).map_err(|error| ExperimentError::File(path.to_owned(), error))
}
