//! The decision module stays within what two engineers can read in an hour.

#[test]
fn the_module_keeps_its_limits() {
    let text = include_str!("../src/aggregator.rs");
    assert!(text.lines().filter(|line| !line.trim().is_empty()).count() <= 1010);
    assert!(text.lines().all(|line| line.chars().count() <= 110));
    assert!(text.lines().next().unwrap().contains("src/interface.rs"));
}
