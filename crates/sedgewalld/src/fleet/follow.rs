//! Follows one kind of objects in the platform's store.
//!
//! Each kind is listed once and then watched. While the store is out, what was
//! known stays in force; what a kind means is for its [`Follower`].

use std::{
    pin::pin,
    rc::Rc,
    time::{Duration, Instant},
};

use futures_util::{FutureExt, select};
use sedgewall_platform::{
    StoreError,
    config::{CONFIG_KIND, CONFIG_NAME},
    store::{Change, Freshness, Listing},
};

use super::{bell::Bell, node::FleetNode};

/// How long a watch waits, but for that of endpoints. Each call has a price; what other instances
/// know in a newer version is listed soon. It is well within the history that
/// the store keeps, 20 s on the deployments that we know: a watch that waits
/// longer finds its revision gone.
pub(crate) const QUIET_WATCH: Duration = Duration::from_secs(12);

/// Instances that watch with all that was acknowledged. Three may be cut off at
/// once and one still tells all others.
const FRESH_WATCHERS: usize = 4;

/// The longest time for the answer to a probe: the lease leaves 0.85 s from the
/// first renewal that fails.
const PROBE_TIME: Duration = Duration::from_millis(450);

/// While a probe says that the store is out, and no other call has reached it,
/// it is probed again after this long.
const PROBE_AGAIN: Duration = Duration::from_millis(500);

/// The first pause after a failed call; it doubles.
pub(crate) const FIRST_BACK_OFF: Duration = Duration::from_millis(150);

/// The longest pause after failed calls.
pub(crate) const LONGEST_BACK_OFF: Duration = Duration::from_millis(1_200);

/// The same for the endpoints at an instance that does not watch for the others.
pub(crate) const OTHERS_BACK_OFF: Duration = Duration::from_millis(2_500);

/// The same for all other kinds: once one kind's calls reach the store again,
/// all are rung for.
const RUNG_BACK_OFF: Duration = Duration::from_secs(4);

/// Takes in the objects of one kind.
pub(crate) trait Follower {
    const KIND: &'static str;
    const WATCH: Duration;
    /// How new the first list has to be. What the watch tells next follows on
    /// it, so a start is cheap where a second more does no harm.
    const FIRST_LIST: Freshness = Freshness::SecondsOld;
    /// The pause before the next watch.
    fn pause(&self) -> Duration {
        Duration::ZERO
    }
    /// What rings when all is to be listed anew.
    fn bell(&self) -> Rc<Bell>;
    /// The longest pause after failed calls, where others watch as well.
    fn longest_back_off(&self) -> Duration {
        RUNG_BACK_OFF
    }
    /// Takes in all objects.
    fn list(&self, listing: Listing);
    /// Takes in one change.
    fn change(&self, change: Change);
}

/// Starts to follow one kind.
pub(crate) fn spawn<F: Follower + 'static>(node: &Rc<FleetNode>, follower: F) {
    compio::runtime::spawn(follow(node.clone(), follower)).detach();
}

async fn follow<F: Follower>(node: Rc<FleetNode>, follower: F) {
    let mut back_off = FIRST_BACK_OFF;
    let mut since = None;
    let mut is_out = false;
    let mut watches = Freshness::Newest;
    let mut lists = F::FIRST_LIST;
    loop {
        let sent = Instant::now();
        let done = match since {
            None => {
                follower.bell().mute();
                node.store.list(F::KIND, lists).await.map(|listing| {
                    lists = Freshness::Newest;
                    tracing::info!(
                        event = "listed",
                        kind = F::KIND,
                        objects = listing.objects.len(),
                        revision = listing.revision,
                    );
                    let revision = listing.revision;
                    follower.list(listing);
                    revision
                })
            }
            Some(revision) => {
                watches = freshness(&node, watches, F::KIND);
                let watch =
                    node.store.watch(F::KIND, revision, F::WATCH, watches);
                let mut watch = pin!(watch.fuse());
                let bell = follower.bell();
                let mut rung = pin!(rung(&bell).fuse());
                let watched = select! {
                    watched = watch => watched,
                    () = rung => {
                        since = None;
                        continue;
                    }
                };
                watched.map(|changes| {
                    for change in changes.changes {
                        follower.change(change);
                    }
                    changes.revision
                })
            }
        };
        match done {
            Ok(revision) => {
                node.store_reached();
                if is_out {
                    tracing::info!(event = "store_regained", kind = F::KIND);
                    is_out = false;
                    node.list_others_anew(&follower.bell());
                }
                since = Some(revision);
                back_off = FIRST_BACK_OFF;
                let pause = follower.pause();
                if !pause.is_zero() && follower.bell().wait(pause).await {
                    since = None;
                }
            }
            Err(StoreError::HistoryGone) => {
                tracing::warn!(event = "history_gone", kind = F::KIND);
                since = None;
            }
            Err(err) => {
                node.store_failed(sent, &err);
                let cause = err.to_string();
                let sent_ms_ago = sent.elapsed().as_millis() as u64;
                tracing::info!(
                    event = "store_call_failed",
                    kind = F::KIND,
                    is_list = since.is_none(),
                    sent_ms_ago,
                    cause,
                );
                if !is_out {
                    tracing::warn!(
                        event = "store_lost",
                        kind = F::KIND,
                        cause
                    );
                    is_out = true;
                }
                // A watch answers only once something changes; a list tells at
                // once that the store is regained, and what was missed.
                since = None;
                // Whoever regains the store first rings for the others.
                let bell = follower.bell();
                let mut regained = pin!(rung(&bell).fuse());
                let mut pause = pin!(compio::time::sleep(back_off).fuse());
                select! {
                    () = pause => {}
                    () = regained => {}
                }
                let longest = match node.rank(0) < FRESH_WATCHERS {
                    true => LONGEST_BACK_OFF,
                    false => follower.longest_back_off(),
                };
                back_off = (back_off * 2).min(longest);
            }
        }
    }
}

/// A few instances hear everything at once and tell the others, who watch for
/// a tenth of the price and repair with it what notes lost.
fn freshness(node: &FleetNode, before: Freshness, kind: &str) -> Freshness {
    let rank = node.rank(0);
    let freshness = match rank < FRESH_WATCHERS {
        true => Freshness::Newest,
        false => Freshness::SecondsOld,
    };
    if freshness != before {
        tracing::info!(event = "watch", kind, rank, freshness = ?freshness);
    }
    freshness
}

/// Sees whether the store answers, for the holder of the lease to hear. Our own
/// watches may still wait on connections that were made before an outage.
pub(crate) fn probe_store(node: &Rc<FleetNode>) {
    if !node.store_contact.borrow_mut().begin_probe() {
        return;
    }
    let node = node.clone();
    compio::runtime::spawn(async move {
        loop {
            let sent = Instant::now();
            let probe = node.store.probe(CONFIG_KIND, CONFIG_NAME);
            let probed = compio::time::timeout(PROBE_TIME, probe)
                .await
                .unwrap_or(Err(StoreError::Unanswered));
            tracing::info!(event = "store_probed", is_out = probed.is_err());
            let Err(err) = probed else {
                node.store_reached();
                break;
            };
            node.store_failed(sent, &err);
            compio::time::sleep(PROBE_AGAIN).await;
            if !node.store_contact.borrow().is_out() {
                break;
            }
        }
        node.store_contact.borrow_mut().end_probe();
    })
    .detach();
}

/// Waits for a bell.
async fn rung(bell: &Bell) {
    while !bell.wait(QUIET_WATCH).await {}
}
