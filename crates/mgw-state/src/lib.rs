//! Configuration, ledger and audit trail as the log's state machine.
