//! The text under which engines and stores find the parts of a prompt's cache.
//!
//! It names the model and the weights that made them, and the workspace where that shares none:
//! what is of other weights or of another workspace cannot be found.

use crate::prelude::*;

const SEPARATOR: char = ':';

/// Writes the salt for a model's weights; `workspace` is named where it is isolated.
pub fn build(model: &Model, weights: u32, workspace: Option<&Workspace>) -> String {
    match workspace {
        Some(workspace) => format!("{model}{SEPARATOR}{weights}{SEPARATOR}{workspace}"),
        None => format!("{model}{SEPARATOR}{weights}"),
    }
}

/// Returns the weights that a salt of a model names; none for what is not such a salt.
pub fn weight_version(salt: &str, model: &Model) -> Option<u32> {
    let rest = salt.strip_prefix(model.as_str())?.strip_prefix(SEPARATOR)?;
    rest.split(SEPARATOR).next()?.parse().ok()
}
