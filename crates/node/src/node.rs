//! Starts and stops the threads of a node.

use crate::{
    control, entry,
    error::{Error, Result},
    homes, log_thread, peers, rpc,
    settings::Settings,
    shared::Shared,
    stop, telemetry,
};
use redwingtrestle_gateway::telemetry::{run_upkeep, UPKEEP_INTERVAL};
use std::{
    sync::{
        atomic::{AtomicBool, Ordering},
        mpsc, Arc,
    },
    thread::JoinHandle,
};

/// A running node.
#[derive(Debug)]
pub struct Node {
    shared: Arc<Shared>,
    stop: Arc<AtomicBool>,
    shutdown: rocket::Shutdown,
    entry: JoinHandle<Result<()>>,
    threads: Vec<JoinHandle<()>>,
}

impl Node {
    /// Starts the threads of a node. Fails if one of them cannot start.
    pub fn start(settings: Settings) -> Result<Self> {
        telemetry::handle();
        let shared = Shared::new(settings)?;
        let stop = Arc::new(AtomicBool::new(false));
        let mut threads = peers::start(&shared, &stop)?;
        threads.push(rpc::start(shared.clone(), stop.clone())?);
        threads.push(control::start(shared.clone(), stop.clone())?);
        threads.push(log_thread::start(shared.clone(), stop.clone())?);
        let (shutdown, entry) = start_entry(shared.clone())?;
        log::info!(node:% = shared.id, entry:% = shared.settings.entry; "node started");
        Ok(Node { shared, stop, shutdown, entry, threads })
    }

    /// Returns the state that the node's threads share.
    pub fn shared(&self) -> &Arc<Shared> {
        &self.shared
    }

    /// Returns whether the entry thread has ended, which happens only after an error or a planned stop.
    pub fn is_finished(&self) -> bool {
        self.entry.is_finished()
    }

    /// Carries out the planned stop and returns the entry thread's result.
    pub fn stop(self) -> Result<()> {
        let has_ended = || self.entry.is_finished();
        let server = stop::EntryServer { shutdown: &self.shutdown, has_ended: &has_ended };
        let stopped = stop::run(&self.shared, &server);
        self.stop.store(true, Ordering::SeqCst);
        for thread in self.threads {
            let _ = thread.join();
        }
        if !self.entry.is_finished() {
            // The stop has reached its time limit. Open connections end with the process.
            log::warn!(
                in_flight = self.shared.in_flight();
                "planned stop has reached its time limit, open connections are cut"
            );
            return stopped;
        }
        self.entry.join().unwrap_or_else(|_| Err(Error::start("entry", "panicked"))).and(stopped)
    }
}

fn start_entry(shared: Arc<Shared>) -> Result<(rocket::Shutdown, JoinHandle<Result<()>>)> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(shared.settings.workers)
        .thread_name("entry")
        .enable_all()
        .build()
        .map_err(|e| Error::start("entry", e.to_string()))?;
    let (sender, receiver) = mpsc::channel();
    let thread = std::thread::Builder::new()
        .name("entry-main".into())
        .spawn(move || {
            runtime.block_on(async {
                let server = entry::ignite(shared.clone()).await?;
                let _ = sender.send(server.rocket.shutdown());
                tokio::spawn(run_upkeep(telemetry::handle(), UPKEEP_INTERVAL));
                tokio::spawn(homes::tick_forever(shared.local_home.clone(), shared.clock));
                entry::serve(shared, server).await
            })
        })
        .map_err(|e| Error::start("entry", e.to_string()))?;
    match receiver.recv() {
        Ok(shutdown) => Ok((shutdown, thread)),
        Err(_) => match thread.join() {
            Ok(Err(e)) => Err(e),
            _ => Err(Error::start("entry", "ended before it could serve")),
        },
    }
}
