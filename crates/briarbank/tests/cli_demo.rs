//! Output of `briarbank demo`.

use std::process::Command;

#[test]
fn demo_shows_a_completion_and_a_slip_that_runs_once() {
    let output = Command::new(env!("CARGO_BIN_EXE_briarbank"))
        .arg("demo")
        .output()
        .expect("the binary runs");
    let text = String::from_utf8_lossy(&output.stdout);
    let errors = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(0), "{text}{errors}");
    let rows: Vec<Vec<&str>> = text
        .lines()
        .skip_while(|line| !line.starts_with("request "))
        .skip(1)
        .map(|line| line.split_whitespace().take(5).collect())
        .collect();
    let expected = [
        ["completion", "recife-1", "chat", "200", "completed"],
        ["slip", "salvador-1", "slips", "200", "completed"],
        ["slip", "recife-1", "slips", "200", "completed"],
    ];
    assert_eq!(rows, expected, "{text}");
    assert!(text.contains("The service ran the slip once."), "{text}");
}
