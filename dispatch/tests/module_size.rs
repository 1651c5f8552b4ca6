//! The decision module stays within what two engineers can read in an hour: in all, and file by file.

use std::path::Path;

const LINES_IN_ALL: usize = 1010;
const LINES_A_FILE: usize = 400;

#[test]
fn the_module_keeps_its_limits() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).parent().unwrap();
    let read = |path: &Path| std::fs::read_to_string(path).unwrap();
    let folder = std::fs::read_dir(root.join("dispatch/src/aggregator")).unwrap();
    let mut files: Vec<_> = folder.map(|file| file.unwrap().path()).collect();
    files.sort();
    let deploy = read(&root.join("deploy/balancer.toml"));
    let policy = deploy.lines().find(|line| line.starts_with("policy = ")).unwrap();
    assert_eq!(policy.matches(".rs\"").count(), files.len(), "every file of the module is counted: {policy}");
    let mut in_all = 0;
    for file in files {
        let name = file.strip_prefix(root).unwrap().display().to_string();
        assert!(policy.contains(&format!("\"{name}\"")), "{name} is missing under `policy`");
        let text = read(&file);
        assert!(text.lines().count() <= LINES_A_FILE, "{name}");
        assert!(text.lines().all(|line| line.chars().count() <= 110), "{name}");
        in_all += text.lines().filter(|line| !line.trim().is_empty()).count();
    }
    assert!(in_all <= LINES_IN_ALL, "{in_all} lines");
    assert!(read(&root.join("dispatch/src/aggregator/mod.rs"))
        .lines()
        .next()
        .unwrap()
        .contains("src/interface.rs"));
}
