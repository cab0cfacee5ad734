//! Spreads a flow so that targets with capacity to spare are used evenly.
