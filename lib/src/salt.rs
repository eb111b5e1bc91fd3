//! Cache salts: the namespace under which engines and stores keep the KV cache of prompt parts.
//!
//! A salt consists of the model and its weight version, plus the workspace if that is isolated. So
//! a lookup never finds the cache of other weights or of another isolated workspace.

use crate::prelude::*;

/// Separates the fields of a salt.
const SEPARATOR: char = ':';

/// Builds the salt for a model and its weight version; `workspace` is given if it is isolated.
pub fn build(model: &Model, version: u32, workspace: Option<&Workspace>) -> String {
    match workspace {
        Some(workspace) => format!("{model}{SEPARATOR}{version}{SEPARATOR}{workspace}"),
        None => format!("{model}{SEPARATOR}{version}"),
    }
}

/// Parses the weight version out of a salt of a model; returns `None` for any other text.
pub fn weight_version(salt: &str, model: &Model) -> Option<u32> {
    let rest = salt.strip_prefix(model.as_str())?.strip_prefix(SEPARATOR)?;
    rest.split(SEPARATOR).next()?.parse().ok()
}
