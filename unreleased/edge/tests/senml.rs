//! SenML in both forms: the same records, the rules of RFC 8428, bounds, and garbage.
#![allow(clippy::unwrap_used)]

use ciborium::Value as Cbor;
use fastrand::Rng;
use gingerledge_edge::senml::{cbor, json, Measured, Reading, SenmlBounds, SenmlError};
use serde_json::{json as pack, Value as Json};

fn read(value: &Json) -> Result<Vec<Reading>, SenmlError> {
    json(value.to_string().as_bytes(), &SenmlBounds::default())
}

/// The same pack in CBOR, with numbers for labels.
fn as_cbor(value: &Json) -> Vec<u8> {
    let labels = ["bs", "bv", "bu", "bt", "bn", "bver", "n", "u", "v", "vs", "vb", "s", "t", "ut", "vd"];
    let record = |record: &Json| {
        let field = |(label, value): (&String, &Json)| {
            let number = labels.iter().position(|known| known == label).map(|at| at as i64 - 6);
            let label =
                number.map_or_else(|| Cbor::Text(label.clone()), |number| Cbor::Integer(number.into()));
            let value = match value {
                Json::String(text) => Cbor::Text(text.clone()),
                Json::Bool(flag) => Cbor::Bool(*flag),
                Json::Number(number) if number.is_i64() => Cbor::Integer(number.as_i64().unwrap().into()),
                other => Cbor::Float(other.as_f64().unwrap()),
            };
            (label, value)
        };
        Cbor::Map(record.as_object().unwrap().iter().map(field).collect())
    };
    let mut bytes = Vec::new();
    ciborium::into_writer(&Cbor::Array(value.as_array().unwrap().iter().map(record).collect()), &mut bytes)
        .unwrap();
    bytes
}

fn both(value: &Json) -> Result<Vec<Reading>, SenmlError> {
    let one = read(value);
    assert_eq!(cbor(&as_cbor(value), &SenmlBounds::default()), one, "{value}");
    one
}

#[test]
fn base_fields_hold_for_what_follows() {
    let got = both(&pack!([
        { "bn": "urn:hive:4711/", "bt": 1_800_000_000.0, "bu": "kg", "bver": 10, "n": "weight", "v": 31.25 },
        { "n": "weight", "t": -60, "v": 31 },
        { "bv": 10.0, "n": "brood", "u": "Cel", "v": 24.5 },
        { "n": "lid", "vb": true },
        { "n": "note", "vs": "queen seen" },
        { "n": "total", "s": 5.0 },
        { "bn": "other", "t": 5 }
    ]))
    .unwrap();
    let shown: Vec<(&str, f64, Option<&str>)> =
        got.iter().map(|r| (r.name.as_str(), r.time, r.unit.as_deref())).collect();
    assert_eq!(shown[0], ("urn:hive:4711/weight", 1_800_000_000.0, Some("kg")));
    assert_eq!(shown[1].1, 1_799_999_940.0);
    assert_eq!(shown[2], ("urn:hive:4711/brood", 1_800_000_000.0, Some("Cel")));
    assert_eq!(got[0].value, Some(Measured::Number(31.25)));
    assert_eq!(got[2].value, Some(Measured::Number(34.5)));
    assert_eq!(got[3].value, Some(Measured::Flag(true)));
    assert_eq!(got[4].value, Some(Measured::Text("queen seen".to_owned())));
    assert_eq!(got[5].sum, Some(5.0));
    // A base value alone is a value.
    assert_eq!((got[6].name.as_str(), got[6].value.clone()), ("other", Some(Measured::Number(10.0))));
    let data = read(&pack!([{ "n": "frame", "vd": "3q2-7w" }])).unwrap();
    assert_eq!(data[0].value, Some(Measured::Data(vec![0xde, 0xad, 0xbe, 0xef])));
}

#[test]
fn what_the_standard_refuses_is_refused() {
    for (value, error) in [
        (pack!([]), SenmlError::Pack(512)),
        (pack!([{ "n": "a", "v": 1, "vb": true }]), SenmlError::Value(0)),
        (pack!([{ "n": "a", "v": 1 }, { "n": "a", "t": 1 }]), SenmlError::Value(1)),
        (pack!([{ "v": 1 }]), SenmlError::Name(0, String::new())),
        (pack!([{ "n": "-a", "v": 1 }]), SenmlError::Name(0, "-a".to_owned())),
        (pack!([{ "bn": "a b", "v": 1 }]), SenmlError::Name(0, "a b".to_owned())),
        (pack!([{ "bver": 11, "n": "a", "v": 1 }]), SenmlError::Version(0, 11)),
        (pack!([{ "n": "a", "v": 1, "new_": 1 }]), SenmlError::Unknown(0, "new_".to_owned())),
        (pack!([{ "n": "a", "v": "1" }]), SenmlError::Field(0, "v".to_owned())),
        (pack!([{ "n": "a".repeat(129), "v": 1 }]), SenmlError::Field(0, "n".to_owned())),
    ] {
        assert_eq!(both(&value), Err(error), "{value}");
    }
    assert_eq!(both(&pack!([{ "n": "a", "v": 1, "new": 1 }])).unwrap().len(), 1, "others are passed over");
    assert_eq!(read(&pack!({ "n": "a", "v": 1 })), Err(SenmlError::Pack(512)));
    assert_eq!(read(&pack!([{ "n": "a", "v": [1] }])), Err(SenmlError::Field(0, "v".to_owned())));
    let many: Vec<Json> = (0..513).map(|_| pack!({ "n": "a", "v": 1 })).collect();
    assert_eq!(both(&Json::Array(many)), Err(SenmlError::Pack(512)));
    assert!(matches!(json(b"[{", &SenmlBounds::default()), Err(SenmlError::Unreadable(_))));
}

#[test]
fn no_bytes_bring_it_down() {
    let mut rng = Rng::with_seed(29);
    let value = pack!([{ "bn": "a", "bt": 1.5, "n": "b", "v": 1 }, { "vs": "x" }]);
    let valid = [value.to_string().into_bytes(), as_cbor(&value)];
    for _ in 0..20_000 {
        let mut bytes = valid[rng.usize(..2)].clone();
        for _ in 0..rng.usize(..5) {
            let at = rng.usize(..bytes.len());
            bytes[at] = rng.u8(..);
        }
        bytes.truncate(rng.usize(..bytes.len() + 1));
        let _ = json(&bytes, &SenmlBounds::default());
        let _ = cbor(&bytes, &SenmlBounds::default());
    }
    // A length that promises more than there is, and nesting without end.
    assert!(cbor(&[0x9b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff], &SenmlBounds::default()).is_err());
    assert!(cbor(&[0x81; 10_000], &SenmlBounds::default()).is_err());
    assert!(json(&[b'['; 10_000], &SenmlBounds::default()).is_err());
}
