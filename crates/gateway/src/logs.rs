//! Structured logs: one JSON object per line on standard output, written by a thread of its own.

use crossbeam_queue::ArrayQueue;
use logforth::{
    append::Append, filter::rustlog::RustLogFilterBuilder, layout::JsonLayout, record::Record,
    Diagnostic, Error, Layout,
};
use redwingtrestle_core::codes::ResultCode;
use std::{
    io::Write,
    sync::{
        atomic::{AtomicU64, Ordering},
        Arc, OnceLock,
    },
    thread::{self, Thread},
    time::{Duration, Instant},
};

/// The default filter. Lines of the libraries are mostly less useful than the gateway's own.
pub const DEFAULT_FILTER: &str = "info,rocket=off,hyper=warn,reqwest=warn,jsonrpsee=off";

/// The largest number of lines that wait for the writer. Further ones are dropped, so that a slow reader of the output
/// never delays a request.
const MAX_QUEUED: usize = 4_096;

/// The largest number of lines per second. Under a flood of requests, logging would otherwise take too much CPU time.
const MAX_LINES_PER_S: u64 = 500;

/// The longest sleep of the writer while no line is waiting.
const MAX_SLEEP: Duration = Duration::from_secs(5);

/// Buffers formatted lines for the writer thread.
#[derive(Debug)]
struct LineQueue {
    lines: ArrayQueue<Vec<u8>>,
    dropped: AtomicU64,
    current_second: AtomicU64,
    lines_in_second: AtomicU64,
    started: Instant,
    writer: OnceLock<Thread>,
}

impl LineQueue {
    fn push(&self, line: Vec<u8>) {
        let current_second = self.started.elapsed().as_secs();
        if self.current_second.swap(current_second, Ordering::Relaxed) != current_second {
            self.lines_in_second.store(0, Ordering::Relaxed);
        }
        let is_over = self.lines_in_second.fetch_add(1, Ordering::Relaxed) >= MAX_LINES_PER_S;
        if is_over || self.lines.push(line).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
            metrics::counter!("redwing_log_lines_dropped_total").increment(1);
            return;
        }
        if let Some(writer) = self.writer.get() {
            writer.unpark();
        }
    }

    /// Writes all waiting lines, and returns whether standard output still accepts them.
    fn write(&self) -> bool {
        let mut bytes = Vec::new();
        while let Some(line) = self.lines.pop() {
            bytes.extend_from_slice(&line);
        }
        let dropped = self.dropped.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            let line = format!(
                "{{\"level\":\"WARN\",\"message\":\"log lines dropped\",\"lines\":{dropped}}}\n"
            );
            bytes.extend_from_slice(line.as_bytes());
        }
        let mut out = std::io::stdout().lock();
        bytes.is_empty() || out.write_all(&bytes).and_then(|()| out.flush()).is_ok()
    }
}

/// Formats records and queues them for the writer.
#[derive(Debug)]
struct LineQueueAppend {
    layout: JsonLayout,
    queue: Arc<LineQueue>,
}

impl Append for LineQueueAppend {
    fn append(&self, record: &Record<'_>, diags: &[Box<dyn Diagnostic>]) -> Result<(), Error> {
        let mut line = self.layout.format(record, diags)?;
        line.push(b'\n');
        self.queue.push(line);
        Ok(())
    }

    fn flush(&self) -> Result<(), Error> {
        Ok(())
    }
}

static QUEUE: OnceLock<Arc<LineQueue>> = OnceLock::new();

/// Starts logging with this filter. A second call in the same process has no effect.
pub fn start(filter: &str) -> std::io::Result<()> {
    let queue = Arc::new(LineQueue {
        lines: ArrayQueue::new(MAX_QUEUED),
        dropped: AtomicU64::new(0),
        current_second: AtomicU64::new(0),
        lines_in_second: AtomicU64::new(0),
        started: Instant::now(),
        writer: OnceLock::new(),
    });
    if QUEUE.set(queue.clone()).is_err() {
        return Ok(());
    }
    let parsed = RustLogFilterBuilder::try_from_spec(filter);
    let invalid = parsed.as_ref().err().map(ToString::to_string);
    let default = |_| RustLogFilterBuilder::from_spec(DEFAULT_FILTER);
    let filter = parsed.unwrap_or_else(default).build();
    let append = LineQueueAppend { layout: JsonLayout::default(), queue: queue.clone() };
    let started =
        logforth::starter_log::builder().dispatch(|d| d.filter(filter).append(append)).try_apply();
    if started.is_err() {
        return Ok(());
    }
    let writer = queue.clone();
    let handle = thread::Builder::new().name("logs".into()).spawn(move || {
        while writer.write() {
            thread::park_timeout(MAX_SLEEP);
        }
    })?;
    let _ = queue.writer.set(handle.thread().clone());
    if let Some(e) = invalid {
        log::error!(target: "process",
            code = ResultCode::SettingsValue.number();
            "the filter of log lines is invalid, the default holds: {e}");
    }
    Ok(())
}

/// Writes the lines that are still queued. Call it once, before the process ends.
pub fn finish() {
    if let Some(queue) = QUEUE.get() {
        queue.write();
    }
}
