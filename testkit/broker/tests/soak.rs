//! A short soak: the same verdict every time, though not the same figures.

use std::process::Command;

#[test]
fn blocks_move_under_load_and_faults_and_no_promise_is_broken() {
    let soak = Command::new(env!("CARGO_BIN_EXE_soak"))
        .args(["moves", "--seconds", "10", "--seed", "11", "--rate", "40"])
        .output()
        .expect("the soak starts");
    let line = String::from_utf8_lossy(&soak.stdout);
    let complaints = String::from_utf8_lossy(&soak.stderr);
    assert!(soak.status.success(), "seed 11: {line}\n{complaints}");
    let figure = |key: &str| {
        let pair = line.split_whitespace().find_map(|pair| pair.strip_prefix(key)?.strip_prefix('='));
        pair.and_then(|text| text.parse::<u64>().ok()).unwrap_or(0)
    };
    assert!(figure("queries") > 150 && figure("answered") * 2 > figure("queries"), "{line}");
    assert!(figure("moves") > 5 && figure("splits") > 0, "{line}");
}
