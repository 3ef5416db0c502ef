//! Exchange of the versions of streams with their holders, over the peer port.

mod holders;
mod proof;
mod query;

use std::net::{SocketAddr, SocketAddrV4};
use std::rc::Rc;
use std::time::{Duration, Instant};

use briarbank_core::flow::{ShareStatement, StreamMessage, VersionEvidence};

use crate::codec;
use crate::datagram;
use crate::gossip::notice_pause;
use crate::shared::SharedState;

pub(crate) use holders::{
    all_records, begin, end, expire, hand_over, learn, tell_others, version_of_key,
};
pub(crate) use query::{SoughtStream, StreamQueries, find, find_only_version};

/// Returns the message about a stream in a datagram, `None` for other datagrams.
pub(crate) fn strip_prefix(datagram: &[u8]) -> Option<&[u8]> {
    datagram.strip_prefix(&StreamMessage::PREFIX)
}

/// Handles a message of another node about a stream.
pub(crate) fn receive(shared: &Rc<SharedState>, from: SocketAddr, bytes: &[u8]) {
    let decoded = codec::decode_with_two::<StreamMessage, VersionEvidence, ShareStatement>(bytes);
    let (message, evidence, statements) = match decoded {
        Ok(decoded) => decoded,
        Err(error) => {
            tracing::debug!(%error, "peer: decoding a message about a stream failed");
            return;
        }
    };
    match message {
        StreamMessage::Record(record) => {
            holders::receive_record(shared, record);
            // Its sender serves the stream now.
            end(shared, record.stream);
        }
        StreamMessage::Records(records) => {
            for record in records.iter() {
                holders::receive_record(shared, *record);
                end(shared, record.stream);
            }
        }
        StreamMessage::Query {
            sender,
            id,
            stream,
            service,
            age_max_ms,
        } => {
            notice_pause(shared);
            proof::confirm_values(shared);
            let sought = SoughtStream {
                key: stream,
                service,
                age_max: Duration::from_millis(u64::from(age_max_ms)),
            };
            let origin = proof::origin(shared, &sought);
            let now = Instant::now();
            let evidence = proof::own_evidence(shared, &sought, now);
            let statement = proof::own_shares(shared, &sought, now);
            let answer = StreamMessage::Answer { id, origin };
            let appended = (evidence.as_slice(), statement.as_slice());
            datagram::send_with_two(shared, sender, &StreamMessage::PREFIX, &answer, appended);
        }
        StreamMessage::Answer { id, origin } => {
            shared
                .stream_queries
                .record_answer(id, from, origin, &evidence, &statements);
        }
    }
}

fn send(shared: &SharedState, target: SocketAddrV4, message: &StreamMessage) {
    // Other holders have the same record, and a query is repeated.
    datagram::send(shared, target, &StreamMessage::PREFIX, message);
}
