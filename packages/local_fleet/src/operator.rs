//! The operator of the local fleet: reads pages and sends changes over the control addresses.

use awc::Client;
use serde_json::Value;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// A client of the control pages with its own runtime.
pub struct Operator {
    system: actix_rt::SystemRunner,
    client: Client,
}

impl Operator {
    /// Creates the runtime and the HTTP client.
    pub fn new() -> Operator {
        let system = actix_rt::System::new();
        let client = system.block_on(async {
            Client::builder().timeout(Duration::from_secs(8)).disable_redirects().finish()
        });
        Operator { system, client }
    }

    /// The text of a page, if its request succeeds.
    pub fn get(&self, control: SocketAddr, page: &str) -> Option<String> {
        let request = self.client.get(format!("http://{control}{page}")).force_close();
        self.system.block_on(async {
            let mut response = request.send().await.ok()?;
            let body = response.body().limit(64 * 1024 * 1024).await.ok()?;
            response.status().is_success().then(|| String::from_utf8_lossy(&body).into_owned())
        })
    }

    /// A page parsed as JSON.
    pub fn get_json(&self, control: SocketAddr, page: &str) -> Option<Value> {
        serde_json::from_str(&self.get(control, page)?).ok()
    }

    /// The values of the metrics by name, without the `vanelane_` prefix.
    pub fn metrics(&self, control: SocketAddr) -> BTreeMap<String, u64> {
        let text = self.get(control, "/metrics").unwrap_or_default();
        text.lines()
            .filter_map(|line| line.rsplit_once(' '))
            .filter_map(|(name, value)| {
                Some((name.trim_start_matches("vanelane_").to_owned(), value.parse().ok()?))
            })
            .collect()
    }

    /// Sends one change line and returns its outcome line.
    pub fn change(&self, control: SocketAddr, line: &Value) -> Option<Value> {
        let request = self.client.post(format!("http://{control}/control/changes")).force_close();
        let body = line.to_string() + "\n";
        self.system.block_on(async {
            let mut response = request.send_body(body).await.ok()?;
            let body = response.body().limit(16 * 1024 * 1024).await.ok()?;
            serde_json::from_slice(&body).ok()
        })
    }

    /// The whole decision stream as this node returns it.
    pub fn decisions(&self, control: SocketAddr) -> Vec<Value> {
        let mut lines = Vec::new();
        let mut cursor = String::new();
        for _ in 0..500 {
            let page = format!("/control/decisions?most=2000&after={cursor}");
            let Some(text) = self.get(control, &page) else { return lines };
            let page_lines: Vec<Value> =
                text.lines().filter_map(|line| serde_json::from_str(line).ok()).collect();
            let Some((last, decisions)) = page_lines.split_last() else { return lines };
            if decisions.is_empty() {
                return lines;
            }
            lines.extend(decisions.iter().cloned());
            cursor = last["cursor"].as_str().unwrap_or_default().to_owned();
        }
        lines
    }
}
