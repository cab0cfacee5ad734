//! Addresses of entries for callers that ask where to connect.

use mgw_contract::caller::AddressesReply;
use mgw_member::{
    AddressSettings, Availability, choose_addresses, determine_availability, hash_caller,
};
use mgw_world::PlaceName;

use super::ControlHandle;

impl ControlHandle {
    /// Returns entries that a caller may connect to. None while this control has just started,
    /// since its view may not have all entries yet, and none when the view has no entry to offer.
    #[must_use]
    pub fn list_entries(
        &self,
        settings: &AddressSettings,
        place: Option<&PlaceName>,
    ) -> Option<AddressesReply> {
        let now = self.app.clock.now();
        let view = self.app.view.lock();
        if determine_availability(&view, now) == Availability::Starting {
            return None;
        }
        let hash = hash_caller(None, None, rand::random());
        let reply = choose_addresses(&view, settings, place, hash, now);
        (!reply.entries.is_empty()).then_some(reply)
    }
}
