//! Choice of chains where targets have rate limits. The target that begins a request gets it from
//! the entry; those that it passes through don't, so only the first target's limit counts.

use mgw_world::Millis;

use super::router::{Chain, ChainRequest, ChainRouter, NoChain};
use crate::exclusions::TargetRun;
use crate::rate_limit::{EntryRateLimits, RequestRate};

impl ChainRouter {
    /// Chooses a chain whose first target has no rate limit, or one of which this entry holds a
    /// token, and spends the token. Targets to avoid are used if the others don't do.
    ///
    /// # Errors
    /// As [`ChainRouter::choose`], and if only rate limits stand against all chains.
    pub fn choose_within_limits(
        &mut self,
        request: &ChainRequest<'_>,
        limits: &mut EntryRateLimits,
        now: Millis,
    ) -> Result<Chain, NoChain> {
        let has_limits = !limits.is_empty();
        if has_limits {
            self.want_preferred(request, limits, now);
        }
        let within_limits = ChainRequest {
            limits: has_limits.then_some(&*limits),
            ..*request
        };
        let mut chosen = self.choose(&within_limits, now);
        if !matches!(chosen, Ok(_) | Err(NoChain::Full)) && !request.avoid.is_empty() {
            let without_avoided = ChainRequest {
                avoid: &[],
                ..within_limits
            };
            chosen = self.choose(&without_avoided, now);
        }
        if let Ok(chain) = &chosen {
            limits.take(&chain.hops[0].run(), now);
        }
        chosen
    }

    /// Records that the request would begin at another target if that one's limit left room for it.
    fn want_preferred(
        &self,
        request: &ChainRequest<'_>,
        limits: &mut EntryRateLimits,
        now: Millis,
    ) {
        let Some(preferred) = self.find_preferred_first(request, now) else {
            return;
        };
        if !limits.may_send(&preferred.name, preferred.incarnation, now) {
            limits.want(&preferred);
        }
    }

    /// The target that would begin a request if no target had a rate limit.
    fn find_preferred_first(&self, request: &ChainRequest<'_>, now: Millis) -> Option<TargetRun> {
        let unlimited = ChainRequest {
            limits: None,
            ..*request
        };
        let search = self.search(&unlimited, now);
        let in_place = self.search_each_place(&search);
        let found = in_place.or_else(|| search.run(&self.fleet))?;
        let (first, _) = found.parts.first()?;
        Some(self.fleet.get(*first).target.run())
    }

    /// Requests a second that the rate limits of the targets that hold the first layer allow together.
    #[must_use]
    pub fn limited_per_s(&self, limits: &EntryRateLimits) -> f64 {
        let targets = self.fleet.iter().map(|(_, member)| &member.target);
        let firsts = targets.filter(|target| target.layers.first() == 0);
        let rates = firsts.filter_map(|target| limits.rate(&target.name, target.incarnation));
        rates.map(RequestRate::per_s).sum()
    }
}
