//! The scripts of the second review: `review-case-2 CASE FOLDER` runs a case and writes `record.txt` into its folder.
//!
//! It runs in the repository. With `TROUBLE=0` in the environment, the disruption is left out.

#![forbid(unsafe_code)]

mod backend;
mod caller;
mod deadly;
mod fleet;
mod fraction;
mod gateway;
mod headers;
mod link;
mod lost_reader;
mod readers;
mod record;
mod template;

use fleet::Site;
use record::Recorder;
use std::{path::PathBuf, process::ExitCode};
use tokio::signal::unix::{signal, SignalKind};

/// Whether the rule of a case held.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    Held,
    Broken,
}

/// The exit code of a case that could not run.
const NOT_RUN: u8 = 2;

fn main() -> ExitCode {
    let runtime =
        tokio::runtime::Builder::new_multi_thread().worker_threads(3).enable_all().build();
    match runtime.map_err(|e| e.to_string()).and_then(|runtime| runtime.block_on(start())) {
        Ok(Verdict::Held) => ExitCode::SUCCESS,
        Ok(Verdict::Broken) => ExitCode::FAILURE,
        Err(what) => {
            eprintln!("the case could not run: {what}");
            ExitCode::from(NOT_RUN)
        }
    }
}

async fn start() -> Result<Verdict, String> {
    let mut args = std::env::args().skip(1);
    let (Some(case), Some(folder)) = (args.next(), args.next()) else {
        return Err("usage: review-case-2 CASE FOLDER".into());
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = Recorder::create(&PathBuf::from(folder)).map_err(|e| e.to_string())?;
    let temp = std::env::temp_dir().join(format!("review-case-2-{}", std::process::id()));
    std::fs::create_dir_all(&temp).map_err(|e| e.to_string())?;
    let root = std::env::current_dir().map_err(|e| e.to_string())?;
    let site = Site::new(&root, &temp, record.clone());
    let mut terminate = signal(SignalKind::terminate()).map_err(|e| e.to_string())?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(|e| e.to_string())?;
    // The processes end when the case is dropped, also after a signal.
    let result = tokio::select! {
        result = run(&case, &site, has_trouble) => result,
        _ = terminate.recv() => Err("ended by a signal".into()),
        _ = interrupt.recv() => Err("ended by a signal".into()),
    };
    if std::env::var_os("KEEP_LOGS").is_none() {
        let _ = std::fs::remove_dir_all(&temp);
    }
    match &result {
        Ok(verdict) => record.say(&format!("the rule: {verdict:?}")),
        Err(what) => record.say(&format!("the case could not run: {what}")),
    }
    result
}

async fn run(case: &str, site: &Site, has_trouble: bool) -> Result<Verdict, String> {
    match case {
        "deadly" => deadly::run(site, has_trouble).await,
        "fraction" => fraction::run(site, has_trouble).await,
        "headers" => headers::run(site, has_trouble).await,
        "lost_reader" => lost_reader::run(site, has_trouble).await,
        "readers" => readers::run(site, has_trouble).await,
        other => Err(format!("there is no case {other}")),
    }
}
