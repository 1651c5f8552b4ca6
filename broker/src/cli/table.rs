//! Plain-text tables on standard output.

use serde_json::Value;

/// Formats a JSON value as text: strings without quotes, and the items of a list separated by spaces.
pub fn text(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Array(items) => items.iter().map(text).collect::<Vec<_>>().join(" "),
        Value::Null => String::new(),
        other => other.to_string(),
    }
}

/// Prints a table with column headings. Each column is as wide as its widest cell.
pub fn print_table(headings: &[&str], rows: &[Vec<String>]) {
    let width =
        |n: usize| rows.iter().map(|row| row[n].chars().count()).max().unwrap_or(0).max(headings[n].len());
    let widths: Vec<usize> = (0..headings.len()).map(width).collect();
    let print_line = |cells: Vec<&str>| {
        let padded: Vec<String> =
            cells.iter().zip(&widths).map(|(cell, width)| format!("{cell:<width$}")).collect();
        println!("{}", padded.join("  ").trim_end());
    };
    print_line(headings.to_vec());
    for row in rows {
        print_line(row.iter().map(String::as_str).collect());
    }
}

/// Returns a row of cells for each item of a list: the values of `keys`, as text.
pub fn rows(list: &Value, keys: &[&str]) -> Vec<Vec<String>> {
    let row = |item: &Value| keys.iter().map(|key| text(&item[*key])).collect();
    list.as_array().into_iter().flatten().map(row).collect()
}
