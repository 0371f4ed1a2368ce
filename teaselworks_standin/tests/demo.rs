//! The demonstration ends well.

use std::process::Command;

#[test]
fn every_chat_of_the_demonstration_is_answered_whole() {
    let output = Command::new(env!("CARGO_BIN_EXE_demo")).output().unwrap();
    let told = String::from_utf8_lossy(&output.stdout).into_owned();
    assert!(output.status.success(), "{told}{}", String::from_utf8_lossy(&output.stderr));
    assert!(told.contains("all 32 turns answered whole"), "{told}");
}
