//! Experiments, from their file to table, CSV and plots.
#![cfg(feature = "experiment")]

use std::fs;
use std::path::Path;

use teaselworks::experiment::{ExperimentError, play};

const LOAD: &str = include_str!("../../teaselworks_model/loads/calm.jsonc");
const PLAN: &str = r#"{
  // Two variants of one load.
  "loads": ["small.jsonc"],
  "variants": [{ "name": "as it is" }, { "name": "twice", "times": 2, "placing": "least_load" }],
  "seeds": 2,
}"#;

fn play_in(folder: &Path, plan: &str) -> Result<String, ExperimentError> {
    let load = LOAD.replace("\"length_s\": 8", "\"length_s\": 2");
    fs::write(folder.join("small.jsonc"), load).unwrap();
    fs::write(folder.join("plan.jsonc"), plan).unwrap();
    let mut out = Vec::new();
    play(&folder.join("plan.jsonc"), Some(folder), &mut out)?;
    Ok(String::from_utf8(out).unwrap())
}

#[test]
fn an_experiment_writes_a_table_rows_and_a_plot_of_each_load() {
    let folder = tempfile::tempdir().unwrap();
    let table = play_in(folder.path(), PLAN).unwrap();
    let lines: Vec<&str> = table.lines().collect();
    assert_eq!(lines.len(), 3, "{table}");
    assert!(lines[1].starts_with("small") && lines[1].contains("as it is"), "{table}");
    let rows = fs::read_to_string(folder.path().join("experiment.csv")).unwrap();
    // A head, and two variants with two seeds of three kinds each.
    assert_eq!(rows.lines().count(), 1 + 2 * 2 * 3, "{rows}");
    let plot = fs::read_to_string(folder.path().join("small.svg")).unwrap();
    assert!(plot.contains("twice"), "every variant has a line");
    assert_eq!(table, play_in(folder.path(), PLAN).unwrap(), "equal seeds give equal figures");
}

/// Guards against a misspelt field that is passed over, and against errors that name no file.
#[test]
fn a_plan_that_cannot_be_played_names_its_file_and_field() {
    let folder = tempfile::tempdir().unwrap();
    let error = play_in(folder.path(), &PLAN.replace("\"times\"", "\"time\"")).unwrap_err();
    let told = error.to_string();
    assert!(told.contains("plan.jsonc") && told.contains("`time`"), "{told}");
    let error = play_in(folder.path(), &PLAN.replace("small.jsonc", "none.jsonc")).unwrap_err();
    assert!(error.to_string().contains("none.jsonc"), "{error}");
}
