//! `gingerledge blocks validate`: proves a map that stands in a file, and the passage to it from another, before anybody
//! follows it. It reads files and speaks to nobody.

use std::io::{Read, Write};
use std::path::Path;

use gingerledge_blocks::validate::{faults, transition, Bounds, Document, Fault, Finding, Names, Transition};
use serde_json::{json, Value};

/// Says all that is wrong; fails if anything is.
pub fn run(file: &Path, against: Option<&Path>, as_json: bool) -> Result<(), String> {
    let (bounds, mut names) = (Bounds::default(), Names::default());
    let new = read(file, &mut names, &bounds)?;
    let old = against.map(|path| read(path, &mut names, &bounds).map(|old| (path, old))).transpose()?;
    let text = |store| names.text(store);
    let mut found: Vec<(&Path, Finding)> = Vec::new();
    let mut proved = Transition::default();
    found.extend(faults(&new.draft, &text).into_iter().map(|finding| (file, finding)));
    if let Some((path, old)) = &old {
        // What the old map lacks may be why there is a new one; only what leaves its holders unclear counts.
        let unclear = faults(&old.draft, &text).into_iter().filter(|finding| finding.fault.is_ambiguous());
        found.extend(unclear.map(|finding| (*path, finding)));
        if let Some((held, next)) = old.version.zip(new.version) {
            if held.checked_add(1) != Some(next) {
                let fault = Fault::Version { held, found: next };
                found.push((file, Finding { fault, keys: None, blocks: Vec::new(), lines: Vec::new() }));
            }
        }
        proved = transition(&old.draft, &new.draft, &text);
        found.extend(proved.findings.drain(..).map(|finding| (file, finding)));
    }
    let mut lines = String::new();
    if as_json {
        let fault = |(path, finding): &(&Path, Finding)| {
            let mut value = serde_json::to_value(finding).unwrap_or(Value::Null);
            value["file"] = path.display().to_string().into();
            value["text"] = finding.to_string().into();
            value
        };
        let faults: Vec<Value> = found.iter().map(fault).collect();
        let (sound, blocks) = (faults.is_empty(), new.draft.rows.len());
        let all = json!({ "sound": sound, "blocks": blocks, "faults": faults, "waits": proved.waits });
        lines = format!("{all}\n");
    } else {
        for (path, finding) in &found {
            lines += &format!("{}: {finding}\n", path.display());
        }
        for wait in &proved.waits {
            lines += &format!(
                "{}: keys {}: block {}: entries wait while {} lets go and {} takes over, and are told `later`\n",
                file.display(),
                wait.keys,
                wait.block.0,
                wait.from.join(", "),
                wait.to.join(", ")
            );
        }
        if found.is_empty() {
            lines += &format!("{}: sound, {} blocks\n", file.display(), new.draft.rows.len());
        }
    }
    // A reader that has seen enough closes its end: the verdict stays what it is.
    let _ = std::io::stdout().write_all(lines.as_bytes());
    match found.len() {
        0 => Ok(()),
        1 => Err(format!("{}: 1 fault", file.display())),
        n => Err(format!("{}: {n} faults", file.display())),
    }
}

fn read(path: &Path, names: &mut Names, bounds: &Bounds) -> Result<Document, String> {
    let place = |fault: &dyn std::fmt::Display| format!("{}: {fault}", path.display());
    let mut text = String::new();
    // One byte more than may be, so that what is too long is seen to be.
    let most = bounds.bytes as u64 + 1;
    let file = std::fs::File::open(path).map_err(|fault| place(&fault))?;
    file.take(most).read_to_string(&mut text).map_err(|fault| place(&fault))?;
    Document::read(&text, names, bounds).map_err(|fault| place(&fault))
}
