//! A store in memory, which can lose responses and be restored from an older copy.

use redwingtrestle_core::process::{registration::Registration, stream_position::StreamPosition};
use redwingtrestle_gateway::store::{Batch, Record, Saved, Store, StoreError, Stream};
use std::{
    collections::HashMap,
    sync::{
        atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
        Arc, Mutex,
    },
    time::Duration,
};
use tokio::sync::Notify;

/// `MemoryStore` is an in-memory [`Store`].
#[derive(Clone, Debug, Default)]
pub(crate) struct MemoryStore {
    records: Arc<Mutex<HashMap<&'static str, Vec<Record>>>>,
    changed: Arc<Notify>,
    lost: Arc<AtomicU32>,
    always_gone: Arc<AtomicBool>,
    watches: Arc<AtomicU32>,
    saved: Arc<Mutex<HashMap<String, Vec<u8>>>>,
    era: Arc<AtomicU64>,
    /// Whether the link of this client carries nothing.
    is_cut: Arc<AtomicBool>,
}

impl MemoryStore {
    /// Appends a record.
    pub(crate) fn append(&self, stream: Stream, record: Record) {
        self.records.lock().unwrap().entry(stream.into()).or_default().push(record);
        self.changed.notify_waiters();
    }

    /// Appends a server's registration.
    pub(crate) fn register(&self, registration: Registration) {
        self.append(
            Stream::Servers,
            Record::Server(registration.id.clone(), Some(Box::new(registration))),
        );
    }

    /// Returns whether the value saved under `key` contains a text.
    pub(crate) fn saved_contains(&self, key: &str, text: &str) -> bool {
        let saved = self.saved.lock().unwrap();
        saved.get(key).is_some_and(|value| String::from_utf8_lossy(value).contains(text))
    }

    /// Saves a value, like another writer.
    pub(crate) fn save_raw(&self, key: &str, value: &str) {
        self.saved.lock().unwrap().insert(key.into(), value.into());
    }

    /// Returns a client of the same store with a link of its own.
    pub(crate) fn with_own_link(&self) -> MemoryStore {
        MemoryStore { is_cut: Arc::default(), ..self.clone() }
    }

    /// Cuts this client's link without a sign, or lets it carry later calls again. A call that was open while the link was
    /// cut never ends.
    pub(crate) fn set_cut(&self, is_cut: bool) {
        self.is_cut.store(is_cut, Ordering::SeqCst);
        self.changed.notify_waiters();
    }

    /// Waits forever if the link is cut.
    async fn pass_link(&self) {
        if self.is_cut.load(Ordering::SeqCst) {
            std::future::pending::<()>().await;
        }
    }

    /// Makes the store lose the responses to the next `watches` watches.
    pub(crate) fn lose_responses(&self, watches: u32) {
        self.lost.store(watches, Ordering::SeqCst);
    }

    /// Makes the store answer every watch with the error that the records at its position are gone.
    pub(crate) fn lose_history_always(&self) {
        self.always_gone.store(true, Ordering::SeqCst);
        self.changed.notify_waiters();
    }

    /// Returns the number of watches so far.
    pub(crate) fn watch_count(&self) -> u32 {
        self.watches.load(Ordering::SeqCst)
    }

    /// Restores a copy that has only the first `kept` records of each stream and no saved value, and appends `written`.
    pub(crate) fn restore(&self, kept: usize, written: Vec<(Stream, Record)>) {
        {
            let mut records = self.records.lock().unwrap();
            records.values_mut().for_each(|stream| stream.truncate(kept));
            self.era.fetch_add(1, Ordering::SeqCst);
            for (stream, record) in written {
                records.entry(stream.into()).or_default().push(record);
            }
            self.saved.lock().unwrap().clear();
        }
        self.changed.notify_waiters();
    }

    /// Returns whether the response to this watch is lost, and counts it.
    fn loses_response(&self) -> bool {
        let take_one = |left: u32| left.checked_sub(1);
        self.lost.fetch_update(Ordering::SeqCst, Ordering::SeqCst, take_one).is_ok()
    }

    fn read(&self, stream: Stream, from: u64) -> Result<Batch, StoreError> {
        let name: &'static str = stream.into();
        let all = self.records.lock().unwrap();
        let era = self.era.load(Ordering::SeqCst);
        let records = all.get(name).cloned().unwrap_or_default();
        let end = StreamPosition::new(era, records.len() as u64);
        if from > end.offset {
            return Err(StoreError::Expired { first: 0, era });
        }
        let records = (0u64..)
            .zip(records)
            .filter(|(offset, _)| *offset >= from)
            .map(|(offset, record)| (StreamPosition::new(era, offset), record));
        Ok(Batch { records: records.collect(), end })
    }
}

impl Store for MemoryStore {
    async fn read_newest(&self, stream: Stream) -> Result<Batch, StoreError> {
        self.pass_link().await;
        let Batch { records, end } = self.read(stream, 0)?;
        let mut newest = HashMap::new();
        for (position, record) in records {
            let key = match &record {
                Record::Server(id, _) => Some(id.clone()),
                _ => None,
            };
            newest.insert(key, (position, record));
        }
        let has_value = |record: &Record| !matches!(record, Record::Server(_, None));
        let records = newest.into_values().filter(|(_, record)| has_value(record)).collect();
        Ok(Batch { records, end })
    }

    async fn watch(&self, stream: Stream, from: u64, wait: Duration) -> Result<Batch, StoreError> {
        let deadline = tokio::time::Instant::now() + wait;
        self.watches.fetch_add(1, Ordering::SeqCst);
        if self.loses_response() {
            std::future::pending::<()>().await;
        }
        loop {
            self.pass_link().await;
            let changed = self.changed.notified();
            if self.always_gone.load(Ordering::SeqCst) {
                return Err(StoreError::Expired { first: 0, era: self.era.load(Ordering::SeqCst) });
            }
            let batch = self.read(stream, from)?;
            if !batch.records.is_empty() || tokio::time::Instant::now() >= deadline {
                return Ok(batch);
            }
            let _ = tokio::time::timeout_at(deadline, changed).await;
        }
    }

    async fn read_saved(&self) -> Result<Saved, StoreError> {
        self.pass_link().await;
        let values = self.saved.lock().unwrap().clone().into_iter().collect();
        Ok(Saved { values, era: self.era.load(Ordering::SeqCst) })
    }

    async fn save(&self, key: &str, value: &[u8]) -> Result<u64, StoreError> {
        self.pass_link().await;
        self.saved.lock().unwrap().insert(key.into(), value.into());
        Ok(self.era.load(Ordering::SeqCst))
    }
}
