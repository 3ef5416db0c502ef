//! Changes of what is believed of a host.

use std::time::Instant;

use crate::ids::{HostName, Incarnation};
use crate::member::members::{Members, Output, send};
use crate::member::message::{Message, Status};

impl Members {
    /// Changes what is believed of a host by this node's own finding.
    pub(crate) fn set_status(
        &mut self,
        now: Instant,
        host: &HostName,
        status: Status,
        out: &mut Vec<Output>,
    ) {
        let Some(record) = self.records.get_mut(host) else {
            return;
        };
        record.set(now, status);
        self.rumors.add(record.update(host));
        self.changed(host, out);
    }

    /// Reports the belief about a host after it changed.
    pub(crate) fn changed(&mut self, host: &HostName, out: &mut Vec<Output>) {
        let Some(record) = self.records.get(host) else {
            return;
        };
        out.push(Output::Changed {
            host: host.clone(),
            incarnation: record.incarnation,
            status: record.status,
        });
        if record.status == Status::Suspect {
            self.unconfirmed.insert(host.clone());
        }
        if !record.usable() && self.overlay.peers().any(|p| p == host) {
            self.next_draw.make_due();
        }
        self.hash();
    }

    /// Takes a message as a sign of life of its sender.
    pub(crate) fn record_contact(
        &mut self,
        now: Instant,
        from: &HostName,
        incarnation: Incarnation,
        out: &mut Vec<Output>,
    ) {
        let Some(record) = self.records.get_mut(from) else {
            return;
        };
        if record.record_contact(now, incarnation) {
            self.rumors.add(record.update(from));
            self.changed(from, out);
        } else if matches!(record.status, Status::Suspect | Status::Dead) {
            // It has to object by itself for the others to believe it.
            let accusation = record.update(from);
            send(out, from, Message::Updates(vec![accusation]));
            if record.status == Status::Dead {
                self.next_dead_probe.make_due();
            }
            record.set(now, Status::Live);
            self.changed(from, out);
        }
    }
}
