//! HTTP API for operators.

mod auth;
mod read;
mod web;
mod write;

pub use web::handle_request;
