//! Routed traffic: routes, published values, peers, budgets and placement.

mod fleet;
mod mirror;
mod peers;
mod placement;
mod repeats;
mod routes;
