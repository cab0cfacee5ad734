//! Keeps the lanes in step with targets, links and loads.

use mgw_world::Millis;

use super::facade::Router;
use super::lane::{Lane, LaneName};

impl Router {
    /// Brings the lane of this name up to date with targets, links and loads.
    ///
    /// Afterwards there is a lane unless the model is unknown or no target holds this version.
    pub(super) fn refresh(&mut self, name: &LaneName, now: Millis) {
        if self.needs_build {
            self.build_all(now);
        } else if self.needs_weights {
            for lane in self.lanes.values_mut() {
                lane.weigh(&self.fleet, &self.settings, now);
            }
        }
        self.needs_build = false;
        self.needs_weights = false;
        let known = self.lanes.get(name);
        let sessions = known.map_or(0, |lane| lane.sessions);
        if known.is_none_or(|lane| lane.valid_until <= now) {
            self.build_lane(name, sessions, now);
        }
    }

    fn build_all(&mut self, now: Millis) {
        let lanes = std::mem::take(&mut self.lanes);
        for (name, lane) in lanes {
            self.build_lane(&name, lane.sessions, now);
        }
    }

    /// Builds a lane; one that has neither a target nor a path isn't kept.
    fn build_lane(&mut self, name: &LaneName, sessions: u32, now: Millis) {
        let Some(model) = self.models.get(&name.model) else {
            self.lanes.remove(name);
            return;
        };
        let mut lane = Lane::build(model, name, &self.fleet, &self.links, &self.settings, now);
        lane.sessions = sessions;
        if lane.is_empty() && sessions == 0 {
            self.lanes.remove(name);
        } else {
            self.lanes.insert(name.clone(), lane);
        }
    }
}
