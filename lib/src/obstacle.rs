//! Reasons for which a request must not be sent any more to the upstream that was chosen for it.

/// What keeps a request from its chosen upstream. Found by
/// [`Fleet::obstacle`](crate::fleet::Fleet::obstacle) right before the request is sent: connecting
/// takes time, in which the state of the upstream may change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Obstacle {
    /// The upstream's row was removed.
    Removed,
    /// The upstream has restarted or moved to another address.
    Restarted,
    /// The upstream's process has ended, and another one may have any build, while the request needs a certain one.
    BuildUnknown,
    /// The upstream's row says that it is shutting down.
    Draining,
    /// The upstream has said in a response that it is shutting down.
    Leaving,
    /// The upstream has asked for a pause.
    Paused,
    /// The upstream's zone was evacuated.
    Evacuated,
    /// The upstream's build was found to be bad, or was replaced.
    Stopped,
    /// The upstream has named a limit on its requests.
    Limited,
    /// The upstream's weights are too old for a request to start on them.
    OutdatedWeights,
}

impl Obstacle {
    /// Returns the outcome of the attempt for logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Obstacle::Removed => "not_sent_removed",
            Obstacle::Restarted => "not_sent_restarted",
            Obstacle::BuildUnknown => "not_sent_build_unknown",
            Obstacle::Draining => "not_sent_draining",
            Obstacle::Leaving => "not_sent_leaving",
            Obstacle::Paused => "not_sent_paused",
            Obstacle::Evacuated => "not_sent_evacuated",
            Obstacle::Stopped => "not_sent_stopped",
            Obstacle::Limited => "not_sent_limited",
            Obstacle::OutdatedWeights => "not_sent_outdated_weights",
        }
    }

    /// Returns whether later requests may use a connection to the upstream.
    pub fn keeps_connection(self) -> bool {
        matches!(
            self,
            Obstacle::BuildUnknown
                | Obstacle::Paused
                | Obstacle::Evacuated
                | Obstacle::Limited
                | Obstacle::OutdatedWeights
        )
    }
}
