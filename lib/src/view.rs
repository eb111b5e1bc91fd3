//! Immutable view of the upstreams that the control thread publishes for traffic threads.

use crate::{prelude::*, settings::UpstreamEntry};

/// What this host believes of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Nothing current is known; treated as cold.
    Unknown,
    /// It is in cold start and bears only a little load.
    Cold,
    /// It bears full load.
    Warm,
    /// It does not answer.
    Down,
    /// It sent frames of another run and is out of use.
    Suspended,
}

impl State {
    /// Returns the name used in logs and for operators.
    pub fn name(self) -> &'static str {
        match self {
            State::Unknown => "unknown",
            State::Cold => "cold",
            State::Warm => "warm",
            State::Down => "down",
            State::Suspended => "suspended",
        }
    }
}

/// The figures of an upstream's last load report.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// When it was asked for.
    pub requested_at: Instant,
    /// Runs in progress.
    pub running: u32,
    /// Runs waiting to start.
    pub waiting: u32,
    /// Runs that can be in progress together.
    pub slots: u32,
    /// Requests from this host that were in flight when the report came.
    pub own_in_flight: u32,
}

/// One upstream.
#[derive(Clone, Debug)]
pub struct UpstreamView {
    /// Its settings.
    pub entry: Arc<UpstreamEntry>,
    /// What is believed of it.
    pub state: State,
    /// Its last load report.
    pub report: Report,
    /// The id of its current start, where known.
    pub boot_id: FastStr,
    /// Models that it confirmed as loaded.
    pub confirmed_models: SmallVec<[Model; 4]>,
    /// Most requests from this host while it is not warm.
    pub cold_share: u32,
}

/// All upstreams, at the indexes of the catalog.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// Grows with each published view.
    pub version: u64,
    /// The upstreams.
    pub upstreams: Vec<Arc<UpstreamView>>,
    /// Whether this host is shutting down.
    pub draining: bool,
}
