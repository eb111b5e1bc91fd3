//! State that the threads of one `mothvale serve` host share, with the clients of the external
//! systems.

use arc_swap::ArcSwap;
use tokio::sync::mpsc;
use tokio_util::{sync::CancellationToken, task::TaskTracker};

use crate::{
    clock::Clock, health_tracker::Event, inflight, metric::Metrics, prelude::*, record,
    retry::Budgets, settings::Settings, view::View,
};

/// State that the threads of one host share. The type parameters are the clients of model engines,
/// of other services and of the table service.
#[derive(Debug)]
pub struct Shared<E, B, T> {
    /// This host's settings.
    pub settings: Settings,
    /// Random id of this start of the host's process.
    pub boot_id: FastStr,
    /// The host's monotonic clock.
    pub clock: Clock,
    /// The latest view of the upstreams that the control thread has published.
    pub view: ArcSwap<View>,
    /// Requests in flight from this host to each upstream.
    pub counters: inflight::Counters,
    /// Requests in flight on this host for each workspace.
    pub workspaces: inflight::Workspaces,
    /// Retry budgets.
    pub budgets: Budgets,
    /// Metrics.
    pub metrics: Metrics,
    /// Decision records of recent requests.
    pub records: record::RingBuffer,
    /// Client of model engines.
    pub engine: E,
    /// Client of plain services, which are those other than model engines.
    pub backend: B,
    /// Client of the table service.
    pub table: T,
    /// Events for the control thread.
    pub events: mpsc::Sender<Event>,
    /// Tasks that must end before the process exits.
    pub tasks: TaskTracker,
    /// Cancelled when the host takes no more requests.
    pub stop: CancellationToken,
    /// Cancelled when the last request has ended and the listeners close. Until then, requests that
    /// arrive after `stop` are refused with a response.
    pub closing: CancellationToken,
}

impl<E, B, T> Shared<E, B, T> {
    /// Returns the current time of the host's clock.
    pub fn now(&self) -> Instant {
        self.clock.now()
    }

    /// Sends an event to the control thread, or drops it when the queue is full. Events are hints
    /// that improve decisions.
    pub fn send_event(&self, event: Event) {
        if self.events.try_send(event).is_err() {
            log::debug!("control queue is full, event dropped");
        }
    }

    /// Returns whether this host is shutting down.
    pub fn is_draining(&self) -> bool {
        self.view.load().draining
    }

    /// Returns a new request id. It starts with this host's name, so that any host can find out
    /// which one has the request's record.
    pub fn new_request_id(&self) -> FastStr {
        format!("{}-{}", self.settings.host, uuid::Uuid::now_v7().simple()).into()
    }
}
