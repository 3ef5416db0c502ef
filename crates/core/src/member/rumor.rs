//! News that is still being told.

use std::collections::BTreeMap;

use crate::ids::{HostName, ServerName};
use crate::member::message::Update;

/// Most subjects that are told of at a time.
const SUBJECTS_MAX: usize = 1_024;

/// What a piece of news is about; newer news replaces older.
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

/// Queue of news, told a bounded number of times each, least told first.
#[derive(Debug, Default)]
pub(crate) struct Rumors {
    rumors: BTreeMap<Subject, Rumor>,
    fresh: bool,
}

impl Rumors {
    /// Adds a piece of news, or tells it anew.
    pub(crate) fn add(&mut self, update: Update) {
        let subject = match &update {
            Update::Host { host, .. } => Subject::Host(host.clone()),
            Update::ServerLeaving { server, .. } => Subject::Server(server.clone()),
        };
        if self.rumors.len() >= SUBJECTS_MAX && !self.rumors.contains_key(&subject) {
            self.drop_most_told();
        }
        self.fresh = true;
        self.rumors.insert(subject, Rumor { update, sent: 0 });
    }

    /// Whether there is news that was not yet told to anyone.
    pub(crate) fn fresh(&self) -> bool {
        self.fresh
    }

    /// Takes the news for one round of messages.
    ///
    /// Leaving servers go first. Each piece is told `times_max` times.
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
            .filter_map(|subject| self.tell(subject, times_max));
        let updates = updates.collect();
        self.fresh = self.rumors.values().any(|r| r.sent == 0);
        updates
    }

    fn tell(&mut self, subject: &Subject, times_max: u32) -> Option<Update> {
        let rumor = self.rumors.get_mut(subject)?;
        rumor.sent += 1;
        if rumor.sent < times_max {
            return Some(rumor.update.clone());
        }
        Some(self.rumors.remove(subject)?.update)
    }

    fn drop_most_told(&mut self) {
        let most = self.rumors.iter().max_by_key(|(_, r)| r.sent);
        if let Some(subject) = most.map(|(subject, _)| subject.clone()) {
            self.rumors.remove(&subject);
        }
    }
}
