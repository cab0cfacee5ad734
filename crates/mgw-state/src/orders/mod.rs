//! Orders to engines: what shall be loaded where, and in which order.
