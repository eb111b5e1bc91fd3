//! A small deployment: three zones with one machine each, and the runners and the manifest of the pages.

use std::net::TcpListener;
use std::path::{Path, PathBuf};
use std::sync::Arc;

use crate::parts::*;
use crate::store::Store;
use crate::util::*;

pub struct Town {
    pub record: Arc<Record>,
    pub store: Arc<Store>,
    pub writers: Vec<Arc<Runner>>,
    pub desks: Vec<Arc<Runner>>,
    pub machines: Vec<Arc<Machine>>,
    scratch: PathBuf,
}

pub const ZONES: [&str; 3] = ["nbo-westlands", "nbo-industrial", "nbo-karen"];

impl Town {
    /// Starts everything, and waits until all machines are ready. `None` if they are not in time.
    pub fn start(folder: &Path, memory_mb: u64, stream: Work, whole: Work) -> Option<Town> {
        Town::start_with(folder, memory_mb, stream, whole, &["v1"])
    }

    /// The same, with writers of these versions in each zone.
    pub fn start_with(
        folder: &Path,
        memory_mb: u64,
        stream: Work,
        whole: Work,
        versions: &[&str],
    ) -> Option<Town> {
        Town::start_at(folder, memory_mb, stream, whole, versions, &ZONES)
    }

    /// The same, with machines in these zones.
    pub fn start_at(
        folder: &Path,
        memory_mb: u64,
        stream: Work,
        whole: Work,
        versions: &[&str],
        places: &[&str],
    ) -> Option<Town> {
        let record = Record::create(&folder.join("record.txt"));
        let process = std::process::id();
        let scratch = std::env::temp_dir().join(format!("mothvale-review-{process}"));
        std::fs::create_dir_all(&scratch).ok()?;
        // Addresses of the loopback network that no other run uses.
        let ip =
            |host: u32| format!("127.{}.{}.{host}", 64 + (process >> 8) % 128, 1 + process % 254);
        let store = Store::start(&ip(1));
        store.put("op", "config", Some(&manifest()));
        let mut town =
            Town { record, store, writers: vec![], desks: vec![], machines: vec![], scratch };
        for (at, zone) in ZONES.iter().enumerate() {
            let (store, record) = (&town.store, &town.record);
            if at == 1 {
                // Runners don't write their entries all at once.
                sleep_ms(300);
            }
            let runner_ip = ip(100 + at as u32);
            let model = Some("daka510000");
            for version in versions {
                let id = format!("i-writer{at}-{version}");
                town.writers.push(Runner::start(
                    store,
                    record,
                    &runner_ip,
                    &id,
                    "huvo11a",
                    zone,
                    (64, 192),
                    stream.clone(),
                    model,
                    version,
                ));
            }
            let id = format!("i-desk{at}");
            town.desks.push(Runner::start(
                store,
                record,
                &runner_ip,
                &id,
                "kafi81c",
                zone,
                (6, 24),
                whole.clone(),
                None,
                "v1",
            ));
        }
        for (at, zone) in places.iter().enumerate() {
            let ip = ip(10 + at as u32);
            let number = 1 + places[..at].iter().filter(|it| *it == zone).count();
            let ports: Vec<_> = (0..3).map(|_| TcpListener::bind((ip.as_str(), 0)).ok()).collect();
            let port = |at: usize| ports[at].as_ref().unwrap().local_addr().unwrap().port();
            let settings = Settings {
                name: format!("front-{zone}-{number}"),
                zone: zone.to_string(),
                zones: ZONES.iter().map(|it| it.to_string()).collect(),
                front: port(0),
                ready: port(1),
                control: port(2),
                internal: (7700, 7715),
                memory_mb,
                store: town.store.address,
                rollout: versions.len() > 1,
                ip,
            };
            drop(ports);
            town.machines.push(Machine::start(&settings, &town.scratch, &town.record));
        }
        for _ in 0..200 {
            if town.machines.iter().all(|it| it.is_ready()) {
                sleep_ms(1500);
                return Some(town);
            }
            sleep_ms(100);
        }
        town.record.line("the machines are not ready in time");
        town.stop();
        None
    }

    /// Returns whether a runner began to run a request.
    pub fn has_run(&self, id: &str) -> bool {
        let mut runners = self.writers.iter().chain(&self.desks);
        runners.any(|it| it.runs.lock().unwrap().contains_key(id))
    }

    pub fn stop(&self) {
        self.machines.iter().for_each(|it| it.stop());
        if std::env::var("KEEP").is_err() {
            let _ = std::fs::remove_dir_all(&self.scratch);
        }
    }
}

fn manifest() -> String {
    r#"{"version":7,"routes":[
    {"name":"r-summary","host":"pule25.example","prefix":"/puxa400/","type":"streaming","timeout-ms":12000,"target-latency-ms":1000,"priority":2,"service":"huvo11a","max-attempts":2,"public":false,"sticky":true,"resumable":true,"gap-target-ms":600},
    {"name":"r-dispatch","host":"pule25.example","prefix":"/bobo563/","type":"non_idempotent","timeout-ms":1000,"target-latency-ms":150,"priority":2,"service":"kafi81c","max-attempts":1,"public":false,"sticky":false,"resumable":false},
    {"name":"r-status","host":"pule25.example","prefix":"/wuhu344/","type":"idempotent","timeout-ms":15000,"target-latency-ms":1000,"priority":2,"service":"kafi81c","max-attempts":2,"public":false,"sticky":false,"resumable":false}],
    "services":[
    {"name":"huvo11a","health-path":"/health","max-conns":370,"protocol":"h1","tls":false,"cold-start-s":3.0,"cold-per-s":10.0,"engine":{"slots":64,"kv-capacity-tokens":106987,"token-kv-bytes":18432,"link-mbps":280000.0,"stride":8,"max-concurrent":12,"models":[{"name":"daka510000"}]}},
    {"name":"kafi81c","health-path":"/health","max-conns":110,"protocol":"h1","tls":false,"cold-start-s":0.0,"cold-per-s":0.0}],
    "limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},
    "tenants":[{"name":"bozi300","api-keys":["jnbanfqasnmgkcuyj8pj"],"priority":1}]}"#
        .into()
}
