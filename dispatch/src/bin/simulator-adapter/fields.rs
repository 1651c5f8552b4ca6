//! Reads the fields of a line, in order.

use std::str::{FromStr, Split};

use crate::error::LineError;

/// The text of an optional field that is absent.
const ABSENT: &str = "-";

/// The fields of a line that have not been read yet.
pub struct Fields<'a> {
    rest: Split<'a, char>,
}

impl<'a> Fields<'a> {
    /// Creates a reader of the fields of `text`, which are separated by single spaces.
    pub fn new(text: &'a str) -> Self {
        Self { rest: text.split(' ') }
    }

    /// Reads the next field, which must not be empty.
    pub fn text(&mut self, field: &'static str) -> Result<&'a str, LineError> {
        self.rest.next().filter(|text| !text.is_empty()).ok_or(LineError::Missing { field })
    }

    /// Reads the next field, if it is present.
    pub fn optional_text(&mut self) -> Option<&'a str> {
        self.rest.next().filter(|text| !text.is_empty() && *text != ABSENT)
    }

    /// Reads the next field as an integer.
    pub fn integer<T: FromStr>(&mut self, field: &'static str) -> Result<T, LineError> {
        let text = self.text(field)?;
        text.parse().map_err(|_| LineError::NotAnInteger { field, found: text.to_owned() })
    }

    /// Reads the next field as a finite number.
    pub fn number(&mut self, field: &'static str) -> Result<f64, LineError> {
        let text = self.text(field)?;
        parse_finite(text).ok_or_else(|| LineError::NotANumber { field, found: text.to_owned() })
    }

    /// Reads the next field as a finite number, if it is present.
    pub fn optional_number(&mut self, field: &'static str) -> Result<Option<f64>, LineError> {
        let Some(text) = self.optional_text() else { return Ok(None) };
        let number =
            parse_finite(text).ok_or_else(|| LineError::NotANumber { field, found: text.to_owned() })?;
        Ok(Some(number))
    }

    /// Reads the next field as finite numbers separated by commas; an empty list if it is not present.
    pub fn optional_numbers(&mut self, field: &'static str) -> Result<Vec<f64>, LineError> {
        let Some(text) = self.optional_text() else { return Ok(Vec::new()) };
        let numbers: Option<Vec<f64>> = text.split(',').map(parse_finite).collect();
        numbers.ok_or_else(|| LineError::NotNumbers { field, found: text.to_owned() })
    }
}

fn parse_finite(text: &str) -> Option<f64> {
    text.parse().ok().filter(|number: &f64| number.is_finite())
}
