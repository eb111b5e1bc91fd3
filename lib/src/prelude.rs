//! Common types that most modules use.

pub use std::{collections::BTreeMap, sync::Arc, time::Duration};

pub use bytes::Bytes;
pub use faststr::FastStr;
pub use smallvec::SmallVec;

pub use crate::{
    clock::Instant,
    error::{Error, Kind, RunStatus},
    name::{Build, Class, Host, Model, Service, Upstream, Workspace, Zone},
};
