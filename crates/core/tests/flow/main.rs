//! Tests of routed traffic: routes, published values, peers, retry budgets and dispatch.

mod directory;
mod engine;
mod fleet;
mod limits;
mod load;
mod mirror;
mod part_records;
mod peers;
mod placement;
mod removals;
mod repeats;
mod routes;
mod simulation;
mod streams;
