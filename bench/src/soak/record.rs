//! What a run has seen: requests of callers with their outcomes, disturbances, and what operators
//! have asked for.

use std::time::{Duration, Instant};

use mothvale_platform_standin::{engine::Journal, operator::Bounds};

/// How a request ended at its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A whole response.
    Answered(u16),
    /// A connection that ended or broke before the end of the response, with the status if any.
    Cut(Option<u16>),
    /// A response that must not be: not the caller's own, or incomplete while it looks complete.
    Wrong(String),
    /// No end of the response until the caller's deadline.
    TimedOut,
    /// The caller left before.
    Left,
}

/// One attempt of a caller.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// Its id.
    pub id: String,
    /// Position of its route in the table of routes.
    pub route: usize,
    /// Host that it was sent to.
    pub host: usize,
    /// Which of the keys it carried.
    pub key: usize,
    /// When it was sent.
    pub at: Instant,
    /// How long the caller waits.
    pub deadline: Duration,
    /// Whether it resumes a stream of an earlier attempt.
    pub resumes: bool,
    /// How it ended.
    pub outcome: Outcome,
    /// When it ended.
    pub ended: Instant,
}

/// What a disturbance concerns.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// The process of one host: its start, a suspension, or SIGKILL.
    Host(usize),
    /// The process of one host, from SIGTERM until a new process runs.
    Stop(usize),
    /// The link of one host to the store.
    StoreLink(usize),
    /// The link of callers to one host.
    CallerLink(usize),
    /// The store.
    Store,
    /// A link that all hosts use.
    Link,
    /// One upstream.
    Upstream(usize),
    /// The machine that the soak runs on, which was too slow for a moment.
    Machine,
}

/// A time during which something was disturbed.
#[derive(Clone, Copy, Debug)]
pub struct Disturbance {
    /// What it concerned.
    pub scope: Scope,
    /// Its start.
    pub start: Instant,
    /// Its end, once it is over.
    pub end: Option<Instant>,
}

/// A time during which a request of the operator was acknowledged and not taken back.
#[derive(Clone, Debug)]
pub struct Period<T> {
    /// What was asked for.
    pub what: T,
    /// When the store had acknowledged it.
    pub from: Instant,
    /// When it began to be taken back.
    pub until: Option<Instant>,
}

impl<T> Period<T> {
    /// Returns whether `at` is later than `bound` after the start and before the end.
    pub fn binds(&self, at: Instant, bound: Duration) -> bool {
        at > self.from + bound && self.until.is_none_or(|it| at < it)
    }
}

/// A process of a host.
#[derive(Clone, Copy, Debug)]
pub struct Process {
    /// Its host.
    pub host: usize,
    /// When it was started.
    pub started: Instant,
    /// Length of the host's log then, in bytes. All that follows until the next process is its own.
    pub log_start: u64,
}

/// The end of a process after SIGTERM.
#[derive(Clone, Copy, Debug)]
pub struct Exit {
    /// Host of the process.
    pub host: usize,
    /// Position of the process among all of them.
    pub process: usize,
    /// When it got the signal.
    pub signalled: Instant,
    /// Time until its end, without suspensions; `None` if it did not end in time.
    pub took: Option<Duration>,
    /// Whether its exit status was 0, or the signal ended it before it handled signals.
    pub success: bool,
    /// Whether it had run long enough to handle signals.
    pub had_started: bool,
}

/// All that a run has seen.
#[derive(Debug, Default)]
pub struct Record {
    /// All attempts, in the order of their ends.
    pub attempts: Vec<Attempt>,
    /// All disturbances.
    pub disturbances: Vec<Disturbance>,
    /// Target weight versions.
    pub targets: Vec<Period<u32>>,
    /// Upstreams that reported that they leave, by id.
    pub drains: Vec<Period<String>>,
    /// Evacuated zones.
    pub evacuations: Vec<Period<String>>,
    /// Revoked keys, by position.
    pub revocations: Vec<Period<usize>>,
    /// All processes, in the order of their starts.
    pub processes: Vec<Process>,
    /// Ends after SIGTERM.
    pub exits: Vec<Exit>,
    /// SIGKILLs by host.
    pub kills: Vec<(usize, Instant)>,
    /// Processes that ended without a signal.
    pub own_ends: Vec<(usize, Instant)>,
    /// Longest delay of the soak's own timers, or wait of a host for a processor.
    pub longest_stall: Duration,
    /// Largest resident memory in bytes and number of open files, by host.
    pub usage: Vec<(u64, u64)>,
}

/// What the checks judge by.
#[derive(Debug)]
pub struct Evidence {
    /// What the run has seen itself.
    pub record: Record,
    /// What upstreams have received.
    pub journal: Journal,
    /// Text of the hosts' logs.
    pub logs: Vec<String>,
    /// Names of the hosts.
    pub host_names: Vec<String>,
    /// Zones of the upstreams.
    pub upstream_zones: Vec<String>,
    /// Keys of callers.
    pub keys: Vec<String>,
    /// The deployment's bounds.
    pub bounds: Bounds,
    /// Largest resident memory of a host, in bytes.
    pub max_memory: u64,
    /// Largest number of open files of a host.
    pub max_files: u64,
}

impl Record {
    /// Returns the position of the process of a host that ran at a time, or that had run last before it.
    pub fn process_at(&self, host: usize, at: Instant) -> Option<usize> {
        self.processes.iter().rposition(|it| it.host == host && it.started <= at)
    }
}

impl Evidence {
    /// Returns what a process has logged.
    pub fn log_of(&self, process: usize) -> &str {
        let processes = &self.record.processes;
        let Process { host, log_start, .. } = processes[process];
        let next = processes[process + 1..].iter().find(|it| it.host == host);
        let log = &self.logs[host];
        let end = next.map_or(log.len(), |it| it.log_start as usize);
        log.get(log_start as usize..end).unwrap_or_default()
    }

    /// Returns whether a host was without disturbance for the contact bound before `at`.
    pub fn in_contact(&self, host: usize, at: Instant) -> bool {
        self.is_calm(at, |scope| match scope {
            Scope::Host(it) | Scope::Stop(it) | Scope::StoreLink(it) | Scope::CallerLink(it) => {
                it == host
            }
            Scope::Store | Scope::Link | Scope::Machine => true,
            Scope::Upstream(_) => false,
        })
    }

    /// Returns whether nothing that `concerns` selects was disturbed for the contact bound before
    /// `at`.
    pub fn is_calm<F>(&self, at: Instant, concerns: F) -> bool
    where
        F: Fn(Scope) -> bool,
    {
        let contact = Duration::from_millis(self.bounds.contact_ms);
        !self.record.disturbances.iter().any(|it| {
            concerns(it.scope) && it.start <= at && it.end.is_none_or(|end| end + contact > at)
        })
    }

    /// Returns the last end of a disturbance of the store or of any link before `at`, or `at` if
    /// there is one now.
    pub fn last_link_disturbance(&self, at: Instant) -> Option<Instant> {
        let shared = self.record.disturbances.iter().filter(|it| it.start <= at);
        let shared = shared
            .filter(|it| !matches!(it.scope, Scope::Host(_) | Scope::Stop(_) | Scope::Upstream(_)));
        shared.map(|it| it.end.map_or(at, |end| end.min(at))).max()
    }
}
