//! Tests of routed traffic: routes, published values, peers, retry budgets and dispatch.

mod cold_fleet;
mod cold_gossip;
mod cold_servers;
mod crashes;
mod directory;
mod engine;
mod evacuation;
mod fleet;
mod harmful_calls;
mod limits;
mod load;
mod mirror;
mod part_records;
mod parts;
mod peers;
mod placement;
mod prefills;
mod processes;
mod regions;
mod removals;
mod repeats;
mod routes;
mod simulation;
mod spread;
mod streams;
mod values;
