//! Routed traffic: routes, published values, peers, budgets and placement.

mod day;
mod engine;
mod fleet;
mod heavy;
mod mirror;
mod peers;
mod placement;
mod repeats;
mod routes;
