//! Carries out the faults of a plan: begins and ends each at its time, and keeps the record of what
//! was disturbed.

use std::{
    io,
    os::unix::process::ExitStatusExt,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use mothvale_platform_standin::{
    engine::{self, Engine, Running},
    operator,
    store::{Health, Store},
};
use rustix::process::Signal;
use tokio::time::sleep;

use super::{
    client::{MAX_LATENESS, MODEL, lock},
    host::Host,
    link::{Link, Weather},
    mutant::Mutant,
    plan::{Action, Fault, Interruption},
    record::{Disturbance, Exit, Period, Process, Record, Scope},
};

/// How often processes are looked after.
const TICK: Duration = Duration::from_millis(20);
/// Until a process handles signals: SIGTERM ends one that is younger at once. It has no callers then.
const START_TIME: Duration = Duration::from_secs(1);
/// After which the mutant that cuts the grace period short kills a process.
const SHORT_GRACE: Duration = Duration::from_millis(300);

/// What a process of a host is meant to do.
#[derive(Clone, Copy, Debug, Default)]
struct Intent {
    /// Until when it is suspended, and since when.
    suspended: Option<(Instant, Instant)>,
    /// Until when it stays down once it has ended.
    down_until: Option<Instant>,
    /// When it got SIGTERM, and for how long it was suspended since.
    terminated: Option<(Instant, Duration)>,
    /// When the process started.
    started: Option<Instant>,
    /// For how long its traffic thread has waited for a processor.
    waited: Duration,
    killed: bool,
}

/// The parts of a run that faults concern.
pub struct Stage {
    /// All hosts.
    pub hosts: Vec<Host>,
    /// Links of callers to hosts.
    pub caller_links: Vec<Link>,
    /// Links of hosts to the store.
    pub store_links: Vec<Link>,
    /// Links of all hosts to upstreams.
    pub upstream_links: Vec<Link>,
    /// What stays of each upstream from start to start.
    pub engines: Vec<Engine>,
    /// Processes of upstreams, while they run.
    pub running: Vec<Option<Running>>,
    /// The store.
    pub store: Store,
    /// Zones.
    pub zones: Vec<String>,
    /// Workspaces and their keys in a configuration; the second is revoked at times.
    pub keys: Vec<(&'static str, String)>,
    /// Record of the run.
    pub record: Arc<Mutex<Record>>,
    /// What is broken on purpose.
    pub mutant: Option<Mutant>,
    /// Longest time that a process may take to end after SIGTERM.
    pub grace: Duration,
}

/// A stage with its present state.
pub struct Conductor {
    stage: Stage,
    intents: Vec<Intent>,
    active: Vec<Fault>,
    generations: Vec<u32>,
    weights: Vec<u32>,
    /// Build of each upstream, and the one that new upstreams get.
    builds: Vec<u32>,
    newest_build: u32,
    target: u32,
    configuration: u64,
}

impl Conductor {
    /// Creates the conductor of a stage on which nothing runs yet.
    pub fn new(stage: Stage) -> Self {
        let (hosts, upstreams) = (stage.hosts.len(), stage.engines.len());
        Conductor {
            stage,
            intents: vec![Intent::default(); hosts],
            active: Vec::new(),
            generations: vec![0; upstreams],
            weights: vec![1; upstreams],
            builds: vec![1; upstreams],
            newest_build: 1,
            target: 1,
            configuration: 0,
        }
    }

    /// Writes the first configuration and starts all upstreams and hosts.
    ///
    /// # Errors
    ///
    /// Returns an error when something cannot be started.
    pub async fn open(&mut self) -> io::Result<()> {
        self.configure(false);
        operator::set_weights(&self.stage.store, MODEL, self.target);
        for index in 0..self.stage.engines.len() {
            self.start_upstream(index, true).await?;
        }
        let now = Instant::now();
        for (index, host) in self.stage.hosts.iter_mut().enumerate() {
            host.start()?;
            self.intents[index].started = Some(now);
            let start = Disturbance { scope: Scope::Host(index), start: now, end: Some(now) };
            let mut record = lock(&self.stage.record);
            record.disturbances.push(start);
            record.processes.push(Process { host: index, started: now, log_start: 0 });
        }
        Ok(())
    }

    /// Carries out all faults, which are sorted by their start, until `is_over`.
    ///
    /// # Errors
    ///
    /// Returns an error when something cannot be started again.
    pub async fn play<F>(&mut self, start: Instant, faults: &[Fault], is_over: F) -> io::Result<()>
    where
        F: Fn() -> bool,
    {
        let mut waiting = faults.iter().peekable();
        while !is_over() {
            let elapsed = start.elapsed();
            while let Some(fault) = waiting.next_if(|it| it.start <= elapsed) {
                self.active.push(*fault);
                self.begin(fault, start).await?;
            }
            let (over, active): (Vec<_>, Vec<_>) =
                self.active.iter().partition(|it| it.end <= elapsed);
            self.active = active;
            for fault in over {
                self.finish(&fault).await?;
            }
            self.look_after(false)?;
            sleep(TICK).await;
        }
        Ok(())
    }

    /// Ends all faults, stops all hosts with SIGTERM and waits for their ends.
    ///
    /// # Errors
    ///
    /// Returns an error when something cannot be started again.
    pub async fn close(&mut self) -> io::Result<()> {
        for fault in std::mem::take(&mut self.active) {
            self.finish(&fault).await?;
        }
        for (host, intent) in self.intents.iter_mut().enumerate() {
            intent.suspended = None;
            intent.down_until = None;
            self.stage.hosts[host].signal(Signal::CONT);
            terminate(&self.stage, intent, host);
        }
        while self.stage.hosts.iter().any(Host::is_running) {
            self.look_after(true)?;
            sleep(TICK).await;
        }
        Ok(())
    }

    async fn begin(&mut self, fault: &Fault, start: Instant) -> io::Result<()> {
        let now = Instant::now();
        let until = start + fault.end;
        self.disturb(fault);
        match fault.action {
            Action::Interrupt(host, interruption) => self.interrupt(host, interruption, until),
            Action::StoreLink(..) | Action::CallerLink(..) | Action::UpstreamLink(..) => {
                self.set_weathers();
            }
            Action::Store(health) => self.stage.store.set_health(health),
            Action::Misbehave(upstream, mode) => {
                if let Some(it) = &self.stage.running[upstream] {
                    it.set_mode(mode);
                }
            }
            Action::IgnoreOrders(upstream) => {
                if let Some(it) = &self.stage.running[upstream] {
                    it.set_ignores_orders(true);
                }
            }
            Action::NewBuild => self.newest_build += 1,
            Action::Limit(upstream, hundredths) => {
                if let Some(it) = &self.stage.running[upstream] {
                    it.set_limit(Some(f64::from(hundredths) / 100.0));
                }
            }
            Action::Crash(upstream, _) => {
                if let Some(it) = self.stage.running[upstream].take() {
                    self.weights[upstream] = it.version();
                }
            }
            Action::Drain(upstream) => {
                if let Some(it) = &self.stage.running[upstream] {
                    it.drain(self.stage.mutant == Some(Mutant::SilentDrain));
                    let (from, until) = (Instant::now(), None);
                    lock(&self.stage.record).drains.push(Period { what: it.id(), from, until });
                }
            }
            Action::Evacuate(zone) => {
                let zone = self.stage.zones[zone].clone();
                if self.stage.mutant != Some(Mutant::SilentEvacuation) {
                    operator::set_evacuated(&self.stage.store, &zone, true);
                }
                let (from, until) = (Instant::now(), None);
                lock(&self.stage.record).evacuations.push(Period { what: zone, from, until });
            }
            Action::Revoke => {
                self.configure(true);
                let (from, until) = (Instant::now(), None);
                lock(&self.stage.record).revocations.push(Period { what: 1, from, until });
            }
            Action::NewWeights => {
                self.target += 1;
                operator::set_weights(&self.stage.store, MODEL, self.target);
                let (from, until) = (now, None);
                lock(&self.stage.record).targets.push(Period { what: self.target, from, until });
            }
        }
        Ok(())
    }

    async fn finish(&mut self, fault: &Fault) -> io::Result<()> {
        match fault.action {
            Action::StoreLink(..) | Action::CallerLink(..) | Action::UpstreamLink(..) => {
                self.set_weathers();
            }
            Action::Store(_) => {
                let health = self.active.iter().rev().find_map(|it| match it.action {
                    Action::Store(health) => Some(health),
                    _ => None,
                });
                self.stage.store.set_health(health.unwrap_or(Health::Good));
            }
            Action::Misbehave(upstream, _) => {
                if let Some(it) = &self.stage.running[upstream] {
                    it.set_mode(engine::Mode::Good);
                }
            }
            Action::IgnoreOrders(upstream) => {
                if let Some(it) = &self.stage.running[upstream] {
                    it.set_ignores_orders(false);
                }
            }
            Action::Limit(upstream, _) => {
                if let Some(it) = &self.stage.running[upstream] {
                    it.set_limit(None);
                }
            }
            Action::Crash(upstream, is_new) => self.start_upstream(upstream, is_new).await?,
            Action::Drain(upstream) => {
                if let Some(it) = self.stage.running[upstream].take() {
                    it.unregister();
                }
                self.start_upstream(upstream, true).await?;
            }
            Action::Evacuate(zone) => {
                let same = |it: &Fault| it.action == Action::Evacuate(zone);
                if !self.active.iter().any(same) {
                    let zone = self.stage.zones[zone].clone();
                    let now = Instant::now();
                    let mut record = lock(&self.stage.record);
                    let periods = record.evacuations.iter_mut().filter(|it| it.what == zone);
                    end_periods(periods, now);
                    operator::set_evacuated(&self.stage.store, &zone, false);
                }
            }
            Action::Revoke => {
                if !self.active.iter().any(|it| it.action == Action::Revoke) {
                    end_periods(lock(&self.stage.record).revocations.iter_mut(), Instant::now());
                    self.configure(false);
                }
            }
            Action::NewWeights | Action::NewBuild | Action::Interrupt(..) => {}
        }
        self.settle();
        Ok(())
    }

    fn interrupt(&mut self, host: usize, interruption: Interruption, until: Instant) {
        let now = Instant::now();
        if interruption == Interruption::Replace {
            self.stage.hosts[host].replace_program();
        }
        let (process, intent) = (&self.stage.hosts[host], &mut self.intents[host]);
        if interruption == Interruption::Reload {
            process.signal(Signal::HUP);
            return;
        }
        if !process.is_running() {
            return;
        }
        let scope = match interruption {
            Interruption::Terminate | Interruption::Replace => Scope::Stop(host),
            _ => Scope::Host(host),
        };
        lock(&self.stage.record).disturbances.push(Disturbance { scope, start: now, end: None });
        match interruption {
            Interruption::Suspend => {
                process.signal(Signal::STOP);
                let (end, start) = intent.suspended.unwrap_or((until, now));
                intent.suspended = Some((end.max(until), start));
            }
            Interruption::Kill => {
                intent.killed = true;
                intent.down_until = intent.down_until.max(Some(until));
                process.signal(Signal::KILL);
                lock(&self.stage.record).kills.push((host, now));
            }
            Interruption::Terminate | Interruption::Replace if intent.terminated.is_none() => {
                intent.down_until = intent.down_until.max(Some(until));
                terminate(&self.stage, intent, host);
            }
            Interruption::Terminate | Interruption::Replace | Interruption::Reload => {}
        }
    }

    /// Wakes, restarts and gives up on processes whose time has come, and notes what they use.
    /// `last` is whether processes stay down once they have ended.
    fn look_after(&mut self, last: bool) -> io::Result<()> {
        let now = Instant::now();
        for (index, host) in self.stage.hosts.iter_mut().enumerate() {
            let intent = &mut self.intents[index];
            if let Some((_, start)) = intent.suspended.take_if(|it| it.0 <= now) {
                host.signal(Signal::CONT);
                if let Some((signalled, suspended)) = &mut intent.terminated {
                    *suspended += now.duration_since(start.max(*signalled));
                }
            }
            let mut record = lock(&self.stage.record);
            let process = record.process_at(index, now).unwrap_or_default();
            if let Some(status) = host.take_exit() {
                let terminated = intent.terminated.take();
                match terminated {
                    _ if std::mem::take(&mut intent.killed) => {}
                    Some((signalled, suspended)) => {
                        let took = now.duration_since(signalled).saturating_sub(suspended);
                        let age = intent.started.map_or(START_TIME, |it| signalled - it);
                        let had_started = age >= START_TIME;
                        let by_signal = status.signal() == Some(Signal::TERM.as_raw());
                        let success = status.success() || by_signal && !had_started;
                        let took = Some(took);
                        let exit =
                            Exit { host: index, process, signalled, took, success, had_started };
                        record.exits.push(exit);
                    }
                    None => record.own_ends.push((index, now)),
                }
                intent.suspended = None;
            }
            if let Some((signalled, suspended)) = intent.terminated
                && intent.suspended.is_none()
                && !intent.killed
                && now > signalled + suspended + self.stage.grace
            {
                let (took, success, had_started) = (None, false, true);
                let exit = Exit { host: index, process, signalled, took, success, had_started };
                record.exits.push(exit);
                intent.killed = true;
                record.kills.push((index, now));
                host.signal(Signal::KILL);
            }
            if self.stage.mutant == Some(Mutant::ShortGrace)
                && intent.terminated.is_some_and(|it| now > it.0 + SHORT_GRACE)
            {
                host.signal(Signal::KILL);
            }
            if !host.is_running() && !last && intent.down_until.is_none_or(|it| it <= now) {
                let log_start = host.log_length();
                host.start()?;
                record.processes.push(Process { host: index, started: now, log_start });
                *intent = Intent { started: Some(now), ..Intent::default() };
            }
            // A process that was killed runs until its end is seen.
            let is_undisturbed =
                intent.suspended.is_none() && intent.terminated.is_none() && !intent.killed;
            if host.is_running() && is_undisturbed {
                let of_process = [Scope::Host(index), Scope::Stop(index)];
                let same = |it: &&mut Disturbance| of_process.contains(&it.scope);
                let mut open = record.disturbances.iter_mut().filter(same);
                open.by_ref().filter(|it| it.end.is_none()).for_each(|it| it.end = Some(now));
            }
            if let Some(waited) = host.processor_wait() {
                let longer = waited.saturating_sub(intent.waited);
                intent.waited = waited;
                record.longest_stall = record.longest_stall.max(longer);
                if longer > MAX_LATENESS {
                    let (start, end) = (now.checked_sub(longer).unwrap_or(now), Some(now));
                    let scope = Scope::Machine;
                    record.disturbances.push(Disturbance { scope, start, end });
                }
            }
            if let Some((memory, files)) = host.usage() {
                let most = &mut record.usage[index];
                *most = (most.0.max(memory), most.1.max(files));
            }
        }
        Ok(())
    }

    /// Starts an upstream with a new id or the one that it had, unless it runs.
    async fn start_upstream(&mut self, index: usize, is_new: bool) -> io::Result<()> {
        if self.stage.running[index].is_some() {
            return Ok(());
        }
        let engine = self.stage.engines[index].clone();
        let old_id = format!("u{index}-{}", self.generations[index]);
        if is_new {
            self.stage.store.remove("servers", &old_id);
            self.generations[index] += 1;
            self.weights[index] = self.target;
            self.builds[index] = self.newest_build;
        }
        {
            let mut record = lock(&self.stage.record);
            let left = record.drains.iter_mut().filter(|it| it.what == old_id);
            end_periods(left, Instant::now());
        }
        let id = format!("u{index}-{}", self.generations[index]);
        let link = &self.stage.upstream_links[index];
        let running = engine
            .start(&id, self.weights[index], self.builds[index], |it| link.set_target(it))
            .await?;
        self.stage.running[index] = Some(running);
        Ok(())
    }

    /// Writes the next configuration, without the second key if it is `revoked`.
    fn configure(&mut self, revoked: bool) {
        let revoked = revoked && self.stage.mutant != Some(Mutant::SilentRevocation);
        self.configuration += 1;
        let keys: Vec<_> = self.stage.keys.iter().map(|it| (it.0, it.1.as_str())).collect();
        let keys = if revoked { &keys[..1] } else { &keys[..] };
        let label = match self.stage.mutant {
            Some(Mutant::KeyInName) => &self.stage.keys[0].1,
            _ => "",
        };
        operator::configure(&self.stage.store, self.configuration, keys, MODEL, label);
    }

    /// Gives each link the weather of the latest fault of it that lasts.
    fn set_weathers(&mut self) {
        let latest = |select: &dyn Fn(&Action) -> Option<Weather>| {
            self.active.iter().rev().find_map(|it| select(&it.action)).unwrap_or_default()
        };
        for (index, link) in self.stage.store_links.iter_mut().enumerate() {
            link.set_weather(latest(&|it| match it {
                Action::StoreLink(host, weather) if *host == index => Some(*weather),
                _ => None,
            }));
        }
        for (index, link) in self.stage.caller_links.iter_mut().enumerate() {
            link.set_weather(latest(&|it| match it {
                Action::CallerLink(host, weather) if *host == index => Some(*weather),
                _ => None,
            }));
        }
        for (index, link) in self.stage.upstream_links.iter_mut().enumerate() {
            link.set_weather(latest(&|it| match it {
                Action::UpstreamLink(upstream, weather) if *upstream == index => Some(*weather),
                _ => None,
            }));
        }
    }

    /// Notes that a fault of a link, of the store or of an upstream has begun.
    fn disturb(&self, fault: &Fault) {
        if let Some(scope) = scope(&fault.action) {
            let (start, end) = (Instant::now(), None);
            lock(&self.stage.record).disturbances.push(Disturbance { scope, start, end });
        }
    }

    /// Notes the end of all disturbances, other than of processes, that no fault causes any more.
    fn settle(&self) {
        let now = Instant::now();
        for it in &mut lock(&self.stage.record).disturbances {
            let lasts = self.active.iter().any(|fault| scope(&fault.action) == Some(it.scope));
            let of_process = matches!(it.scope, Scope::Host(_) | Scope::Stop(_));
            if it.end.is_none() && !lasts && !of_process {
                it.end = Some(now);
            }
        }
    }
}

/// Returns what a fault of a link, of the store or of an upstream disturbs.
fn scope(action: &Action) -> Option<Scope> {
    match action {
        Action::StoreLink(host, _) => Some(Scope::StoreLink(*host)),
        Action::CallerLink(host, _) => Some(Scope::CallerLink(*host)),
        Action::UpstreamLink(..) => Some(Scope::Link),
        Action::Store(_) => Some(Scope::Store),
        Action::Misbehave(upstream, _) | Action::Crash(upstream, _) | Action::Drain(upstream) => {
            Some(Scope::Upstream(*upstream))
        }
        _ => None,
    }
}

fn end_periods<'a, T, I>(periods: I, now: Instant)
where
    T: 'a,
    I: Iterator<Item = &'a mut Period<T>>,
{
    periods.filter(|it| it.until.is_none()).for_each(|it| it.until = Some(now));
}

/// Sends SIGTERM to the process of a host, if it runs and has not got it yet.
fn terminate(stage: &Stage, intent: &mut Intent, host: usize) {
    if intent.terminated.is_some() || !stage.hosts[host].is_running() {
        return;
    }
    intent.terminated = Some((Instant::now(), Duration::ZERO));
    if stage.mutant != Some(Mutant::LostSignal) {
        stage.hosts[host].signal(Signal::TERM);
    }
}
