//! Validation errors of a document, such as a settings file, each with its line and field.

use std::fmt;

use thiserror::Error;

/// One validation error.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// Line in the file, from 1.
    pub line: usize,
    /// Path of the field, such as `upstreams[0].address`; empty for the whole document.
    pub field: String,
    /// What is wrong.
    pub message: String,
}

/// All validation errors of one document, in line order.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub struct Problems {
    /// Path of the document.
    pub file: String,
    /// The validation errors; never empty.
    pub list: Vec<Problem>,
}

impl fmt::Display for Problems {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, it) in self.list.iter().enumerate() {
            if index > 0 {
                writeln!(f)?;
            }
            let field = if it.field.is_empty() { "document" } else { &it.field };
            write!(f, "{}:{}: {field}: {}", self.file, it.line, it.message)?;
        }
        Ok(())
    }
}
