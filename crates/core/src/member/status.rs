//! Status changes of hosts.

use std::time::Instant;

use crate::ids::{HostName, Incarnation};
use crate::member::members::{Members, Output, send};
use crate::member::message::{Message, Status};

impl Members {
    /// Changes the status of a host by this node's own failure detection.
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
        record.set_status(now, status);
        self.rumors.add(record.update(host));
        self.report_change(host, out);
    }

    /// Reports the status of a host after a change.
    pub(crate) fn report_change(&mut self, host: &HostName, out: &mut Vec<Output>) {
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
            self.next_redraw.make_due();
        }
        self.update_digest();
    }

    /// Records a message as a sign of life of its sender.
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
            self.report_change(from, out);
        } else if matches!(record.status, Status::Suspect | Status::Dead) {
            // Other nodes only accept a refutation by the host itself.
            let suspicion = record.update(from);
            send(out, from, Message::Updates(vec![suspicion]));
            if record.status == Status::Dead {
                self.next_dead_probe.make_due();
            }
            record.set_status(now, Status::Live);
            self.report_change(from, out);
        }
    }
}
