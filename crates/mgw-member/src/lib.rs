//! Membership views, leases, spreading and the addresses given to callers.
