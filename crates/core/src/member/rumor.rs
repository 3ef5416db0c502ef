//! Queue of updates to disseminate.

use std::collections::BTreeMap;

use crate::ids::{HostName, ServerName};
use crate::member::message::Update;

/// Maximum number of queued rumors.
const SUBJECTS_MAX: usize = 1_024;

/// Subject of an update; a newer update replaces an older one.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Subject {
    Server(ServerName),
    Host(HostName),
}

#[derive(Debug)]
struct Rumor {
    update: Update,
    sent: u32,
}

/// Updates, each sent a bounded number of times, least sent first.
#[derive(Debug, Default)]
pub(crate) struct Rumors {
    rumors: BTreeMap<Subject, Rumor>,
    has_unsent: bool,
}

impl Rumors {
    /// Adds an update, or restarts its dissemination.
    pub(crate) fn add(&mut self, update: Update) {
        let subject = match &update {
            Update::Host { host, .. } => Subject::Host(host.clone()),
            Update::ServerLeaving { server, .. } => Subject::Server(server.clone()),
        };
        if self.rumors.len() >= SUBJECTS_MAX && !self.rumors.contains_key(&subject) {
            self.drop_most_sent();
        }
        self.has_unsent = true;
        self.rumors.insert(subject, Rumor { update, sent: 0 });
    }

    /// Whether any update was not sent yet.
    pub(crate) fn has_unsent(&self) -> bool {
        self.has_unsent
    }

    /// Takes the updates for one round of messages.
    ///
    /// Among updates sent equally often, leaving servers come first. Each update
    /// is sent `times_max` times.
    pub(crate) fn take(&mut self, bytes_max: usize, times_max: u32) -> Vec<Update> {
        let mut order: Vec<(u32, &Subject)> =
            self.rumors.iter().map(|(s, r)| (r.sent, s)).collect();
        order.sort_unstable();
        let mut bytes = 0;
        let subjects: Vec<Subject> = order
            .into_iter()
            .map(|(_, subject)| subject.clone())
            .take_while(|subject| {
                bytes += self.rumors[subject].update.size_bytes();
                bytes <= bytes_max
            })
            .collect();
        let updates = subjects
            .iter()
            .filter_map(|subject| self.take_one(subject, times_max));
        let updates = updates.collect();
        self.has_unsent = self.rumors.values().any(|r| r.sent == 0);
        updates
    }

    fn take_one(&mut self, subject: &Subject, times_max: u32) -> Option<Update> {
        let rumor = self.rumors.get_mut(subject)?;
        rumor.sent += 1;
        if rumor.sent < times_max {
            return Some(rumor.update.clone());
        }
        Some(self.rumors.remove(subject)?.update)
    }

    fn drop_most_sent(&mut self) {
        let most = self.rumors.iter().max_by_key(|(_, r)| r.sent);
        if let Some(subject) = most.map(|(subject, _)| subject.clone()) {
            self.rumors.remove(&subject);
        }
    }
}
