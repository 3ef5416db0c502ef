//! Routed traffic: the service that a call is for and the server that handles it.
//!
//! A call names a host name and a path, from which the published routes derive
//! a service, time limits and a tier. [`Dispatcher`] chooses the server by the
//! load of this node and its peers, and refuses calls that can't be answered in
//! time. The work of model services is counted in tokens.
//!
//! The module does no I/O: its user owns sockets and timers, and reports the
//! outcome of each attempt.

mod attempt;
mod brittle_servers;
mod call;
mod call_times;
mod choice;
mod cold_servers;
mod cold_share;
mod crash_record;
mod decaying_sum;
mod departed;
mod dispatch;
mod entry_bound;
mod era;
mod estimates;
mod evacuation;
mod harmful_prompts;
mod hedge_limit;
mod hedge_offer;
mod hedging;
mod homes;
mod instance;
mod load;
mod load_directory;
mod message;
mod mirror;
mod notices;
mod options;
mod packed;
mod page_walk;
mod part_records;
mod peer_values;
mod peers;
mod prefill_directory;
mod prefix_cache;
mod prefix_rates;
mod process_lives;
mod processes;
mod prompt_sizes;
mod prompt_time;
mod recent_times;
mod regions;
mod relays;
mod removal_log;
mod retry_budget;
mod route;
mod served_streams;
mod server;
mod server_limits;
mod server_paths;
mod share_span;
mod staleness;
mod store_reads;
mod stream_directory;
mod stream_proof;
mod stream_versions;
mod table;
mod token_bucket;
mod values;
mod version;
mod version_evidence;
mod version_log;
mod version_shares;
mod view_log;

pub use brittle_servers::{BrittleServers, BrittleStatement};
pub use call::{AttemptId, Call, Fault, KeyVersion, Placement, Prompt, Refusal, TierRank};
pub use call_times::CallKind;
pub use cold_servers::{ColdChange, ColdCounts, ColdServer};
pub use cold_share::{ColdShare, ColdStanding, ColdUsers};
pub use dispatch::Dispatcher;
pub use entry_bound::{ENTRIES_BYTES_MAX, ENTRY_BYTES_MAX, ENTRY_KEY_BYTES_MAX, EntryBound};
pub use era::{era_of, revision_in_era, stored_revision};
pub use harmful_prompts::SeenCrash;
pub use hedge_offer::HedgeOffer;
pub use hedging::{HEDGE_RATIO_MAX, HedgeReason, HedgeRefusal, Hedging, WaitingCall};
pub use homes::has_run_longer;
pub use instance::Instance;
pub use load::Load;
pub use load_directory::{LoadDirectory, REPORT_INTERVAL};
pub use message::{
    Heartbeat, HeartbeatEntry, LoadDetails, LoadMessage, LoadReport, PrefillSample, ServerEstimate,
    ServerLoad, ServerObservation,
};
pub use mirror::{Change, Delta, Mirror, Removal};
pub use options::{ColdLimit, Options};
pub use packed::{KNOWN_CHUNKS_MAX, KnownChunks, PackedDelta};
pub use page_walk::PageWalk;
pub use part_records::{
    CRASHES_BLAMED, CRASHES_NO_RETRY, CrashStatement, PartRecords, PartStatement,
};
pub use peer_values::ValueSource;
pub use peers::{PeerOptions, PeerView, Peers};
pub use prefill_directory::PrefillDirectory;
pub use prompt_time::PromptTime;
pub use removal_log::{RemovalLog, RemovalNote, RemovalRecord};
pub use retry_budget::{RetryOptions, SlidingRetryBudget};
pub use route::{
    ColdSpec, EngineSpec, RequestLimits, Route, RouteConfig, RouteKind, ServiceSpec, Split,
    WorkspaceEntry,
};
pub use served_streams::{ServedStreams, StreamStart};
pub use server_limits::{LimitStatement, ServerLimits};
pub use server_paths::{PathStatement, ServerPaths};
pub use share_span::{ShareSpan, VersionShare};
pub use staleness::{Staleness, StalenessStatement};
pub use store_reads::{NextRead, StoreReads};
pub use stream_directory::{StreamDirectory, StreamKey, StreamMessage, StreamOrigin, StreamRecord};
pub use stream_proof::{ShareStatement, StreamProof, VIEW_LAG};
pub use table::RouteTable;
pub use values::{ValueKind, Values, ValuesStatement};
pub use version::VersionKey;
pub use version_evidence::{VersionEvidence, VersionProof};
