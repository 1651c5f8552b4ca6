//! The parameters of an items request, read and checked: `bbox`, `datetime`, `limit` and the cursor of
//! a next link.

use std::fmt;

use crate::clock::Millis;
use crate::geojson::Bbox;

/// What is wrong with a request; its client reads it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Bad(pub String);

impl fmt::Display for Bad {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// Reads `bbox`: four numbers, or six with heights, which blocks do not have.
pub fn bbox(text: &str) -> Result<Bbox, Bad> {
    let bad = |fault: &str| Bad(format!("bbox: {fault}"));
    let numbers: Option<Vec<f64>> =
        text.split(',').map(|n| n.trim().parse().ok().filter(|n: &f64| n.is_finite())).collect();
    match numbers.ok_or_else(|| bad("expected numbers"))?[..] {
        [west, south, east, north] => Bbox::new([west, south, east, north]),
        [_, _, low, _, _, high] if low > high => Err("its floor lies above its ceiling".to_owned()),
        [west, south, _, east, north, _] => Bbox::new([west, south, east, north]),
        _ => Err("expected four or six numbers".to_owned()),
    }
    .map_err(|fault| bad(&fault))
}

/// Checks `datetime`: a date-time, or an interval that may be open at one end or both.
pub fn datetime(text: &str) -> Result<(), Bad> {
    let bad = |fault: &str| Bad(format!("datetime: {fault}"));
    let instant = |text: &str| date_time(text).ok_or_else(|| bad("expected RFC 3339 date-times"));
    let Some((start, end)) = text.split_once('/') else { return instant(text).map(|_| ()) };
    let open = |text: &str| text.is_empty() || text == "..";
    let start = if open(start) { f64::NEG_INFINITY } else { instant(start)? };
    let end = if open(end) { f64::INFINITY } else { instant(end)? };
    match start <= end {
        true => Ok(()),
        false => Err(bad("the interval ends before it starts")),
    }
}

/// A date-time of RFC 3339 (or a date alone, its first moment) in Unix time.
fn date_time(text: &str) -> Option<Millis> {
    let number = |from: usize, to: usize| {
        let digits = text.get(from..to)?;
        digits.bytes().all(|b| b.is_ascii_digit()).then(|| digits.parse::<i64>().ok())?
    };
    let is = |at: usize, any: &str| text.get(at..at + 1).is_some_and(|c| any.contains(c));
    let (year, month, day) = (number(0, 4)?, number(5, 7)?, number(8, 10)?);
    let leap = year % 4 == 0 && (year % 100 != 0 || year % 400 == 0);
    let days = match month {
        2 => 28 + i64::from(leap),
        4 | 6 | 9 | 11 => 30,
        1..=12 => 31,
        _ => return None,
    };
    if !is(4, "-") || !is(7, "-") || !(1..=days).contains(&day) {
        return None;
    }
    // Days since 1970-01-01, counting years from March.
    let (y, m) = if month > 2 { (year, month - 3) } else { (year - 1, month + 9) };
    let (era, of_era) = (y.div_euclid(400), y.rem_euclid(400));
    let of_year = (153 * m + 2) / 5 + day - 1;
    let date = era * 146_097 + of_era * 365 + of_era / 4 - of_era / 100 + of_year - 719_468;
    if text.len() == 10 {
        return Some(date as f64 * 86_400_000.0);
    }
    let (hour, minute, second) = (number(11, 13)?, number(14, 16)?, number(17, 19)?);
    if !is(10, "Tt ") || !is(13, ":") || !is(16, ":") || hour > 23 || minute > 59 || second > 60 {
        return None;
    }
    let mut rest = text.get(19..)?;
    let mut fraction = 0.0;
    if let Some(digits) = rest.strip_prefix('.') {
        let end = digits.bytes().position(|b| !b.is_ascii_digit()).unwrap_or(digits.len());
        fraction = format!("0.{}", digits.get(..end).filter(|d| !d.is_empty())?).parse().ok()?;
        rest = digits.get(end..)?;
    }
    let offset = match rest.as_bytes() {
        [b'Z' | b'z'] => 0,
        [sign @ (b'+' | b'-'), h1, h2, b':', m1, m2]
            if [h1, h2, m1, m2].iter().all(|b| b.is_ascii_digit()) =>
        {
            let two = |a: &u8, b: &u8| i64::from(a - b'0') * 10 + i64::from(b - b'0');
            let (hours, minutes) = (two(h1, h2), two(m1, m2));
            if hours > 23 || minutes > 59 {
                return None;
            }
            (hours * 60 + minutes) * if *sign == b'+' { 1 } else { -1 }
        }
        _ => return None,
    };
    let seconds = date * 86_400 + hour * 3600 + minute * 60 + second - offset * 60;
    Some((seconds as f64 + fraction) * 1000.0)
}

/// Reads `limit`; more than the most is the most, as the standard has it.
pub fn limit(text: &str, most: usize) -> Result<usize, Bad> {
    let digits = !text.is_empty() && text.bytes().all(|b| b.is_ascii_digit());
    match (digits, text.parse::<usize>()) {
        (true, Ok(0)) | (false, _) => Err(Bad("limit: expected a whole number above 0".to_owned())),
        (true, Ok(n)) => Ok(n.min(most)),
        // More digits than a number holds.
        (true, Err(_)) => Ok(most),
    }
}

/// The parameters of a request, percent-decoded, in their order. None may stand twice.
pub fn parameters(query: &str) -> Result<Vec<(String, String)>, Bad> {
    let mut found: Vec<(String, String)> = Vec::new();
    for pair in query.split('&').filter(|pair| !pair.is_empty()) {
        let (name, value) = pair.split_once('=').unwrap_or((pair, ""));
        let (name, value) = (decode(name)?, decode(value)?);
        if found.iter().any(|(other, _)| *other == name) {
            return Err(Bad(format!("{name}: stands twice")));
        }
        found.push((name, value));
    }
    Ok(found)
}

/// Undoes percent-encoding. A plus is a plus, as in the standard's own examples of offsets.
pub fn decode(text: &str) -> Result<String, Bad> {
    let bad = || Bad("the percent-encoding is broken".to_owned());
    let mut bytes = Vec::with_capacity(text.len());
    let mut rest = text.bytes();
    while let Some(b) = rest.next() {
        bytes.push(match b {
            b'%' => {
                let mut hex = || rest.next().and_then(|b| char::from(b).to_digit(16));
                let (high, low) = (hex().ok_or_else(bad)?, hex().ok_or_else(bad)?);
                (high * 16 + low) as u8
            }
            b => b,
        });
    }
    String::from_utf8(bytes).map_err(|_| bad())
}

/// Percent-encodes a value; commas, colons and slashes may stay in a query.
pub fn encode(text: &str) -> String {
    let mut encoded = String::with_capacity(text.len());
    for b in text.bytes() {
        if b.is_ascii_alphanumeric() || b"-._~,:/".contains(&b) {
            encoded.push(char::from(b));
        } else {
            encoded.push_str(&format!("%{b:02X}"));
        }
    }
    encoded
}
