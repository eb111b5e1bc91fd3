//! Gateway processes: starts them, sends them signals and reads what they use.

use std::{
    fs::{self, File, OpenOptions},
    io,
    net::{IpAddr, SocketAddr},
    path::{Path, PathBuf},
    process::{ExitStatus, Stdio},
    time::Duration,
};

use mothvale_platform_standin::operator::{CALLER_PORT, READINESS_PORT, SETTINGS_VARIABLE};
use rustix::process::{Pid, Signal, kill_process};
use tokio::process::{Child, Command};

/// Size of the pages that `/proc/PID/statm` counts, in bytes.
const PAGE_BYTES: u64 = 4096;

/// One host: its files, and its process while it runs.
#[derive(Debug)]
pub struct Host {
    /// Its name.
    pub name: String,
    /// Address of its own, on which all its ports are.
    pub ip: IpAddr,
    /// Log of all its processes.
    pub log: PathBuf,
    settings: PathBuf,
    program: PathBuf,
    other_program: PathBuf,
    child: Option<Child>,
}

impl Host {
    /// Creates a host whose process does not run yet, and writes its settings file.
    ///
    /// # Errors
    ///
    /// Returns an error when the file cannot be written.
    pub fn new(
        name: &str,
        ip: IpAddr,
        program: &Path,
        folder: &Path,
        settings: &str,
    ) -> io::Result<Self> {
        let settings_file = folder.join(format!("{name}.settings"));
        fs::write(&settings_file, settings)?;
        Ok(Host {
            name: name.to_owned(),
            ip,
            log: folder.join(format!("{name}.log")),
            settings: settings_file,
            program: program.to_owned(),
            other_program: program.to_owned(),
            child: None,
        })
    }

    /// Returns where callers connect.
    pub fn caller_address(&self) -> SocketAddr {
        SocketAddr::new(self.ip, CALLER_PORT)
    }

    /// Returns where the balancer probes.
    pub fn readiness_address(&self) -> SocketAddr {
        SocketAddr::new(self.ip, READINESS_PORT)
    }

    /// Starts the process, which is killed when the host is dropped.
    ///
    /// # Errors
    ///
    /// Returns an error when the program or the log cannot be opened.
    pub fn start(&mut self) -> io::Result<()> {
        let log: File = OpenOptions::new().create(true).append(true).open(&self.log)?;
        let child = Command::new(&self.program)
            .arg("gateway")
            .env(SETTINGS_VARIABLE, &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .kill_on_drop(true)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    /// Makes the first process run the program of an earlier build.
    pub fn set_former_program(&mut self, program: &Path) {
        self.program = program.to_owned();
    }

    /// Makes the next process run the other program.
    pub fn replace_program(&mut self) {
        std::mem::swap(&mut self.program, &mut self.other_program);
    }

    /// Returns the length of the log, in bytes; 0 before the first process.
    pub fn log_length(&self) -> u64 {
        fs::metadata(&self.log).map_or(0, |it| it.len())
    }

    /// Sends a signal; returns whether there is a process that could get it.
    pub fn signal(&self, signal: Signal) -> bool {
        let pid = self.child.as_ref().and_then(|it| Pid::from_raw(it.id()?.try_into().ok()?));
        pid.is_some_and(|it| kill_process(it, signal).is_ok())
    }

    /// Returns how the process ended if it has, and forgets it.
    pub fn take_exit(&mut self) -> Option<ExitStatus> {
        // An error here means that the process cannot be waited for, which only its end explains.
        let status = self.child.as_mut()?.try_wait().ok().flatten()?;
        self.child = None;
        Some(status)
    }

    /// Returns whether a process runs or is suspended.
    pub fn is_running(&self) -> bool {
        self.child.is_some()
    }

    /// Returns the resident memory in bytes and the number of open files, if a process runs.
    pub fn usage(&self) -> Option<(u64, u64)> {
        let process = PathBuf::from(format!("/proc/{}", self.child.as_ref()?.id()?));
        let statm = fs::read_to_string(process.join("statm")).ok()?;
        let pages: u64 = statm.split_whitespace().nth(1)?.parse().ok()?;
        let files = fs::read_dir(process.join("fd")).ok()?.count();
        Some((pages * PAGE_BYTES, files as u64))
    }

    /// Returns for how long the process's first thread, which carries the traffic, has waited for a
    /// processor since its start.
    pub fn processor_wait(&self) -> Option<Duration> {
        let file = format!("/proc/{}/schedstat", self.child.as_ref()?.id()?);
        let text = fs::read_to_string(file).ok()?;
        // Time on the processor, time waiting for one, and number of turns.
        let nanos = text.split_whitespace().nth(1)?.parse().ok()?;
        Some(Duration::from_nanos(nanos))
    }
}
