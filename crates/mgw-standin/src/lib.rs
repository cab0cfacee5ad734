//! Stand-ins for a model engine, a plain service and the weight store.
