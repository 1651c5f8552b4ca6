//! Parsing and validation of the query parameters of an items request (`bbox`, `datetime`, `limit`), and percent-encoding.

use std::fmt;

use crate::clock::Millis;
use crate::geojson::Bbox;

/// Description of an error in a request, which is sent to the client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InvalidRequest(pub String);

impl fmt::Display for InvalidRequest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// Parses `bbox`: four numbers, or six with heights. Heights are ignored, since blocks have none.
pub fn bbox(text: &str) -> Result<Bbox, InvalidRequest> {
    let error = |fault: &str| InvalidRequest(format!("bbox: {fault}"));
    let numbers: Option<Vec<f64>> =
        text.split(',').map(|n| n.trim().parse().ok().filter(|n: &f64| n.is_finite())).collect();
    match numbers.ok_or_else(|| error("expected numbers"))?[..] {
        [west, south, east, north] => Bbox::new([west, south, east, north]),
        [_, _, low, _, _, high] if low > high => Err("its floor lies above its ceiling".to_owned()),
        [west, south, _, east, north, _] => Bbox::new([west, south, east, north]),
        _ => Err("expected four or six numbers".to_owned()),
    }
    .map_err(|fault| error(&fault))
}

/// Validates `datetime`: a date-time, or an interval that may be open at either end or both.
pub fn datetime(text: &str) -> Result<(), InvalidRequest> {
    let error = |fault: &str| InvalidRequest(format!("datetime: {fault}"));
    let instant = |text: &str| date_time(text).ok_or_else(|| error("expected RFC 3339 date-times"));
    let Some((start, end)) = text.split_once('/') else { return instant(text).map(|_| ()) };
    let is_open = |text: &str| text.is_empty() || text == "..";
    let start = if is_open(start) { f64::NEG_INFINITY } else { instant(start)? };
    let end = if is_open(end) { f64::INFINITY } else { instant(end)? };
    match start <= end {
        true => Ok(()),
        false => Err(error("the interval ends before it starts")),
    }
}

/// Parses a date-time of RFC 3339 and returns it as Unix time in milliseconds. A date alone is the start of that day.
fn date_time(text: &str) -> Option<Millis> {
    let number = |from: usize, to: usize| {
        let digits = text.get(from..to)?;
        digits.bytes().all(|b| b.is_ascii_digit()).then(|| digits.parse::<i64>().ok())?
    };
    let is_any_of = |at: usize, allowed: &str| text.get(at..at + 1).is_some_and(|c| allowed.contains(c));
    let (year, month, day) = (number(0, 4)?, number(5, 7)?, number(8, 10)?);
    let is_leap_year = year % 4 == 0 && (year % 100 != 0 || year % 400 == 0);
    let days = match month {
        2 => 28 + i64::from(is_leap_year),
        4 | 6 | 9 | 11 => 30,
        1..=12 => 31,
        _ => return None,
    };
    if !is_any_of(4, "-") || !is_any_of(7, "-") || !(1..=days).contains(&day) {
        return None;
    }
    // Days since 1970-01-01. Years are counted from March, so that a leap day is the last day of its year.
    let (y, m) = if month > 2 { (year, month - 3) } else { (year - 1, month + 9) };
    let (era, year_of_era) = (y.div_euclid(400), y.rem_euclid(400));
    let day_of_year = (153 * m + 2) / 5 + day - 1;
    let date =
        era * 146_097 + year_of_era * 365 + year_of_era / 4 - year_of_era / 100 + day_of_year - 719_468;
    if text.len() == 10 {
        return Some(date as f64 * 86_400_000.0);
    }
    let (hour, minute, second) = (number(11, 13)?, number(14, 16)?, number(17, 19)?);
    if !is_any_of(10, "Tt ")
        || !is_any_of(13, ":")
        || !is_any_of(16, ":")
        || hour > 23
        || minute > 59
        || second > 60
    {
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
            let two_digits = |a: &u8, b: &u8| i64::from(a - b'0') * 10 + i64::from(b - b'0');
            let (hours, minutes) = (two_digits(h1, h2), two_digits(m1, m2));
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

/// Parses `limit`. A value above `limit_max` is replaced by `limit_max`, as the standard requires.
pub fn limit(text: &str, limit_max: usize) -> Result<usize, InvalidRequest> {
    let digits = !text.is_empty() && text.bytes().all(|b| b.is_ascii_digit());
    match (digits, text.parse::<usize>()) {
        (true, Ok(0)) | (false, _) => {
            Err(InvalidRequest("limit: expected a whole number above 0".to_owned()))
        }
        (true, Ok(n)) => Ok(n.min(limit_max)),
        // The number is too large for the type, and thus above the maximum.
        (true, Err(_)) => Ok(limit_max),
    }
}

/// Parses a query string and returns its parameters, percent-decoded and in order.
///
/// # Errors
///
/// If a parameter is repeated or its percent-encoding is invalid.
pub fn parameters(query: &str) -> Result<Vec<(String, String)>, InvalidRequest> {
    let mut parameters: Vec<(String, String)> = Vec::new();
    for pair in query.split('&').filter(|pair| !pair.is_empty()) {
        let (name, value) = pair.split_once('=').unwrap_or((pair, ""));
        let (name, value) = (decode(name)?, decode(value)?);
        if parameters.iter().any(|(other, _)| *other == name) {
            return Err(InvalidRequest(format!("{name}: stands twice")));
        }
        parameters.push((name, value));
    }
    Ok(parameters)
}

/// Decodes percent-encoding. A plus sign is not decoded as a space, since the examples of the standard have unencoded plus
/// signs in time offsets.
pub fn decode(text: &str) -> Result<String, InvalidRequest> {
    let error = || InvalidRequest("the percent-encoding is broken".to_owned());
    let mut bytes = Vec::with_capacity(text.len());
    let mut rest = text.bytes();
    while let Some(b) = rest.next() {
        bytes.push(match b {
            b'%' => {
                let mut hex = || rest.next().and_then(|b| char::from(b).to_digit(16));
                let (high, low) = (hex().ok_or_else(error)?, hex().ok_or_else(error)?);
                (high * 16 + low) as u8
            }
            b => b,
        });
    }
    String::from_utf8(bytes).map_err(|_| error())
}

/// Percent-encodes a parameter's value. Commas, colons and slashes are valid in a query string and stay unencoded.
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
