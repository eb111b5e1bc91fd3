//! What the threads of one host share.

use arc_swap::ArcSwap;
use tokio::sync::mpsc;
use tokio_util::{sync::CancellationToken, task::TaskTracker};

use crate::{
    clock::Clock, core::Event, inflight, metric::Metrics, prelude::*, record, retry::Budgets,
    settings::Settings, view::View,
};

/// What the threads of one host share, with the clients of the outside systems.
#[derive(Debug)]
pub struct Shared<E, B, T> {
    /// This host's settings.
    pub settings: Settings,
    /// Id of this start of the host.
    pub boot_id: FastStr,
    /// The host's clock.
    pub clock: Clock,
    /// The newest view of the upstreams.
    pub view: ArcSwap<View>,
    /// Requests in flight to each upstream.
    pub counters: inflight::Counters,
    /// Requests in flight for each workspace.
    pub workspaces: inflight::Workspaces,
    /// Retry budgets.
    pub budgets: Budgets,
    /// Metrics.
    pub metrics: Metrics,
    /// Decision records.
    pub records: record::RingBuffer,
    /// Model engines.
    pub engine: E,
    /// Plain services.
    pub backend: B,
    /// The table service.
    pub table: T,
    /// Events for the control thread.
    pub events: mpsc::Sender<Event>,
    /// Work that must end before the process may.
    pub tasks: TaskTracker,
    /// Cancelled when the host closes its listeners.
    pub stop: CancellationToken,
}

impl<E, B, T> Shared<E, B, T> {
    /// Returns the time.
    pub fn now(&self) -> Instant {
        self.clock.now()
    }

    /// Tells the control thread of an event. Events only help; a full queue drops them.
    pub fn send_event(&self, event: Event) {
        if self.events.try_send(event).is_err() {
            log::debug!("control queue is full, event dropped");
        }
    }

    /// Returns whether this host is shutting down.
    pub fn is_draining(&self) -> bool {
        self.view.load().draining
    }

    /// Returns a new id for a request; it names this host, so that any host can tell where
    /// the request's record is.
    pub fn new_request_id(&self) -> FastStr {
        format!("{}-{}", self.settings.host, uuid::Uuid::now_v7().simple()).into()
    }
}
