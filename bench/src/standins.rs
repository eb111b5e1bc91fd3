//! Runs the stand-ins alone, and writes settings files with which hosts in other processes use them.

use std::{error::Error, fs, path::PathBuf, time::Duration};

use lexopt::{Arg::Long, Parser, ValueExt};
use mothvale_standin::dev::{Options, Standins};
use serde_json::json;

/// Runs `mothvale-bench standins` with the arguments after its name.
pub fn run(mut args: Parser) -> Result<(), Box<dyn Error>> {
    let mut options = Options::default();
    let mut folder = None;
    let mut seconds = 600;
    while let Some(arg) = args.next()? {
        match arg {
            Long("hosts") => options.hosts = args.value()?.parse()?,
            Long("settings") => folder = Some(PathBuf::from(args.value()?)),
            Long("seconds") => seconds = args.value()?.parse()?,
            other => return Err(other.unexpected().into()),
        }
    }
    let folder = folder.ok_or("--settings FOLDER is missing")?;
    options.limits.push("request: 60s".into());
    options.listen = "127.0.0.1:8080".parse()?;
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    runtime.block_on(async {
        let standins = Standins::start(&options).await?;
        fs::create_dir_all(&folder)?;
        for (index, text) in standins.settings_yaml(&options)?.into_iter().enumerate() {
            fs::write(folder.join(format!("host{index}.yaml")), text)?;
        }
        println!(
            "{}",
            json!({"event": "ready", "hosts": options.hosts, "holds": standins.bookings.address})
        );
        tokio::time::sleep(Duration::from_secs(seconds)).await;
        Ok(())
    })
}
