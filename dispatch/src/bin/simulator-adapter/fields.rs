//! Reads the fields of a line in order.

use std::str::{FromStr, Split};

use crate::error::LineError;

/// The text of an optional field that is absent.
const ABSENT: &str = "-";

/// The fields of a line that have not been read yet.
pub struct Fields<'a> {
    rest: Split<'a, char>,
}

impl<'a> Fields<'a> {
    /// The fields of `text`, separated by single spaces.
    pub fn new(text: &'a str) -> Self {
        Self { rest: text.split(' ') }
    }

    /// The next field, which must not be empty.
    pub fn text(&mut self, field: &'static str) -> Result<&'a str, LineError> {
        self.rest.next().filter(|text| !text.is_empty()).ok_or(LineError::Missing { field })
    }

    /// The next field, if it is there.
    pub fn optional(&mut self) -> Option<&'a str> {
        self.rest.next().filter(|text| !text.is_empty() && *text != ABSENT)
    }

    /// The next field, as an integer.
    pub fn integer<T: FromStr>(&mut self, field: &'static str) -> Result<T, LineError> {
        let text = self.text(field)?;
        text.parse().map_err(|_| LineError::NotAnInteger { field, found: text.to_owned() })
    }

    /// The next field, as a number.
    pub fn number(&mut self, field: &'static str) -> Result<f64, LineError> {
        let text = self.text(field)?;
        finite(text).ok_or_else(|| LineError::NotANumber { field, found: text.to_owned() })
    }

    /// The next field, as a number if it is there.
    pub fn optional_number(&mut self, field: &'static str) -> Result<Option<f64>, LineError> {
        let Some(text) = self.optional() else { return Ok(None) };
        let number = finite(text).ok_or_else(|| LineError::NotANumber { field, found: text.to_owned() })?;
        Ok(Some(number))
    }

    /// The next field, as numbers separated by commas; none if it is not there.
    pub fn optional_numbers(&mut self, field: &'static str) -> Result<Vec<f64>, LineError> {
        let Some(text) = self.optional() else { return Ok(Vec::new()) };
        let numbers: Option<Vec<f64>> = text.split(',').map(finite).collect();
        numbers.ok_or_else(|| LineError::NotNumbers { field, found: text.to_owned() })
    }
}

fn finite(text: &str) -> Option<f64> {
    text.parse().ok().filter(|number: &f64| number.is_finite())
}
