//! Readings as SenML (RFC 8428), in JSON and in CBOR: packs resolved to plain records, within bounds. It promises that both forms of
//! one pack give the same records, that a field which must be understood and is not refuses the pack (section 4.4), and that no
//! bytes make it hold more than its bounds.

use ciborium::Value as Cbor;
use serde_json::Value as Json;
use thiserror::Error;

/// What a pack may have.
#[derive(Clone, Copy, Debug)]
pub struct SenmlBounds {
    /// Records.
    pub records: usize,
    /// Bytes of a name, its base before it.
    pub name: usize,
    /// Bytes of a text or data value.
    pub text: usize,
}

impl Default for SenmlBounds {
    fn default() -> Self {
        Self { records: 512, name: 128, text: 4_096 }
    }
}

/// A value.
#[derive(Clone, Debug, PartialEq)]
pub enum Measured {
    /// A number.
    Number(f64),
    /// A text.
    Text(String),
    /// Yes or no.
    Flag(bool),
    /// Bytes; in JSON base64url without padding (section 4.3).
    Data(Vec<u8>),
}

/// A resolved record (section 4.6).
#[derive(Clone, Debug, PartialEq)]
pub struct Reading {
    /// Whose: the base name and the name.
    pub name: String,
    /// In seconds: below 2 to the power of 28 from the time of reading, else of Unix time (section 4.5.3).
    pub time: f64,
    /// In which unit.
    pub unit: Option<String>,
    /// What was measured; nothing where only a sum is given.
    pub value: Option<Measured>,
    /// The sum.
    pub sum: Option<f64>,
}

/// Why a pack is refused.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum SenmlError {
    /// It is no JSON or CBOR.
    #[error("not readable: {0}")]
    Unreadable(String),
    /// It is not an array of maps, or not of so many.
    #[error("expected an array of 1 to {0} records")]
    Pack(usize),
    /// A field of another kind than it should be.
    #[error("record {0}: `{1}` is of the wrong kind, or too long")]
    Field(usize, String),
    /// A field that must be understood.
    #[error("record {0}: `{1}` is not understood, and may not be passed over")]
    Unknown(usize, String),
    /// A version above the one known.
    #[error("record {0}: version {1}, where 10 is the highest known")]
    Version(usize, u64),
    /// No value, or more than one.
    #[error("record {0}: expected one value or a sum")]
    Value(usize),
    /// No name, or one with characters that none may have.
    #[error("record {0}: `{1}` is no name: letters, digits and -:./_ only, a letter or digit first")]
    Name(usize, String),
}

/// The version of SenML that is known (section 4.4).
const VERSION: u64 = 10;
/// CBOR nests no deeper here: an array of maps of plain values.
const DEPTH: usize = 4;

/// A field's value of either form.
enum Field {
    Number(f64),
    Text(String),
    Flag(bool),
    Data(Vec<u8>),
}

type Fields = Vec<(String, Field)>;

/// A pack in JSON.
pub fn json(bytes: &[u8], bounds: &SenmlBounds) -> Result<Vec<Reading>, SenmlError> {
    let pack: Json = serde_json::from_slice(bytes).map_err(|e| SenmlError::Unreadable(e.to_string()))?;
    let Json::Array(records) = pack else { return Err(SenmlError::Pack(bounds.records)) };
    let fields = |(n, record): (usize, Json)| {
        let Json::Object(map) = record else { return Err(SenmlError::Pack(bounds.records)) };
        let field = |(label, value): (String, Json)| {
            let field = match value {
                Json::Number(number) => number.as_f64().map(Field::Number),
                Json::String(text) if label == "vd" => unbase64(&text).map(Field::Data),
                Json::String(text) => Some(Field::Text(text)),
                Json::Bool(flag) => Some(Field::Flag(flag)),
                _ => None,
            };
            field.map(|field| (label.clone(), field)).ok_or(SenmlError::Field(n, label))
        };
        map.into_iter().map(field).collect::<Result<Fields, _>>()
    };
    resolve(records.into_iter().enumerate().map(fields), bounds)
}

/// A pack in CBOR, whose labels are numbers (section 6, table 4).
pub fn cbor(bytes: &[u8], bounds: &SenmlBounds) -> Result<Vec<Reading>, SenmlError> {
    let pack: Cbor = ciborium::de::from_reader_with_recursion_limit(bytes, DEPTH)
        .map_err(|e| SenmlError::Unreadable(e.to_string()))?;
    let Cbor::Array(records) = pack else { return Err(SenmlError::Pack(bounds.records)) };
    let fields = |(n, record): (usize, Cbor)| {
        let Cbor::Map(map) = record else { return Err(SenmlError::Pack(bounds.records)) };
        let field = |(label, value): (Cbor, Cbor)| {
            let label = match label {
                Cbor::Integer(number) => name_of(i128::from(number)),
                Cbor::Text(text) => text,
                _ => return Err(SenmlError::Field(n, "a label".to_owned())),
            };
            let field = match value {
                Cbor::Integer(number) => Some(Field::Number(i128::from(number) as f64)),
                Cbor::Float(number) => Some(Field::Number(number)),
                Cbor::Text(text) => Some(Field::Text(text)),
                Cbor::Bool(flag) => Some(Field::Flag(flag)),
                Cbor::Bytes(bytes) => Some(Field::Data(bytes)),
                _ => None,
            };
            field.map(|field| (label.clone(), field)).ok_or(SenmlError::Field(n, label))
        };
        map.into_iter().map(field).collect::<Result<Fields, _>>()
    };
    resolve(records.into_iter().enumerate().map(fields), bounds)
}

fn name_of(label: i128) -> String {
    let names = ["bver", "bn", "bt", "bu", "bv", "bs"];
    let plain = ["n", "u", "v", "vs", "vb", "s", "t", "ut", "vd"];
    let known = match label {
        -6..=-1 => names.get((-label - 1) as usize),
        0..=8 => plain.get(label as usize),
        _ => None,
    };
    known.map_or_else(|| label.to_string(), |name| (*name).to_owned())
}

/// What goes on from record to record (section 4.1).
#[derive(Default)]
struct Base {
    name: String,
    time: f64,
    unit: Option<String>,
    value: f64,
    sum: f64,
    /// Whether a base value has been given: alone it makes a value.
    has_value: bool,
    has_sum: bool,
}

#[derive(Default)]
struct Plain {
    name: String,
    time: f64,
    unit: Option<String>,
    number: Option<f64>,
    others: Vec<Measured>,
    sum: Option<f64>,
}

fn resolve(
    records: impl ExactSizeIterator<Item = Result<Fields, SenmlError>>,
    bounds: &SenmlBounds,
) -> Result<Vec<Reading>, SenmlError> {
    if !(1..=bounds.records).contains(&records.len()) {
        return Err(SenmlError::Pack(bounds.records));
    }
    let (mut base, mut readings) = (Base::default(), Vec::new());
    for (n, fields) in records.enumerate() {
        let mut plain = Plain::default();
        let mut base_only = true;
        for (label, field) in fields? {
            base_only &= label.starts_with('b');
            take(n, &label, field, &mut base, &mut plain, bounds)?;
        }
        // A record of base fields alone sets them for those that follow.
        if base_only && !base.has_value && !base.has_sum {
            continue;
        }
        readings.push(reading(n, &base, plain, bounds)?);
    }
    Ok(readings)
}

fn take(
    n: usize,
    label: &str,
    field: Field,
    base: &mut Base,
    plain: &mut Plain,
    bounds: &SenmlBounds,
) -> Result<(), SenmlError> {
    let wrong = || SenmlError::Field(n, label.to_owned());
    match (label, field) {
        ("bver", Field::Number(version)) if version >= 0.0 && version <= VERSION as f64 => {}
        ("bver", Field::Number(version)) if version > 0.0 => {
            return Err(SenmlError::Version(n, version as u64))
        }
        ("bn", Field::Text(name)) if name.len() <= bounds.name => base.name = name,
        ("bt", Field::Number(time)) if time.is_finite() => base.time = time,
        ("bu", Field::Text(unit)) if unit.len() <= bounds.name => base.unit = Some(unit),
        ("bv", Field::Number(value)) if value.is_finite() => (base.value, base.has_value) = (value, true),
        ("bs", Field::Number(sum)) if sum.is_finite() => (base.sum, base.has_sum) = (sum, true),
        ("n", Field::Text(name)) if name.len() <= bounds.name => plain.name = name,
        ("u", Field::Text(unit)) if unit.len() <= bounds.name => plain.unit = Some(unit),
        ("t", Field::Number(time)) if time.is_finite() => plain.time = time,
        ("ut", Field::Number(_)) => {}
        ("v", Field::Number(value)) if value.is_finite() => plain.number = Some(value),
        ("s", Field::Number(sum)) if sum.is_finite() => plain.sum = Some(sum),
        ("vs", Field::Text(text)) if text.len() <= bounds.text => plain.others.push(Measured::Text(text)),
        ("vb", Field::Flag(flag)) => plain.others.push(Measured::Flag(flag)),
        ("vd", Field::Data(data)) if data.len() <= bounds.text => plain.others.push(Measured::Data(data)),
        (
            "bver" | "bn" | "bt" | "bu" | "bv" | "bs" | "n" | "u" | "t" | "ut" | "v" | "s" | "vs" | "vb"
            | "vd",
            _,
        ) => {
            return Err(wrong());
        }
        // Others may be passed over, unless their label ends so.
        (label, _) if label.ends_with('_') => return Err(SenmlError::Unknown(n, label.to_owned())),
        _ => {}
    }
    Ok(())
}

fn reading(n: usize, base: &Base, mut plain: Plain, bounds: &SenmlBounds) -> Result<Reading, SenmlError> {
    let name = format!("{}{}", base.name, plain.name);
    // Section 4.5.1.
    let first = name.bytes().next().is_some_and(|byte| byte.is_ascii_alphanumeric());
    let all = name.bytes().all(|byte| byte.is_ascii_alphanumeric() || b"-:./_".contains(&byte));
    if !first || !all || name.len() > bounds.name {
        return Err(SenmlError::Name(n, name.chars().take(64).collect()));
    }
    let number = match (plain.number, base.has_value && plain.others.is_empty()) {
        (Some(number), _) => Some(number + base.value),
        (None, true) => Some(base.value),
        (None, false) => None,
    };
    let mut values: Vec<Measured> = number.map(Measured::Number).into_iter().collect();
    values.append(&mut plain.others);
    let sum = match (plain.sum, base.has_sum) {
        (None, false) => None,
        (sum, _) => Some(sum.unwrap_or(0.0) + base.sum),
    };
    if values.len() > 1 || (values.is_empty() && sum.is_none()) {
        return Err(SenmlError::Value(n));
    }
    let unit = plain.unit.or_else(|| base.unit.clone());
    Ok(Reading { name, time: base.time + plain.time, unit, value: values.pop(), sum })
}

fn unbase64(text: &str) -> Option<Vec<u8>> {
    use base64::engine::general_purpose::URL_SAFE_NO_PAD;
    use base64::Engine as _;
    URL_SAFE_NO_PAD.decode(text).ok()
}
