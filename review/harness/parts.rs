//! Stand-ins for runners and requesters, the gateway as a process, and the record of a case.

use std::collections::HashMap;
use std::fs::File;
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::store::Store;
use crate::util::*;

/// What happened, in `record.txt`.
pub struct Record {
    pub clock: Clock,
    file: Mutex<File>,
}

impl Record {
    pub fn create(path: &Path) -> Arc<Record> {
        let file = File::create(path).expect("record.txt");
        Arc::new(Record { clock: Clock::start(), file: Mutex::new(file) })
    }
    pub fn line(&self, text: &str) {
        let _ = writeln!(self.file.lock().unwrap(), "{:>6} ms  {text}", self.clock.ms());
    }
}

/// What a runner does with a request.
#[derive(Clone)]
pub enum Work {
    /// Works for some ms, then answers with so many bytes.
    Whole { ms: u64, bytes: usize },
    /// Answers with so many events, one each so many ms, the first one after `first_ms`.
    Events { count: u64, first_ms: u64, gap_ms: u64 },
}

/// What a runner in trouble sends instead of an answer, until the caller closes.
#[derive(Clone, Copy)]
pub struct Trouble {
    pub head: &'static str,
    pub endless: &'static str,
}

const HEARTBEAT_MS: u64 = 1_200;

pub struct Runner {
    pub id: String,
    pub address: SocketAddr,
    service: String,
    zone: String,
    slots: usize,
    queue: usize,
    work: Mutex<Work>,
    model: Option<String>,
    version: String,
    /// When it last wrote its entry, and how long after the store's return it does so again.
    pub last_beat_ms: AtomicU64,
    pub return_ms: AtomicU64,
    /// Whether it has not begun to write its entry.
    pub unlisted: AtomicBool,
    /// Whether the process has ended.
    stopped: AtomicBool,
    record: Arc<Record>,
    busy: AtomicUsize,
    held: AtomicUsize,
    stamps: AtomicU64,
    /// Set while the runner is in trouble.
    pub trouble: Mutex<Option<Trouble>>,
    /// Bytes that it has sent in trouble.
    pub endless_bytes: AtomicU64,
    /// Request ids that began to run, with the time.
    pub runs: Mutex<HashMap<String, u64>>,
    /// Request ids whose answer was written in full.
    pub done: Mutex<HashMap<String, u64>>,
}

impl Runner {
    #[allow(clippy::too_many_arguments)]
    pub fn start(
        store: &Arc<Store>,
        record: &Arc<Record>,
        ip: &str,
        id: &str,
        service: &str,
        zone: &str,
        (slots, queue): (usize, usize),
        work: Work,
        model: Option<&str>,
        version: &str,
    ) -> Arc<Runner> {
        let listener = TcpListener::bind((ip, 0)).expect("bind runner");
        let runner = Arc::new(Runner {
            id: id.into(),
            address: listener.local_addr().unwrap(),
            service: service.into(),
            zone: zone.into(),
            slots,
            queue,
            work: Mutex::new(work),
            model: model.map(Into::into),
            version: version.trim_end_matches("-later").into(),
            last_beat_ms: AtomicU64::new(0),
            return_ms: AtomicU64::new(0),
            unlisted: AtomicBool::new(version == "v2-later"),
            stopped: AtomicBool::new(false),
            record: record.clone(),
            busy: AtomicUsize::new(0),
            held: AtomicUsize::new(0),
            stamps: AtomicU64::new(0),
            trouble: Mutex::default(),
            endless_bytes: AtomicU64::new(0),
            runs: Mutex::default(),
            done: Mutex::default(),
        });
        let (shared, beats) = (store.clone(), runner.clone());
        std::thread::spawn(move || beats.beat(&shared));
        let serving = runner.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if serving.stopped.load(Ordering::SeqCst) {
                    return;
                }
                let runner = serving.clone();
                std::thread::spawn(move || runner.serve(stream));
            }
        });
        runner
    }

    /// Writes the runner's entry every heartbeat. While the store is down, the entry is removed after three
    /// intervals of silence.
    fn beat(&self, store: &Store) {
        while self.unlisted.load(Ordering::SeqCst) {
            sleep_ms(5);
        }
        for sequence in 1.. {
            let mut lapsed = false;
            while store.down.load(Ordering::SeqCst) {
                let silent = self.record.clock.ms() - self.last_beat_ms.load(Ordering::SeqCst);
                if silent >= 3 * HEARTBEAT_MS && !lapsed {
                    lapsed = true;
                    store.put("servers", &self.id, None);
                    self.record.line(&format!("the entry of {} is removed", self.id));
                }
                sleep_ms(10);
            }
            if lapsed {
                sleep_ms(self.return_ms.load(Ordering::SeqCst));
                self.record.line(&format!("{} writes its entry again", self.id));
            }
            if self.stopped.load(Ordering::SeqCst) {
                return;
            }
            store.put("servers", &self.id, Some(&self.row(sequence)));
            let now = self.record.clock.ms();
            self.last_beat_ms.store(now, Ordering::SeqCst);
            while self.record.clock.ms() < now + HEARTBEAT_MS && !store.down.load(Ordering::SeqCst)
            {
                sleep_ms(10);
            }
        }
    }

    /// Ends at once, in the middle of all requests.
    pub fn stop(&self) {
        self.stopped.store(true, Ordering::SeqCst);
        let _ = TcpStream::connect(self.address);
    }

    /// Sets what the runner does with further requests.
    pub fn set_work(&self, work: Work) {
        *self.work.lock().unwrap() = work;
    }

    /// Returns the number of requests at work.
    pub fn at_work(&self) -> usize {
        self.busy.load(Ordering::SeqCst)
    }

    fn row(&self, sequence: u64) -> String {
        let models = match &self.model {
            Some(name) => format!(
                ",\"stage\":\"unified\",\"models\":[{{\"name\":{},\"version\":1,\"adapters\":[]}}]",
                quote(name)
            ),
            None => String::new(),
        };
        format!(
            "{{\"service\":{},\"address\":\"{}\",\"zone\":{},\"version\":\"{}\",\"slots\":{},\
             \"state\":\"ready\",\"cold-remaining-ms\":0,\"sequence\":{sequence}{models}}}",
            quote(&self.service),
            self.address,
            quote(&self.zone),
            self.version,
            self.slots
        )
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(clone) = stream.try_clone() else { return };
        let mut reader = BufReader::with_capacity(64 << 10, clone);
        let mut stream = stream;
        while let Some(head) = read_head(&mut reader) {
            let Some(_) = read_body(&mut reader, &head, false) else { return };
            if self.stopped.load(Ordering::SeqCst) {
                return;
            }
            if !self.answer(&mut stream, &head) {
                return;
            }
        }
    }

    fn answer(&self, stream: &mut TcpStream, head: &Head) -> bool {
        let head_fields = head;
        let request = head.field("request-id").unwrap_or("").to_string();
        let id = ("Instance-Id", self.id.clone());
        let echo = ("Request-Id", request.clone());
        if head.field("expect-instance").is_some_and(|it| it != self.id) {
            return respond(stream, 421, &[id, echo], b"");
        }
        if head.target().starts_with("/health") {
            return respond(stream, 200, &[id], b"");
        }
        if request.is_empty() {
            return respond(stream, 400, &[("Not-Run", "1".into())], b"");
        }
        if self.held.fetch_add(1, Ordering::SeqCst) >= self.slots + self.queue {
            self.held.fetch_sub(1, Ordering::SeqCst);
            self.record.line(&format!("{} is full, turned away {request}", self.id));
            return respond(stream, 503, &[("Not-Run", "1".into()), id, echo], b"");
        }
        while self.busy.fetch_add(1, Ordering::SeqCst) >= self.slots {
            self.busy.fetch_sub(1, Ordering::SeqCst);
            sleep_ms(2);
        }
        self.runs.lock().unwrap().insert(request.clone(), self.record.clock.ms());
        let trouble = *self.trouble.lock().unwrap();
        if let Some(trouble) = trouble {
            self.record
                .line(&format!("{} is in trouble and sends without end to {request}", self.id));
            self.flood(stream, &request, trouble);
            self.busy.fetch_sub(1, Ordering::SeqCst);
            self.held.fetch_sub(1, Ordering::SeqCst);
            return false;
        }
        let stamp = self.stamps.fetch_add(1, Ordering::SeqCst);
        let stamp = ("Server-Stamp", format!("{}.{stamp}", self.id));
        let work = self.work.lock().unwrap().clone();
        let is_written = match work {
            Work::Whole { ms, bytes } => {
                sleep_ms(ms);
                respond(stream, 200, &[stamp, id, echo], &vec![b'x'; bytes])
            }
            Work::Events { count, first_ms, gap_ms } => {
                let head = format!(
                    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\
                     Server-Stamp: {}\r\nInstance-Id: {}\r\nRequest-Id: {request}\r\n\r\n",
                    stamp.1, self.id
                );
                // A request begins to run with its first token.
                sleep_ms(first_ms);
                let mut is_written = stream.write_all(head.as_bytes()).is_ok();
                let last: u64 =
                    head_fields.field("last-event-id").and_then(|it| it.parse().ok()).unwrap_or(0);
                for number in last + 1..=count {
                    let event =
                        format!("id: {number}\ndata: {} {}\n\n", self.version, "t".repeat(53));
                    let chunk = format!("{:x}\r\n{event}\r\n", event.len());
                    is_written &= !self.stopped.load(Ordering::SeqCst);
                    is_written = is_written && stream.write_all(chunk.as_bytes()).is_ok();
                    if !is_written {
                        break;
                    }
                    sleep_ms(gap_ms);
                }
                is_written && stream.write_all(b"0\r\n\r\n").is_ok()
            }
        };
        if is_written {
            self.done.lock().unwrap().insert(request, self.record.clock.ms());
        }
        self.busy.fetch_sub(1, Ordering::SeqCst);
        self.held.fetch_sub(1, Ordering::SeqCst);
        is_written
    }
}

impl Runner {
    fn flood(&self, stream: &mut TcpStream, request: &str, trouble: Trouble) {
        let head = trouble.head.replace("REQUEST", request).replace("RUNNER", &self.id);
        if stream.write_all(head.as_bytes()).is_err() {
            return;
        }
        let block = trouble.endless.repeat((16 << 10) / trouble.endless.len());
        while stream.write_all(block.as_bytes()).is_ok() {
            self.endless_bytes.fetch_add(block.len() as u64, Ordering::SeqCst);
        }
    }
}

/// The settings of the small deployments, as `fleetbench wire` shows them.
pub struct Settings {
    pub name: String,
    pub ip: String,
    pub zone: String,
    pub zones: Vec<String>,
    pub front: u16,
    pub ready: u16,
    pub control: u16,
    pub internal: (u16, u16),
    pub memory_mb: u64,
    pub store: SocketAddr,
    /// Whether operators may order that a service moves to another version.
    pub rollout: bool,
}

impl Settings {
    pub fn text(&self) -> String {
        let zones: Vec<_> = self.zones.iter().map(|it| format!("zones.{it}=nairobi\n")).collect();
        format!(
            "node-name={name}\nrole=gateway\nmachine-class=front\nserves=front\nip={ip}\nzone={zone}\n\
             region=nairobi\n{zones}listen.front={ip}:{front}\nlisten.ready={ip}:{ready}\n\
             listen.control={ip}:{control}\ninternal-ports={first},{last}\nseeds=\nbootstrap=true\n\
             loss-counts=false\nlimits.cpu-share=0.25\nlimits.cores=1\nlimits.memory-mb={memory}\n\
             limits.max-fds=4100\nlimits.link-mbps=1000.0\nlimits.disk-mb=0\ndiscovery=platform\n\
             entry=vip\nheartbeat-ms=1200\n\
             contracts=base,drain,config,cost,retry,recover,kvcache,stream,engine,tenants,places{more},platform\n\
             fault-tolerance.machines=2\nfault-tolerance.zones=1\nfault-tolerance.regions=0\n\
             bounds.seed-lag-s=3\nbounds.addr-reuse-s=2\nbounds.contact-ms=3000\n\
             bounds.ack-timeout-ms=4000\nbounds.catch-up-s=4\nbounds.drain-ms=2000\nbounds.grace-s=8\n\
             bounds.lost-slack-ms=200\nbounds.config-apply-ms=2000\nbounds.rollback-slack-ms=250\n\
             bounds.max-skew-ms=5000\nbounds.revoke-strict=false\nbounds.revoke-ms=5000\n\
             bounds.retry-budget-ratio=0.2\nbounds.budget-window-s=10\nbounds.budget-slack=56\n\
             bounds.cold-overshoot=1.5\nbounds.cold-slack=5\nbounds.evacuate-ms=5000\n\
             bounds.recovery-s=12\nbounds.transit-ms=120\nbounds.reuse-window-s=20\n\
             bounds.fence-required=false\nbounds.lease-ms=3000\nbounds.thaw-slack-ms=300\n\
             bounds.version-ms=10000\nbounds.version-all-ms=14000\nplatform.address={store}\n\
             platform.form=table\nplatform.writes-per-s=400\nplatform.reads-per-s=2000\n\
             platform.tx-ms=5.0\nplatform.part-writes-s=200\nplatform.row-bytes=65536\n\
             platform.across=false\nplatform.history-s=20\nplatform.blob-bytes=8388608\n\
             platform.blob-ms=25.0\nplatform.blob-mb-s=80.0\n{rollout}",
            rollout = if self.rollout {
                "bounds.exposure-share=0.1\nbounds.exposure-slack=50\nbounds.rollback-ms=5000\n"
            } else {
                ""
            },
            more = if self.rollout { ",rollout" } else { "" },
            name = self.name,
            ip = self.ip,
            zone = self.zone,
            zones = zones.concat(),
            front = self.front,
            ready = self.ready,
            control = self.control,
            first = self.internal.0,
            last = self.internal.1,
            memory = self.memory_mb,
            store = self.store,
        )
    }
}

/// One machine of the system: a process of the deploy file's command, watched as the platform does.
pub struct Machine {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    memory_mb: u64,
    child: Mutex<Option<Child>>,
    stopping: AtomicBool,
    /// Whether the platform gives it new channels.
    pub in_rotation: AtomicBool,
    /// How often the platform has asked whether it is ready.
    pub probes: AtomicU64,
    /// Times at which the platform killed the process for its memory.
    pub kills: Mutex<Vec<u64>>,
    pub peak_mb: AtomicU64,
    record: Arc<Record>,
}

impl Machine {
    pub fn start(settings: &Settings, folder: &Path, record: &Arc<Record>) -> Arc<Machine> {
        let path = folder.join(format!("{}.conf", settings.name));
        std::fs::write(&path, settings.text()).expect("settings file");
        let address = |port: u16| SocketAddr::new(settings.ip.parse().unwrap(), port);
        let machine = Arc::new(Machine {
            name: settings.name.clone(),
            front: address(settings.front),
            ready: address(settings.ready),
            log: folder.join(format!("{}.log", settings.name)),
            settings: path,
            memory_mb: settings.memory_mb,
            child: Mutex::new(None),
            stopping: AtomicBool::new(false),
            in_rotation: AtomicBool::new(true),
            probes: AtomicU64::new(0),
            kills: Mutex::default(),
            peak_mb: AtomicU64::new(0),
            record: record.clone(),
        });
        machine.spawn();
        let watched = machine.clone();
        std::thread::spawn(move || watched.watch());
        machine
    }

    fn spawn(&self) {
        let log = File::options().create(true).append(true).open(&self.log).expect("log");
        let child = Command::new("target/release/mothvale")
            .arg("gateway")
            .env_clear()
            .env("PATH", std::env::var("PATH").unwrap_or_default())
            .env("HOME", std::env::var("HOME").unwrap_or_default())
            .env("MOTHVALE_CONFIG", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .expect("target/release/mothvale starts");
        self.record.line(&format!("{} starts as process {}", self.name, child.id()));
        *self.child.lock().unwrap() = Some(child);
    }

    /// Ends the process when it has more memory than the machine, and starts it again when it has ended.
    fn watch(&self) {
        while !self.stopping.load(Ordering::SeqCst) {
            sleep_ms(10);
            let mut ended = false;
            if let Some(child) = self.child.lock().unwrap().as_mut() {
                if let Ok(Some(status)) = child.try_wait() {
                    self.record.line(&format!("{} has ended: {status}", self.name));
                    ended = true;
                } else if let Some(mb) = memory_mb(child.id()) {
                    self.peak_mb.fetch_max(mb, Ordering::SeqCst);
                    if mb > self.memory_mb {
                        let _ = child.kill();
                        let _ = child.wait();
                        self.record.line(&format!(
                            "{} has {mb} MB of memory, over its limit of {} MB: the platform kills it",
                            self.name, self.memory_mb
                        ));
                        self.kills.lock().unwrap().push(self.record.clock.ms());
                        ended = true;
                    }
                }
            }
            if ended && !self.stopping.load(Ordering::SeqCst) {
                sleep_ms(500);
                self.spawn();
            }
        }
    }

    /// Asks once per second whether the machine is ready, as the platform does, until the case ends. After
    /// two misses it is out of rotation.
    pub fn balance(self: &Arc<Self>) {
        let machine = self.clone();
        std::thread::spawn(move || {
            let mut misses = 0;
            while !machine.stopping.load(Ordering::SeqCst) {
                let clock = Clock::start();
                misses = if machine.is_ready() { 0 } else { misses + 1 };
                machine.probes.fetch_add(1, Ordering::SeqCst);
                let in_rotation = misses < 2;
                if machine.in_rotation.swap(in_rotation, Ordering::SeqCst) != in_rotation {
                    let text = format!("{} is in rotation: {in_rotation}", machine.name);
                    machine.record.line(&text);
                }
                // No response within nine tenths of the second is a miss.
                sleep_ms(1_000_u64.saturating_sub(clock.ms()));
            }
        });
    }

    /// Sends a signal to the process, by its number.
    pub fn signal(&self, signal: &str) {
        if let Some(child) = self.child.lock().unwrap().as_ref() {
            let kill = format!("kill -{signal} {}", child.id());
            let _ = Command::new("sh").args(["-c", &kill]).status();
        }
        self.record.line(&format!("{} gets SIG{signal}", self.name));
    }

    pub fn is_ready(&self) -> bool {
        let Ok(mut stream) = TcpStream::connect_timeout(&self.ready, Duration::from_millis(300))
        else {
            return false;
        };
        let _ = stream.set_read_timeout(Some(Duration::from_millis(500)));
        let _ =
            stream.write_all(b"GET /v1/readiness HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n");
        let mut text = [0; 12];
        stream.read_exact(&mut text).is_ok() && text.ends_with(b"200")
    }

    pub fn stop(&self) {
        self.stopping.store(true, Ordering::SeqCst);
        if let Some(child) = self.child.lock().unwrap().as_mut() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

fn memory_mb(process: u32) -> Option<u64> {
    let text = std::fs::read_to_string(format!("/proc/{process}/status")).ok()?;
    let line = text.lines().find(|it| it.starts_with("VmRSS:"))?;
    let kb: u64 = line.split_whitespace().nth(1)?.parse().ok()?;
    Some(kb / 1024)
}

/// How a requester's attempt ended.
#[derive(Clone, Debug, PartialEq)]
pub enum End {
    /// A whole answer with this status.
    Whole(u16),
    /// The channel ended without a whole answer.
    Cut,
    /// No whole answer in the requester's time.
    Late,
    /// The channel could not be opened, or the request could not be written.
    NotSent,
}

/// A requester's channel.
pub struct Channel {
    stream: TcpStream,
    reader: BufReader<TcpStream>,
    pub requests: u32,
}

impl Channel {
    pub fn open(address: SocketAddr) -> Option<Channel> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
        let _ = stream.set_nodelay(true);
        let reader = BufReader::new(stream.try_clone().ok()?);
        Some(Channel { stream, reader, requests: 0 })
    }

    /// Sends a request and reads its answer. Returns the end and whether the request was written whole.
    pub fn call(&mut self, head: &str, body: &[u8], max_ms: u64) -> (End, Option<Head>) {
        self.requests += 1;
        let _ = self.stream.set_read_timeout(Some(Duration::from_millis(max_ms)));
        let _ = self.stream.set_write_timeout(Some(Duration::from_millis(max_ms)));
        if self.stream.write_all(head.as_bytes()).is_err() || self.stream.write_all(body).is_err() {
            return (End::NotSent, None);
        }
        let clock = Clock::start();
        let late = |clock: &Clock| if clock.ms() + 5 >= max_ms { End::Late } else { End::Cut };
        let Some(answer) = read_head(&mut self.reader) else { return (late(&clock), None) };
        match read_body(&mut self.reader, &answer, true) {
            Some(_) => (End::Whole(answer.status()), Some(answer)),
            None => (late(&clock), Some(answer)),
        }
    }

    /// Sends a request, and leaves the answer unread for the caller of this.
    pub fn send(&mut self, head: &str, body: &[u8]) -> bool {
        self.requests += 1;
        self.stream.write_all(head.as_bytes()).is_ok() && self.stream.write_all(body).is_ok()
    }

    pub fn reader(&mut self) -> &mut BufReader<TcpStream> {
        &mut self.reader
    }
}

/// Returns the head of a request.
pub fn request_head(
    method: &str,
    path: &str,
    id: &str,
    deadline_ms: u64,
    length: usize,
    more: &str,
) -> String {
    let length =
        if method == "GET" { String::new() } else { format!("Content-Length: {length}\r\n") };
    format!(
        "{method} {path} HTTP/1.1\r\nHost: pule25.example\r\nRequest-Id: {id}\r\n\
         Deadline-Ms: {deadline_ms}\r\nKey: jnbanfqasnmgkcuyj8pj\r\n{more}{length}\r\n"
    )
}

/// Fields of a request for a model, which the manifest's streaming routes want.
pub fn model_fields(number: u64) -> String {
    format!(
        "Model: daka510000\r\nToken-Count: 700,48\r\nPrompt-Prefix: 5c1e07a2:400,{:08x}:300\r\n",
        0x9000_0000_u64 + number
    )
}
