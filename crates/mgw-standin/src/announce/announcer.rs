//! The background loop that announces a stand-in to an entry.

use std::net::SocketAddr;
use std::sync::Arc;

use hyper::header::CONTENT_TYPE;
use hyper::{Request, StatusCode};
use mgw_contract::target::{ANNOUNCE_PATH, AnnounceReply, Announcement};
use mgw_serve::http::{HttpClient, client, full, read_json};
use mgw_world::{Incarnation, Millis, Target};

use super::entries::EntryList;
use super::reports::ReportFilter;
use crate::settings::Settings;
use crate::standin::Standin;

/// Timeout for the reply of an entry.
const REPLY_TIMEOUT_MS: Millis = Millis(1000);
/// Delay before the next entry is tried after a failed announcement.
const RETRY_MS: Millis = Millis(100);

struct Announcer {
    standin: Arc<Standin>,
    settings: Settings,
    address: SocketAddr,
    entries: EntryList,
    reports: ReportFilter,
    client: HttpClient,
    sequence: u64,
    incarnation: Incarnation,
}

/// Announces a stand-in that listens at `address` until the process ends. Returns at once when no
/// entry is configured.
pub async fn announce_forever(standin: Arc<Standin>, settings: Settings, address: SocketAddr) {
    let mut announcer = Announcer {
        entries: EntryList::new(settings.entries.clone()),
        reports: ReportFilter::new(settings.reports),
        client: client(),
        sequence: 0,
        incarnation: standin.context().incarnation(),
        address,
        settings,
        standin,
    };
    if announcer.entries.is_empty() {
        return;
    }
    loop {
        let delay_ms = announcer.announce().await;
        tokio::select! {
            () = tokio::time::sleep(delay_ms.to_duration()) => {}
            () = announcer.standin.context().announce_now.notified() => {}
        }
    }
}

impl Announcer {
    /// Sends one announcement and returns the delay before the next.
    async fn announce(&mut self) -> Millis {
        let renew_ms = self.settings.reports.renew_ms;
        if self.standin.context().faults().drop_announcements {
            return renew_ms;
        }
        let announcement = self.build_announcement();
        if let Some(reply) = self.send(&announcement).await {
            return self.apply_reply(reply);
        }
        let entry = self.entries.current().unwrap_or_default();
        tracing::debug!(
            entry,
            "announcement failed or was rejected; trying the next entry"
        );
        self.standin.return_events(announcement.cache_events);
        self.entries.select_next();
        RETRY_MS.min(renew_ms)
    }

    fn build_announcement(&mut self) -> Announcement {
        let context = self.standin.context();
        if context.incarnation() != self.incarnation {
            self.incarnation = context.incarnation();
            self.sequence = 0;
        }
        self.sequence += 1;
        let load = self.standin.load_report();
        Announcement {
            target: Target {
                name: self.settings.name.clone(),
                incarnation: self.incarnation,
                vm: self.settings.vm.clone(),
                place: self.settings.place.clone(),
                address: self.address,
                duty: self.standin.target_kind(),
                limits: self.standin.limits(),
            },
            sequence: self.sequence,
            readiness: self.standin.readiness(),
            load: self.reports.filter_load(context.clock.now(), load),
            cache_events: self.reports.filter_events(self.standin.take_events()),
        }
    }

    async fn send(&self, announcement: &Announcement) -> Option<AnnounceReply> {
        let url = format!("{}{ANNOUNCE_PATH}", self.entries.current()?);
        let text = serde_json::to_vec(announcement).ok()?;
        let request = Request::post(url)
            .header(CONTENT_TYPE, "application/json")
            .body(full(text))
            .ok()?;
        let send_and_read = async {
            let response = self.client.request(request).await.ok()?;
            if response.status() != StatusCode::OK {
                return None;
            }
            read_json(response.into_body()).await.ok()
        };
        let timeout = tokio::time::timeout(REPLY_TIMEOUT_MS.to_duration(), send_and_read);
        timeout.await.ok().flatten()
    }

    fn apply_reply(&mut self, reply: AnnounceReply) -> Millis {
        self.entries.set_alternatives(reply.alternatives);
        if reply.incarnation > self.standin.context().incarnation() {
            self.standin
                .context()
                .advance_incarnation(reply.incarnation);
            return Millis::ZERO;
        }
        if reply.drain {
            self.standin.leave();
        }
        if reply.resend_cache {
            self.standin.resend_cache();
        }
        reply.renew_ms
    }
}
