//! The adapter's line protocol: errors on malformed input, exit codes, and independence of the instances.

use std::io::Write;
use std::process::{Command, Output, Stdio};

fn run_adapter(input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_simulator-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    // Writing fails if the process ends early and closes its input. The tests check only its output.
    let _ = child.stdin.take().unwrap().write_all(input.as_bytes());
    child.wait_with_output().unwrap()
}

/// The `START` line of an instance.
fn start_line() -> String {
    "START 7 replicas_of_me=3 granularity_ms=5.0 domain.cells=2 domain.reach=2 domain.slabs=2 domain.batch=1 \
     domain.call_cost_ms=0 limits.max_attempts=3 limits.parallel_tries=true registry_mode=automatic \
     invariants.ask_every_ms=10000 invariants.answer_slack_ms=20 invariants.drain_grace_ms=500 \
     invariants.cold_from=0.2 invariants.cold_ms=9000 invariants.overload_factor=2 invariants.fall_ms=2000 \
     limits.retry_after=true limits.max_retry_after_ms=500 categories.count=1 categories.0.name=look \
     categories.0.aim_ms=500 categories.0.deadline_ms=2000 categories.0.late_share=0 categories.0.importance=1 \
     categories.0.repeat=safe domain.class_need=1 domain.min_share=1 domain.class_partial=1 domain.follow_up=0 \
     azs=a,b my_zone=a some.new_key=5"
        .to_owned()
}

/// The lines that start an instance with two servers and submit a query of two parts.
fn start_with_query(router: &str) -> String {
    format!(
        "SELECT {router}\n{}\nSNAPSHOT_ROWS 0 2\nNODE 10.0.0.1:1 - std a ready 0 1\n\
         NODE 10.0.0.2:1 5.0 std b ready 1 1\nTARGETS C 0 1\n\
         ORDER 11 look - - 2000.0 - 1 -1 2 0\nORDER 12 look - - 2000.0 - 1 0 0.5 0\n\
         ORDER 13 look - - 2000.0 - 1 1 0.5 0\n",
        start_line()
    )
}

fn stdout(output: &Output) -> String {
    String::from_utf8(output.stdout.clone()).unwrap()
}

#[test]
fn a_query_is_served_and_the_end_of_input_is_a_clean_exit() {
    let input = format!("CLOCK 0.0 1\n{}EOF_BATCH\n", start_with_query("router-1"));
    let output = run_adapter(&input);
    assert!(output.status.success());
    let text = stdout(&output);
    assert_eq!(text.matches("SEND ").count(), 2, "{text}");
    assert!(text.starts_with("SOURCE router-1\n") && text.ends_with("DONE 1\n"), "{text}");
}

#[test]
fn withdrawals_are_written_only_where_the_settings_allow_them() {
    for allowed in [true, false] {
        let settings = format!("some.new_key=5 limits.may_cancel={allowed} limits.conn_idle_ms=15000.0");
        let start = start_with_query("router-1").replace("some.new_key=5", &settings);
        let second_batch = "CLOCK 495.0 2\nSELECT router-1\nRING 0\nEOF_BATCH\n";
        let text = stdout(&run_adapter(&format!("CLOCK 0.0 1\n{start}EOF_BATCH\n{second_batch}")));
        let withdrawals = text.matches("STOP_ATTEMPT ").count();
        assert!(text.contains("TURN_AWAY 11 500.000"), "{text}");
        assert_eq!(withdrawals, if allowed { 2 } else { 0 }, "{text}");
    }
}

#[test]
fn an_instance_acts_the_same_beside_another() {
    let alone = stdout(&run_adapter(&format!("CLOCK 0.0 1\n{}EOF_BATCH\n", start_with_query("router-1"))));
    let with_another = stdout(&run_adapter(&format!(
        "CLOCK 0.0 1\n{}{}EOF_BATCH\n",
        start_with_query("router-2"),
        start_with_query("router-1")
    )));
    let expected = alone.strip_suffix("DONE 1\n").unwrap();
    assert!(with_another.contains(expected), "{with_another}");
}

#[test]
fn an_unknown_event_is_skipped_with_a_message() {
    let output =
        run_adapter(&format!("CLOCK 0.0 1\n{}NOVELTY 1 2\nEOF_BATCH\n", start_with_query("router-1")));
    assert!(output.status.success());
    assert!(String::from_utf8_lossy(&output.stderr).contains("NOVELTY"));
}

#[test]
fn malformed_input_ends_with_an_error_that_names_line_field_and_expectation() {
    let without_cells = start_line().replace("domain.cells=2", "domain.cell=2");
    let cases = [
        ("CLOCK soon 1\nEOF_BATCH\n".to_owned(), ["line 1", "clock", "number"]),
        (
            format!("CLOCK 0 1\n{}DONE 12 10.0.0.1:1 0 1 x success\n", start_with_query("r")),
            ["line 11", "wait_time_ms", "x"],
        ),
        (format!("CLOCK 0 1\nSELECT r\n{without_cells}\n"), ["line 3", "domain.cells", "missing"]),
        (
            format!("CLOCK 0 1\n{}TARGETS Q 0 1\n", start_with_query("r")),
            ["line 11", "form", "expected D, F, C or X"],
        ),
        (
            format!("CLOCK 0 1\n{}DONE 12 9.9.9.9:1 0 1 3 success\n", start_with_query("r")),
            ["line 11", "node", "no list"],
        ),
        ("CLOCK 0 1\nSELECT r\nRING 1\n".to_owned(), ["line 3", "router", "started"]),
        ("CLOCK 0 1\n".to_owned(), ["line 2", "ended", "EOF_BATCH"]),
        ("RING 1\n".to_owned(), ["line 1", "RING", "CLOCK"]),
    ];
    for (input, words) in cases {
        let output = run_adapter(&input);
        let message = String::from_utf8_lossy(&output.stderr);
        assert!(!output.status.success(), "{input}");
        assert!(words.iter().all(|word| message.contains(word)), "{message} should contain {words:?}");
        assert!(!message.contains("panicked"), "{message}");
        assert_eq!(stdout(&output), "", "no part of a reply is written");
    }
}

#[test]
fn malformed_limits_end_with_an_error_that_names_them() {
    for (key, value) in [("limits.conn_idle_ms", "soon"), ("limits.may_cancel", "perhaps")] {
        let start = start_with_query("router-1").replace("some.new_key=5", &format!("{key}={value}"));
        let output = run_adapter(&format!("CLOCK 0.0 1\n{start}EOF_BATCH\n"));
        assert!(!output.status.success());
        let message = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(message.contains(key) && message.contains(value), "{message}");
    }
}
