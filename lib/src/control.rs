//! The control thread: passes events to the [`HealthTracker`] and executes the commands that it
//! returns.

use std::thread::JoinHandle;

use tokio::{
    runtime,
    sync::mpsc,
    task::JoinSet,
    time::{MissedTickBehavior, interval},
};

use crate::{
    backend::PlainService,
    engine::Engine,
    health_tracker::{Command, Event, HealthTracker},
    peer::Peers,
    prelude::*,
    shared::Shared,
    table::Table,
};

/// Interval between tick events.
const TICK_PERIOD: Duration = Duration::from_millis(50);

/// Starts the control thread of a host. It ends when the host's `stop` token is cancelled.
///
/// # Errors
///
/// Returns an error when the runtime or the thread cannot be created.
pub fn start<E, B, T>(
    shared: Arc<Shared<E, B, T>>,
    engine: E,
    tracker: HealthTracker,
    peers: Option<Peers>,
    events: mpsc::Receiver<Event>,
) -> std::io::Result<JoinHandle<()>>
where
    E: Engine,
    B: PlainService,
    T: Table,
{
    let runtime = runtime::Builder::new_current_thread().enable_all().build()?;
    let control = Control { shared, engine, tracker, peers, events, tasks: JoinSet::new() };
    let name = "control".to_owned();
    std::thread::Builder::new().name(name).spawn(move || runtime.block_on(control.run()))
}

/// State of the control thread.
struct Control<E, B, T> {
    shared: Arc<Shared<E, B, T>>,
    engine: E,
    tracker: HealthTracker,
    peers: Option<Peers>,
    events: mpsc::Receiver<Event>,
    /// Calls in flight; each ends with an event for the tracker.
    tasks: JoinSet<Event>,
}

impl<E, B, T> Control<E, B, T>
where
    E: Engine,
    B: PlainService,
    T: Table,
{
    async fn run(mut self) {
        let mut ticks = interval(TICK_PERIOD);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let stop = self.shared.stop.clone();
        loop {
            let event = tokio::select! {
                () = stop.cancelled() => return,
                _ = ticks.tick() => Event::Tick,
                Some(event) = self.events.recv() => event,
                Some(Ok(event)) = self.tasks.join_next() => event,
            };
            let commands = self.tracker.handle(self.shared.now(), event);
            for command in commands {
                self.execute(command);
            }
        }
    }

    fn execute(&mut self, command: Command) {
        match command {
            Command::Publish(view) => self.shared.view.store(view),
            Command::Poll(index) => {
                let (shared, engine) = (self.shared.clone(), self.engine.clone());
                self.tasks.spawn(async move { fetch_load_report(&shared, &engine, index).await });
            }
            Command::Probe(host) => {
                let Some(peers) = self.peers.clone() else { return };
                self.tasks.spawn(async move {
                    let alive = peers.probe(host.as_str()).await.is_some_and(|it| !it.leaving);
                    Event::Probed { host, alive }
                });
            }
        }
    }
}

/// Fetches the load report of an upstream, and returns it or the failure as an event.
async fn fetch_load_report<E, B, T>(shared: &Shared<E, B, T>, engine: &E, index: usize) -> Event
where
    E: Engine,
{
    let requested_at = shared.now();
    let endpoint = shared.settings.catalog.upstreams[index].endpoint;
    let result = engine.load_report(endpoint).await;
    Event::Report { index, requested_at, own_in_flight: shared.counters.get(index), result }
}
