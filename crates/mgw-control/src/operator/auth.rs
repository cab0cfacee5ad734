//! Authentication of operators by name and key.

use hyper::Request;
use mgw_contract::operator::{OPERATOR_HEADER, OPERATOR_KEY_HEADER};
use mgw_state::Inventory;
use mgw_world::OperatorName;

/// Operator name and key from the headers of a request; not checked yet.
#[derive(Clone)]
pub struct Credentials {
    /// Name of the operator.
    pub operator: OperatorName,
    key: String,
}

impl Credentials {
    /// Reads name and key from the headers; a missing or unreadable header counts as empty.
    pub fn from_request<B>(request: &Request<B>) -> Self {
        let header = |name| {
            let value = request.headers().get(name);
            value
                .and_then(|value| value.to_str().ok())
                .unwrap_or_default()
                .to_owned()
        };
        Self {
            operator: OperatorName::from(header(OPERATOR_HEADER)),
            key: header(OPERATOR_KEY_HEADER),
        }
    }

    /// Whether the inventory lists the operator with this key.
    pub fn are_accepted_by(&self, inventory: &Inventory) -> bool {
        inventory.authenticate(self.operator.as_str(), &self.key)
    }
}
