//! The entry's links to targets: connections, and what their failures tell.

mod connect;
