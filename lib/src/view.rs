//! Immutable snapshot of the upstreams that the control thread of `mothvale serve` publishes to the
//! traffic threads. The gateway has [`Fleet`](crate::fleet::Fleet) instead.

use crate::{prelude::*, settings::UpstreamEntry};

/// The health of an upstream as this host knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// There is no current report; the upstream is treated as cold.
    Unknown,
    /// It is in cold start and can take only a little load.
    Cold,
    /// It can take full load.
    Warm,
    /// It does not respond.
    Down,
    /// It gets no requests, because it sent frames of another run.
    Suspended,
}

impl State {
    /// Returns the name that logs and the admin API show.
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

/// The last load report of an upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadReport {
    /// When the report was requested.
    pub requested_at: Instant,
    /// Runs in progress.
    pub running: u32,
    /// Runs waiting to start.
    pub waiting: u32,
    /// Maximum number of concurrent runs.
    pub slots: u32,
    /// Requests from this host that were in flight when the report arrived.
    pub own_in_flight: u32,
}

/// The published state of one upstream.
#[derive(Clone, Debug)]
pub struct UpstreamView {
    /// Its settings.
    pub entry: Arc<UpstreamEntry>,
    /// Its health.
    pub state: State,
    /// Its last load report.
    pub report: LoadReport,
    /// Id of its current process, empty if unknown.
    pub boot_id: FastStr,
    /// Models that it has reported as loaded.
    pub confirmed_models: SmallVec<[Model; 4]>,
    /// Maximum number of requests from this host while it is not warm.
    pub cold_share: u32,
}

/// A snapshot of all upstreams.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// Increases with each published view.
    pub version: u64,
    /// The upstreams, at the same indexes as in the catalog.
    pub upstreams: Vec<Arc<UpstreamView>>,
    /// Whether this host is shutting down.
    pub draining: bool,
}

impl View {
    /// Returns why this host should not receive requests, or `None` if it should.
    pub fn unready_reason(&self) -> Option<&'static str> {
        if self.draining {
            return Some("shutting down");
        }
        // Prompts that return are found in the cache only if all hosts rank the same engine first, which
        // takes that they know the same ones.
        let is_unseen = |it: &UpstreamView| it.state == State::Unknown && it.boot_id.is_empty();
        if self.upstreams.iter().any(|it| is_unseen(it)) {
            return Some("waiting for the first answer of an upstream");
        }
        let is_up = |state| matches!(state, State::Warm | State::Cold);
        if self.upstreams.iter().any(|it| is_up(it.state)) {
            return None;
        }
        Some("no upstream is known to be up")
    }
}
