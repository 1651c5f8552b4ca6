//! The subcommand `gingerledge blocks validate`: validates a block map in a file, and the transition to it from another map,
//! before it is used. It only reads files and makes no connections.

use std::io::{Read, Write};
use std::path::Path;

use gingerledge_blocks::validate::{faults, transition, Bounds, Document, Fault, Finding, Names, Transition};
use serde_json::{json, Value};

/// Prints all faults.
///
/// # Errors
///
/// If there is any fault, or a file can't be read.
pub fn run(file: &Path, against: Option<&Path>, as_json: bool) -> Result<(), String> {
    let (bounds, mut names) = (Bounds::default(), Names::default());
    let new = read(file, &mut names, &bounds)?;
    let old = against.map(|path| read(path, &mut names, &bounds).map(|old| (path, old))).transpose()?;
    let store_name = |store| names.text(store);
    let mut findings: Vec<(&Path, Finding)> = Vec::new();
    let mut checked_transition = Transition::default();
    findings.extend(faults(&new.draft, &store_name).into_iter().map(|finding| (file, finding)));
    if let Some((path, old)) = &old {
        // Faults of the old map may be the reason for the new one, so only those that make its holders ambiguous are
        // reported.
        let ambiguous =
            faults(&old.draft, &store_name).into_iter().filter(|finding| finding.fault.is_ambiguous());
        findings.extend(ambiguous.map(|finding| (*path, finding)));
        if let Some((held, next)) = old.version.zip(new.version) {
            if held.checked_add(1) != Some(next) {
                let fault = Fault::Version { held, found: next };
                findings.push((file, Finding { fault, keys: None, blocks: Vec::new(), lines: Vec::new() }));
            }
        }
        checked_transition = transition(&old.draft, &new.draft, &store_name);
        findings.extend(checked_transition.findings.drain(..).map(|finding| (file, finding)));
    }
    let mut lines = String::new();
    if as_json {
        let fault = |(path, finding): &(&Path, Finding)| {
            let mut value = serde_json::to_value(finding).unwrap_or(Value::Null);
            value["file"] = path.display().to_string().into();
            value["text"] = finding.to_string().into();
            value
        };
        let faults: Vec<Value> = findings.iter().map(fault).collect();
        let (sound, blocks) = (faults.is_empty(), new.draft.rows.len());
        let all =
            json!({ "sound": sound, "blocks": blocks, "faults": faults, "waits": checked_transition.waits });
        lines = format!("{all}\n");
    } else {
        for (path, finding) in &findings {
            lines += &format!("{}: {finding}\n", path.display());
        }
        for wait in &checked_transition.waits {
            lines += &format!(
                "{}: keys {}: block {}: entries wait while {} lets go and {} takes over, and are told `later`\n",
                file.display(),
                wait.keys,
                wait.block.0,
                wait.from.join(", "),
                wait.to.join(", ")
            );
        }
        if findings.is_empty() {
            lines += &format!("{}: sound, {} blocks\n", file.display(), new.draft.rows.len());
        }
    }
    // A reader such as `head` may close the pipe early; this must not change the result.
    let _ = std::io::stdout().write_all(lines.as_bytes());
    match findings.len() {
        0 => Ok(()),
        1 => Err(format!("{}: 1 fault", file.display())),
        n => Err(format!("{}: {n} faults", file.display())),
    }
}

fn read(path: &Path, names: &mut Names, bounds: &Bounds) -> Result<Document, String> {
    let with_path = |fault: &dyn std::fmt::Display| format!("{}: {fault}", path.display());
    let mut text = String::new();
    // Reads one byte more than the limit, so that a file that is too long is detected.
    let max_bytes = bounds.bytes as u64 + 1;
    let file = std::fs::File::open(path).map_err(|fault| with_path(&fault))?;
    file.take(max_bytes).read_to_string(&mut text).map_err(|fault| with_path(&fault))?;
    Document::read(&text, names, bounds).map_err(|fault| with_path(&fault))
}
