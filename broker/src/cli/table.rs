//! Tables for people.

use serde_json::Value;

/// A value without quotes; lists with gaps between.
pub fn text(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Array(items) => items.iter().map(text).collect::<Vec<_>>().join(" "),
        Value::Null => String::new(),
        other => other.to_string(),
    }
}

/// Columns under their heads, as wide as what stands in them.
pub fn table(heads: &[&str], rows: &[Vec<String>]) {
    let width =
        |n: usize| rows.iter().map(|row| row[n].chars().count()).max().unwrap_or(0).max(heads[n].len());
    let widths: Vec<usize> = (0..heads.len()).map(width).collect();
    let line = |cells: Vec<&str>| {
        let padded: Vec<String> =
            cells.iter().zip(&widths).map(|(cell, width)| format!("{cell:<width$}")).collect();
        println!("{}", padded.join("  ").trim_end());
    };
    line(heads.to_vec());
    for row in rows {
        line(row.iter().map(String::as_str).collect());
    }
}

/// The values of some keys, by item of a list.
pub fn rows(list: &Value, keys: &[&str]) -> Vec<Vec<String>> {
    let row = |item: &Value| keys.iter().map(|key| text(&item[*key])).collect();
    list.as_array().into_iter().flatten().map(row).collect()
}
