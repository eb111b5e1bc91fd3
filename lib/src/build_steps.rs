//! Who takes the next step when a service moves to another build, and which one: the writes of the order's
//! status row.
//!
//! The status row is state and lease at once. Each step is a write on condition of the row's version, and
//! counts only once it is written. So two hosts that both take themselves for the holder cannot both take a
//! step, and a holder that is killed takes nothing along. The row names the holder and until when, so that
//! the other hosts do not compete with it.
//!
//! Load pattern: a third of the hosts restart, and the row store is down or slow, while hundreds of requests
//! a second wait for the build that gets them. Does no I/O.

use crate::{
    build_share::{Level, Phase, Progress, Status},
    build_trial::{self, Schedule, Trial, Verdict},
    host_settings::Exposure,
    prelude::*,
};

/// Time for which the holder keeps others from taking a step, from each write on.
const HOLD: Duration = Duration::from_millis(2000);
/// Remaining time of that at which the holder writes the row again.
const RENEW_BEFORE_END: Duration = Duration::from_millis(900);
/// How long the new build gets all requests before the old ones are sealed.
const FULL_STAY: Duration = Duration::from_millis(1500);
/// The same while little time is left: this part of it, and at least the second time.
const SHORT_FULL_FRACTION: f64 = 0.25;
const MIN_FULL_STAY: Duration = Duration::from_millis(400);
/// The old builds are sealed once the new one has one in this many of their number of upstreams.
const UPSTREAMS_FOR_ALL: usize = 2;
/// How long no host may have had anything under way at the old builds before the move is complete.
const QUIET_STAY: Duration = Duration::from_millis(600);
/// How old a host's report may be that counts.
const REPORT_TTL: Duration = Duration::from_millis(1500);
/// How long after the sealing a host that reports nothing counts as gone.
const SILENCE_LIMIT: Duration = Duration::from_secs(4);

/// What one host has reported about the old builds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Report {
    /// When the report came.
    pub at: Instant,
    /// Number of the step that the host knows.
    pub step: u32,
    /// Requests under way from it at upstreams of old builds.
    pub old_in_flight: u32,
}

/// The status row as it was read or written last.
#[derive(Clone, Debug, PartialEq)]
pub struct StoredStatus {
    /// Its version, 0 if there is no row.
    pub version: u64,
    /// Its contents; `None` if there is no row, or one that cannot be read.
    pub status: Option<Status>,
}

/// What the holder knows when it decides.
#[derive(Clone, Copy, Debug)]
pub struct Situation<'a> {
    /// The present time.
    pub now: Instant,
    /// The row store's clock.
    pub clock: Duration,
    /// What this host knows of the order.
    pub progress: &'a Progress,
    /// The status row.
    pub stored: &'a StoredStatus,
    /// Builds of the service's upstreams, other than the new one.
    pub old_builds: &'a [Build],
    /// Upstreams of the new build that are not cold, and all of the old builds.
    pub upstreams: (usize, usize),
    /// Whether the move can be completed: every host has left the old builds.
    pub has_left_old: bool,
    /// Answers to requests of the service since the order, and those of them of the new build.
    pub answers: (u64, u64),
}

/// What to do about the status row.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Nothing now.
    Wait,
    /// Write this row if the stored one has the version that was read.
    Write(Status),
}

/// One host's part in taking the steps of an order.
#[derive(Clone, Debug)]
pub struct Steps {
    host: FastStr,
    boot: u64,
    schedule: Schedule,
    /// The step that this host acts on, and since when.
    step_since: Option<(u32, Instant)>,
    /// Whether it was logged that the order is not carried out in time.
    is_late: bool,
}

impl Steps {
    /// Creates the part of a host that has taken no step. `boot` identifies its process start.
    pub fn new(host: &Host, boot: u64, exposure: Exposure) -> Self {
        let bounds = build_trial::Bounds {
            exposure_share: exposure.share,
            exposure_slack: exposure.slack.clamp(0.0, f64::from(u32::MAX)) as u32,
        };
        Steps {
            host: FastStr::new(host.as_str()),
            boot,
            schedule: Schedule::new(bounds),
            step_since: None,
            is_late: false,
        }
    }

    /// Returns whether a status row names this process as the holder.
    pub fn is_own(&self, status: &Status) -> bool {
        status.holder == self.host && status.boot == self.boot
    }

    /// Decides about the status row. `verdict` is that on the answers so far, `trial` the trial that it is of.
    pub fn next(&mut self, situation: &Situation<'_>, verdict: Verdict, trial: &Trial) -> Action {
        let Situation { now, clock, progress, stored, .. } = *situation;
        let Some(order) = &progress.order else { return Action::Wait };
        let clock_ms = millis(clock);
        let current = stored
            .status
            .as_ref()
            .filter(|it| it.order == order.version && *it.to == *order.to.as_str());
        let phase = match progress.phase() {
            Phase::Running if matches!(verdict, Verdict::Bad(_)) => Phase::RolledBack,
            phase => phase,
        };
        let stored_phase = current.map(|it| it.phase);
        if stored_phase == Some(Phase::Completed)
            || stored_phase == Some(Phase::RolledBack) && phase == Phase::RolledBack
        {
            return Action::Wait;
        }
        // That a build is bad, or has taken over, is known for good: any host may write it.
        let is_final = phase != Phase::Running;
        let is_own = current.is_some_and(|it| self.is_own(it));
        let is_free = current.is_none_or(|it| it.until_ms <= clock_ms);
        if !is_own && !is_free && !is_final {
            self.step_since = None;
            return Action::Wait;
        }
        let base = Status {
            phase,
            to: FastStr::new(order.to.as_str()),
            order: order.version,
            step: progress.step,
            level: progress.level,
            since_ms: current.map_or(clock_ms, |it| it.since_ms),
            holder: self.host.clone(),
            boot: self.boot,
            until_ms: clock_ms + millis(HOLD),
            retired: Vec::new(),
            barred: progress.barred.iter().map(|it| FastStr::new(it.as_str())).collect(),
        };
        if phase == Phase::Completed {
            let retired = progress.retired.iter().map(|it| FastStr::new(it.as_str())).collect();
            return Action::Write(Status { retired, ..base });
        }
        if is_final || !is_own {
            return Action::Write(base);
        }
        let since = match self.step_since {
            Some((step, since)) if step == progress.step => since,
            _ => {
                self.step_since = Some((progress.step, now));
                now
            }
        };
        if let Some(next) = self.next_level(situation, verdict, trial, since, base.since_ms) {
            return Action::Write(match next {
                Next::Level(level) => Status { step: progress.step + 1, level, ..base },
                Next::Complete => {
                    let old = situation.old_builds.iter();
                    let retired = old.map(|it| FastStr::new(it.as_str())).collect();
                    Status { phase: Phase::Completed, retired, ..base }
                }
            });
        }
        let is_due = current.is_none_or(|it| it.until_ms <= clock_ms + millis(RENEW_BEFORE_END));
        if is_due { Action::Write(base) } else { Action::Wait }
    }

    fn next_level(
        &mut self,
        situation: &Situation<'_>,
        verdict: Verdict,
        trial: &Trial,
        since: Instant,
        since_ms: u64,
    ) -> Option<Next> {
        let Situation { now, clock, progress, .. } = *situation;
        let order = progress.order.as_ref()?;
        let age = clock.saturating_sub(Duration::from_millis(since_ms));
        if age > order.deadline && !std::mem::replace(&mut self.is_late, true) {
            log::warn!(service = order.service.as_str(), build = order.to.as_str(),
                step = progress.step, permille = progress.level.permille,
                sealed = progress.level.sealed, verdict = verdict_name(verdict),
                odds = trial.odds(), answers = situation.answers.0,
                answers_new = situation.answers.1, upstreams_new = situation.upstreams.0,
                upstreams_old = situation.upstreams.1;
                "service has not moved to a build by its deadline");
        }
        let level = progress.level;
        let (new, old) = situation.upstreams;
        if level.sealed {
            return situation.has_left_old.then_some(Next::Complete);
        }
        if level == Level::FULL {
            let bears_all = new > 0 && new * UPSTREAMS_FOR_ALL >= old;
            let short = order.deadline.saturating_sub(age).mul_f64(SHORT_FULL_FRACTION);
            let stay = FULL_STAY.min(short.max(MIN_FULL_STAY));
            let is_due = bears_all && now.since(since) >= stay;
            return is_due.then_some(Next::Level(Level::SEALED));
        }
        if new == 0 {
            return None;
        }
        let (requests, exposed) = situation.answers;
        let share = self.schedule.share(&build_trial::Progress {
            now,
            ordered: now.saturating_sub(age),
            deadline: order.deadline,
            share: level.share(),
            since,
            requests,
            exposed,
            verdict,
            odds: trial.odds(),
        });
        let next = Level::new(share);
        (next != level).then_some(Next::Level(next))
    }
}

/// The next step of an order.
enum Next {
    Level(Level),
    Complete,
}

/// Returns the name of a verdict for logs.
pub fn verdict_name(verdict: Verdict) -> &'static str {
    match verdict {
        Verdict::Undecided => "undecided",
        Verdict::Good => "good",
        Verdict::Bad(_) => "bad",
    }
}

/// Finds out whether all hosts have left the old builds.
#[derive(Clone, Debug, Default)]
pub struct Leaving {
    /// The sealed step, and when this host first looked at it.
    sealed_since: Option<(u32, Instant)>,
    /// Since when nothing is under way.
    quiet_since: Option<Instant>,
}

impl Leaving {
    /// Returns whether nothing has been under way at the old builds for a while. `reports` are those of the
    /// known `hosts`.
    pub fn observe<F>(&mut self, now: Instant, step: u32, hosts: &[Host], report: F) -> bool
    where
        F: Fn(&Host) -> Option<Report>,
    {
        let since = match self.sealed_since {
            Some((sealed, since)) if sealed == step => since,
            _ => {
                self.sealed_since = Some((step, now));
                self.quiet_since = None;
                now
            }
        };
        let has_left = |host: &Host| match report(host).filter(|it| now.since(it.at) < REPORT_TTL) {
            Some(report) => report.step >= step && report.old_in_flight == 0,
            // A host that was killed keeps its row.
            None => now.since(since) >= SILENCE_LIMIT,
        };
        if !hosts.iter().all(has_left) {
            self.quiet_since = None;
            return false;
        }
        now.since(*self.quiet_since.get_or_insert(now)) >= QUIET_STAY
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
