//! The platform's store: ranges and watches of items.

use std::collections::BTreeMap;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http;

#[derive(Clone, Debug, Default)]
struct State {
    /// Number of times that the store came back from a copy.
    era: u64,
    /// Whether the store is away.
    is_away: bool,
    revision: u64,
    items: BTreeMap<String, (String, u64)>,
    /// Revision, key and value; `None` for a removal.
    history: Vec<(u64, String, Option<String>)>,
}

/// Most items of an answer, and bytes of their values after which no further one is added.
const PAGE_ITEMS: usize = 500;
const PAGE_BYTES: usize = 1_000_000;

/// Takes as many items as an answer holds; returns them and whether there are more.
fn page<T>(items: impl Iterator<Item = (T, usize)>) -> (Vec<T>, bool) {
    let (mut taken, mut bytes) = (Vec::new(), 0);
    for (item, size) in items {
        if taken.len() >= PAGE_ITEMS || (bytes + size > PAGE_BYTES && !taken.is_empty()) {
            return (taken, true);
        }
        bytes += size;
        taken.push(item);
    }
    (taken, false)
}

/// What a store held at a time.
#[derive(Clone, Debug)]
pub struct Copy(State);

/// A store on loopback.
#[derive(Clone, Debug)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    /// Starts a store.
    ///
    /// # Panics
    ///
    /// The address cannot be bound.
    #[must_use]
    pub fn start(ip: &str) -> Self {
        let listener = TcpListener::bind((ip, 0)).expect("binding the store failed");
        let address = listener.local_addr().unwrap();
        let state = State {
            revision: 10,
            ..State::default()
        };
        let store = Self {
            address,
            state: Arc::new((Mutex::new(state), Condvar::new())),
        };
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Copies all that the store holds.
    ///
    /// # Panics
    ///
    /// Another thread has panicked.
    #[must_use]
    pub fn copy(&self) -> Copy {
        Copy(self.state.0.lock().unwrap().clone())
    }

    /// Lets the store be away: connections close, and new ones are closed at once.
    ///
    /// # Panics
    ///
    /// Another thread has panicked.
    pub fn leave(&self) {
        self.state.0.lock().unwrap().is_away = true;
        self.state.1.notify_all();
    }

    /// Lets the store come back from an earlier copy.
    ///
    /// # Panics
    ///
    /// Another thread has panicked.
    pub fn return_from(&self, copy: &Copy) {
        let mut state = self.state.0.lock().unwrap();
        let era = state.era + 1;
        *state = State {
            era,
            is_away: false,
            ..copy.0.clone()
        };
    }

    /// Writes an item.
    pub fn put(&self, key: &str, value: &str) {
        self.change(key, Some(base64(value.as_bytes())));
    }

    /// Removes an item.
    pub fn remove(&self, key: &str) {
        self.change(key, None);
    }

    fn change(&self, key: &str, value: Option<String>) {
        let mut state = self.state.0.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        match &value {
            Some(value) => state
                .items
                .insert(key.to_owned(), (value.clone(), revision)),
            None => state.items.remove(key),
        };
        state.history.push((revision, key.to_owned(), value));
        self.state.1.notify_all();
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut buffer = Vec::new();
        while let Ok(Some(request)) = http::read_message(&mut stream, &mut buffer) {
            let Some((status, era, body)) = self.answer(request.path()) else {
                return;
            };
            let text = format!(
                "HTTP/1.1 {status}\r\nContent-Type: application/json\r\nStore-Era: {era}\r\n\
                 Content-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if stream.write_all(text.as_bytes()).is_err() {
                return;
            }
        }
    }

    /// Returns status, era and body of an answer, `None` while the store is away.
    fn answer(&self, path: &str) -> Option<(&'static str, u64, String)> {
        let (call, query) = path.split_once('?').unwrap_or((path, ""));
        let field = |name: &str| {
            let fields = query.split('&').filter_map(|f| f.split_once('='));
            let mut values = fields.filter(|(key, _)| *key == name);
            values.next().map(|(_, value)| decode_percent(value))
        };
        if call == "/kv-range" {
            let state = self.state.0.lock().unwrap();
            if state.is_away {
                return None;
            }
            let prefix = field("prefix").unwrap_or_default();
            let after = field("after").unwrap_or_default();
            let items = state.items.iter();
            let items = items.filter(|(key, _)| key.starts_with(&prefix) && **key > after);
            let sized = items
                .map(|(key, (value, revision))| (item(key, value, *revision), value.len() / 4 * 3));
            let (items, has_more) = page(sized);
            let body = format!(
                "{{\"items\":[{}],\"hasMore\":{has_more},\"at\":{}}}",
                items.join(","),
                state.revision
            );
            return Some(("200 OK", state.era, body));
        }
        let after: u64 = field("after").and_then(|a| a.parse().ok()).unwrap_or(0);
        let wait_ms = field("waitMs").and_then(|w| w.parse().ok()).unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait_ms);
        let mut state = self.state.0.lock().unwrap();
        if after > state.revision {
            return Some(("410 Gone", state.era, String::new()));
        }
        while state.revision <= after && !state.is_away {
            let rest = until.saturating_duration_since(Instant::now());
            if rest.is_zero() {
                break;
            }
            state = self.state.1.wait_timeout(state, rest).unwrap().0;
        }
        if state.is_away {
            return None;
        }
        let events = state.history.iter().filter(|(r, _, _)| *r > after);
        let sized = events.map(|(revision, key, value)| match value {
            Some(value) => (
                (*revision, item(key, value, *revision)),
                value.len() / 4 * 3,
            ),
            None => {
                let text =
                    format!("{{\"key\":\"{key}\",\"revision\":{revision},\"deleted\":true}}");
                ((*revision, text), 0)
            }
        });
        let (events, has_more) = page(sized);
        let last = events.last().map_or(0, |(revision, _)| *revision);
        let at = if has_more { last } else { state.revision };
        let events: Vec<String> = events.into_iter().map(|(_, text)| text).collect();
        let body = format!("{{\"events\":[{}],\"at\":{at}}}", events.join(","));
        Some(("200 OK", state.era, body))
    }
}

fn item(key: &str, value: &str, revision: u64) -> String {
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{value}\",\"revision\":{revision},\
         \"createdAt\":{revision},\"lease\":0}}"
    )
}

fn decode_percent(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let code = (bytes[at] == b'%')
            .then(|| text.get(at + 1..at + 3))
            .flatten();
        if let Some(byte) = code.and_then(|c| u8::from_str_radix(c, 16).ok()) {
            out.push(byte);
            at += 3;
        } else {
            out.push(bytes[at]);
            at += 1;
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

fn base64(bytes: &[u8]) -> String {
    const SIGNS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for part in bytes.chunks(3) {
        let word = part.iter().fold(0_u32, |word, b| word << 8 | u32::from(*b));
        let word = word << (8 * (3 - part.len()));
        for index in 0..4 {
            let sign = SIGNS[(word >> (18 - 6 * index) & 63) as usize];
            out.push(if index <= part.len() {
                sign as char
            } else {
                '='
            });
        }
    }
    out
}
