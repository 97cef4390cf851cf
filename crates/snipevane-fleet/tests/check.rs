//! The daemon validates its settings first. It prints every finding and reports the result in its
//! exit code.

#![allow(clippy::expect_used, reason = "a failed step of a test ends it")]

use std::process::{Command, Output};

use snipevane_adapter_standin::VALID_SETTINGS;

fn run(name: &str, text: &str, arguments: &[&str]) -> Output {
    let file = std::env::temp_dir().join(format!("check-{name}-{}.toml", std::process::id()));
    std::fs::write(&file, text).expect("the settings file");
    let output = Command::new(env!("CARGO_BIN_EXE_snipevane-fleet"))
        .args(arguments)
        .env("SNIPEVANE_SETTINGS", &file)
        .output()
        .expect("the daemon");
    let _ = std::fs::remove_file(&file);
    output
}

#[test]
fn valid_settings_pass() {
    let output = run("sound", VALID_SETTINGS, &["--check"]);
    assert_eq!(output.status.code(), Some(0));
}

#[test]
fn invalid_settings_end_the_process_with_all_findings() {
    let text = VALID_SETTINGS
        .replace("ip = \"127.0.0.1\"", "ip = 5")
        .replace("127.0.0.1:8009", "nowhere")
        .replace("frontend", "front");
    let output = run("bad", &text, &[]);
    assert_eq!(output.status.code(), Some(2));
    let printed = String::from_utf8_lossy(&output.stderr).into_owned();
    for place in ["ip", "bindAddresses.frontend", "platform.address"] {
        assert!(printed.contains(&format!("  {place}: ")), "{printed}");
    }
}

#[test]
fn text_that_is_not_toml_is_refused() {
    let output = run("text", "= nothing", &["--check"]);
    assert_eq!(output.status.code(), Some(2));
}

#[test]
fn an_unknown_flag_is_refused() {
    let output = run("flag", VALID_SETTINGS, &["--nonsense"]);
    assert_eq!(output.status.code(), Some(2));
}
