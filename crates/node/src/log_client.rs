//! The client of the platform's log service and of its list of VMs.

use redwingtrestle_core::ids::ServerAddr;
use redwingtrestle_wire::{
    caller,
    log::{AppendReply, ReadReply, RecordDoc, VmDoc},
};
use serde::de::DeserializeOwned;
use snafu::Snafu;
use std::time::Duration;

/// The timeout of a call. A slow log must not delay the log thread for more than a few polls.
const CALL_TIMEOUT: Duration = Duration::from_millis(1500);

/// A call to the platform that failed or got an invalid response.
///
/// A failed append may still have taken effect.
#[derive(Debug, Snafu)]
#[snafu(display("call to the platform: {what}"))]
pub struct LogError {
    what: String,
}

impl From<reqwest::Error> for LogError {
    fn from(e: reqwest::Error) -> Self {
        LogError { what: e.without_url().to_string() }
    }
}

/// A client of the log service and of the list of VMs.
#[derive(Clone, Debug)]
pub struct LogClient {
    client: reqwest::Client,
    url: String,
    vm_list: String,
}

impl LogClient {
    /// Creates a client of the log service at `url` and of the list of VMs at `vm_list`.
    pub fn new(url: &str, vm_list: Option<&str>) -> Result<Self, LogError> {
        let client = reqwest::Client::builder()
            .redirect(reqwest::redirect::Policy::none())
            .no_proxy()
            .retry(reqwest::retry::never())
            .timeout(CALL_TIMEOUT)
            .build()?;
        let trim = |url: &str| url.trim_end_matches('/').to_string();
        Ok(LogClient { client, url: trim(url), vm_list: trim(vm_list.unwrap_or("")) })
    }

    /// Reads records from the offset `from` on.
    pub async fn read(&self, from: u64) -> Result<ReadReply, LogError> {
        self.get(&format!("{}/v1/read?from={from}", self.url)).await
    }

    /// Reads the platform's list of VMs.
    pub async fn vm_list(&self) -> Result<Vec<VmDoc>, LogError> {
        self.get(&format!("{}/v1/vms", self.vm_list)).await
    }

    /// Asks a backend server whether it still announces that it is draining. Returns `None` if it does not respond.
    pub async fn probe(&self, server: ServerAddr) -> Option<bool> {
        let request = self.client.get(format!("http://{server}/health"));
        let response = request.send().await.ok()?;
        Some(response.headers().contains_key(caller::DRAINING))
    }

    /// Appends a record and returns its offset.
    pub async fn append(&self, record: &RecordDoc) -> Result<u64, LogError> {
        let body = serde_json::to_vec(record).map_err(|e| LogError { what: e.to_string() })?;
        let request = self.client.post(format!("{}/v1/append", self.url)).body(body);
        let bytes = request.send().await?.error_for_status()?.bytes().await?;
        let reply: AppendReply = decode(&bytes)?;
        Ok(reply.offset)
    }

    async fn get<T: DeserializeOwned>(&self, url: &str) -> Result<T, LogError> {
        decode(&self.client.get(url).send().await?.error_for_status()?.bytes().await?)
    }
}

fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, LogError> {
    serde_json::from_slice(bytes).map_err(|e| LogError { what: e.to_string() })
}
