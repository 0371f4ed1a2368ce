//! Experiments: from their file to the table, the CSV file and the plots.
#![cfg(feature = "experiment")]

use std::fs;
use std::path::Path;

use teaselworks::experiment::{ExperimentError, run_experiment};

const LOAD: &str = include_str!("../../teaselworks_model/loads/calm.jsonc");
const PLAN: &str = r#"{
  // Two variants of one load.
  "loads": ["small.jsonc"],
  "variants": [{ "name": "as it is" }, { "name": "twice", "times": 2, "placing": "least_load" }],
  "seeds": 2,
}"#;

/// Writes the experiment `plan` and its load to `folder` and runs it there; returns the table.
fn run_in(folder: &Path, plan: &str) -> Result<String, ExperimentError> {
    let load = LOAD.replace("\"length_s\": 8", "\"length_s\": 2");
    fs::write(folder.join("small.jsonc"), load).unwrap();
    fs::write(folder.join("plan.jsonc"), plan).unwrap();
    let mut out = Vec::new();
    run_experiment(&folder.join("plan.jsonc"), Some(folder), &mut out)?;
    Ok(String::from_utf8(out).unwrap())
}

/// Guards against output that lacks a load, variant, seed or kind of request, and against results
/// that differ between runs with equal seeds.
#[test]
fn an_experiment_writes_a_table_a_csv_file_and_a_plot_of_each_load() {
    let folder = tempfile::tempdir().unwrap();
    let table = run_in(folder.path(), PLAN).unwrap();
    let lines: Vec<&str> = table.lines().collect();
    assert_eq!(lines.len(), 3, "{table}");
    assert!(lines[1].starts_with("small") && lines[1].contains("as it is"), "{table}");
    let rows = fs::read_to_string(folder.path().join("experiment.csv")).unwrap();
    // A header, and a row for each of two variants, two seeds and three kinds of requests.
    assert_eq!(rows.lines().count(), 1 + 2 * 2 * 3, "{rows}");
    let plot = fs::read_to_string(folder.path().join("small.svg")).unwrap();
    assert!(plot.contains("twice"), "the plot lacks the variant `twice`");
    assert_eq!(table, run_in(folder.path(), PLAN).unwrap(), "equal seeds gave different tables");
}

/// Guards against misspelt fields that are silently ignored, and against errors that do not name
/// the file.
#[test]
fn the_error_of_an_invalid_plan_names_its_file_and_field() {
    let folder = tempfile::tempdir().unwrap();
    let error = run_in(folder.path(), &PLAN.replace("\"times\"", "\"time\"")).unwrap_err();
    let message = error.to_string();
    assert!(message.contains("plan.jsonc") && message.contains("`time`"), "{message}");
    let error = run_in(folder.path(), &PLAN.replace("small.jsonc", "none.jsonc")).unwrap_err();
    assert!(error.to_string().contains("none.jsonc"), "{error}");
}
