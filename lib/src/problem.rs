//! Mistakes found in a document, each with its file, line and field.

use std::fmt;

use thiserror::Error;

/// One mistake in a document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// Line in the file, from 1.
    pub line: usize,
    /// Path of the field, such as `upstreams[0].address`; empty for the whole document.
    pub field: String,
    /// What is wrong.
    pub message: String,
}

/// All mistakes of one document, in the order of their lines.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub struct Problems {
    /// The document's file.
    pub file: String,
    /// The mistakes; never empty.
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
