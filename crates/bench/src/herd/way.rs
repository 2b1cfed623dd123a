//! The ways to choose an endpoint that are compared.

use rand::{Rng, seq::IndexedRandom};
use rand_chacha::ChaCha8Rng;
use sedgewall_clock::Instant;
use sedgewall_fleet::{
    endpoint_state::EndpointState,
    view::{Choice, FleetView, Need},
};
use sedgewall_state::id::EndpointId;

/// A way to choose an endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Way {
    /// The product's.
    Product,
    /// The least load by the sums, with a draw of 0.4 of a load: what the product
    /// did before.
    LeastLoad,
    /// The least load by own requests, with a draw of a whole load.
    OwnLoad,
    /// Any, by slots.
    Random,
    /// The one of two random ones with the least load by the sums.
    BestOfTwo,
    /// The least load, known exactly: a bound, no way that can be had.
    Perfect,
}

/// Requests under way for each slot beyond which an endpoint gets no more.
const FULL_LOAD: f64 = 4.0;

impl Way {
    /// All ways, the product's first.
    pub const ALL: [Way; 6] = [
        Way::Product,
        Way::LeastLoad,
        Way::OwnLoad,
        Way::Random,
        Way::BestOfTwo,
        Way::Perfect,
    ];

    /// Chooses for a request; `loads` are the true requests for each slot.
    pub(super) fn choose(
        self,
        view: &FleetView,
        need: Need<'_>,
        now: Instant,
        loads: impl Fn(&EndpointId) -> f64,
        rng: &mut ChaCha8Rng,
    ) -> Option<EndpointId> {
        if self == Way::Product {
            return match view.choose(need, now) {
                Choice::Send(target) => Some(target.id),
                _ => None,
            };
        }
        let usable: Vec<&EndpointState> = view
            .of_service(need.service)
            .filter(|s| s.is_usable(now) && s.load() < FULL_LOAD)
            .filter(|s| !need.exclude.contains(s.id()))
            .collect();
        let least = |cost: &dyn Fn(&EndpointState) -> f64| {
            let costs = usable.iter().map(|s| (cost(s), s.id()));
            costs.min_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, id)| id.clone())
        };
        let slots = |s: &EndpointState| f64::from(s.endpoint.slots);
        let draws: Vec<f64> = usable.iter().map(|_| rng.random()).collect();
        let draw_of = |s: &EndpointState| {
            let at = usable.iter().position(|u| u.id() == s.id());
            at.map_or(0.0, |at| draws[at])
        };
        match self {
            Way::LeastLoad => least(&|s| s.load() + 0.4 * draw_of(s)),
            Way::OwnLoad => least(&|s| {
                f64::from(s.own_work.requests) / slots(s) + draw_of(s)
            }),
            Way::Random => usable.choose(rng).map(|state| state.id().clone()),
            Way::BestOfTwo => {
                let two: Vec<_> = usable.choose_multiple(rng, 2).collect();
                let best =
                    two.iter().min_by(|a, b| a.load().total_cmp(&b.load()));
                best.map(|state| state.id().clone())
            }
            Way::Perfect => least(&|s| loads(s.id())),
            Way::Product => None,
        }
    }
}
