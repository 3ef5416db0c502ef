//! Tests of routed traffic: routes, published values, peers, retry budgets and dispatch.

mod crashes;
mod directory;
mod engine;
mod fleet;
mod harmful_calls;
mod hedged_fleet;
mod hedging;
mod limits;
mod load;
mod mirror;
mod part_records;
mod parts;
mod peers;
mod placement;
mod removals;
mod repeats;
mod routes;
mod simulation;
mod spread;
mod streams;
mod values;
