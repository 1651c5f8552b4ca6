//! Readings that anyone can work out: what a store answers is held against them.

use gingerledge_blocks::{Entry, Span};

/// A weigher's reading, in grams.
pub fn grams(weigher: u64) -> u64 {
    18_000 + weigher.wrapping_mul(0x9E37_79B9_7F4A_7C15) % 40_000
}

/// The entry that holds it.
pub fn reading(weigher: u64) -> Entry {
    Entry { key: format!("r-{weigher}"), weigher, value: grams(weigher).to_le_bytes().to_vec() }
}

/// The answer for weighers: which, how many readings were found, and their sum.
pub fn answer(span: Span, count: u64, sum: u64) -> String {
    format!("{}-{} {count} {sum}", span.first, span.end)
}

/// What the answer has to be.
pub fn expected(span: Span) -> String {
    answer(span, span.end - span.first, (span.first..span.end).map(grams).sum())
}

/// A weigher as a feature.
pub fn feature(weigher: u64, grams: u64) -> serde_json::Value {
    let (lon, lat) = place(weigher);
    serde_json::json!({ "type": "Feature", "id": format!("w-{weigher:06}"),
        "geometry": { "type": "Point", "coordinates": [lon, lat] },
        "properties": { "kg": grams as f64 / 1000.0 } })
}

/// Where it stands: along the lakes, a hundredth of a degree from the one before.
pub fn place(weigher: u64) -> (f64, f64) {
    (-92.0 + weigher as f64 / 100.0, 44.5)
}

/// The box around some weighers.
pub fn extent(span: Span) -> [f64; 4] {
    [place(span.first).0, 44.0, place(span.end - 1).0, 45.0]
}
