//! Runs the demonstration.

use std::process::Command;

/// Guards against a demonstration that fails, or that succeeds without having run all its turns.
#[test]
fn demonstration_answers_every_turn_completely() {
    let output = Command::new(env!("CARGO_BIN_EXE_demo")).output().unwrap();
    let stdout = String::from_utf8_lossy(&output.stdout).into_owned();
    assert!(output.status.success(), "{stdout}{}", String::from_utf8_lossy(&output.stderr));
    assert!(stdout.contains("all 32 turns got a complete response"), "{stdout}");
}
