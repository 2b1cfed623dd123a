//! Brings each newer configuration into force, from the platform or, while
//! that is out of reach, from peers.

use std::{rc::Rc, time::Duration};

use log::{debug, info, warn};
use sedgewall_coordination::{
    config_version::{Chunk, ConfigHead},
    lease::ObjectVersion,
    timeline::EventKind,
};
use sedgewall_protocol::{
    Envelope, PeerMessage,
    message::{AskConfig, ChunkPart, ConfigPart},
    platform::{CONFIG_HEAD_KEY, chunk_key},
};
use sedgewall_transport::{PlatformError, platform_client::WatchOutcome};

use crate::{
    election, instances, leader,
    node::{Node, Stage, pause},
    routes::ConfigView,
};

/// How long a watch waits.
const WATCH_TIME: Duration = Duration::from_secs(30);

const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// Chunks fetched at once.
const FETCHES_AT_ONCE: usize = 8;

/// Follows the head of the configuration for ever.
pub(crate) async fn follow(node: Rc<Node>) {
    let mut known: Option<ObjectVersion> = None;
    loop {
        let watched =
            node.platform.watch(CONFIG_HEAD_KEY, known, WATCH_TIME).await;
        node.note_platform(watched.is_ok());
        match watched {
            Ok(WatchOutcome::Changed(object)) => {
                match take_head(&node, &object.value).await {
                    Ok(()) => known = Some(object.version),
                    Err(err) => {
                        warn!("config: {err}.");
                        pause(RETRY_PAUSE).await;
                    }
                }
            }
            Ok(WatchOutcome::Unchanged) => {}
            Err(err) => {
                debug!("config: {err}.");
                pause(RETRY_PAUSE).await;
            }
        }
    }
}

async fn take_head(
    node: &Rc<Node>,
    value: &[u8],
) -> Result<(), PlatformError> {
    let head: ConfigHead = serde_json::from_slice(value)
        .map_err(|err| PlatformError::Unreadable(err.to_string()))?;
    let Some(missing) = node.config.borrow().missing(&head) else {
        return Ok(());
    };
    let chunks = fetch_chunks(node, &missing).await?;
    adopt(node, head, chunks);
    Ok(())
}

async fn fetch_chunks(
    node: &Rc<Node>,
    hashes: &[String],
) -> Result<Vec<Chunk>, PlatformError> {
    let mut chunks = Vec::with_capacity(hashes.len());
    for batch in hashes.chunks(FETCHES_AT_ONCE) {
        let fetches = batch.iter().map(|hash| async move {
            let object = node.platform.get(&chunk_key(hash)).await?;
            let object = object.ok_or_else(|| {
                PlatformError::Unreadable(format!("chunk {hash} is missing"))
            })?;
            let content = object.value;
            Ok(Chunk { hash: hash.clone(), content })
        });
        let fetched = futures_util::future::try_join_all(fetches).await?;
        chunks.extend(fetched);
    }
    Ok(chunks)
}

/// Puts a configuration in force if it is newer than the present one.
fn adopt(node: &Rc<Node>, head: ConfigHead, chunks: Vec<Chunk>) {
    let version = head.version;
    let applied_by = head.applied_by.clone();
    let adopted = node.config.borrow_mut().adopt(head, chunks);
    let config = match adopted {
        Ok(Some(config)) => config,
        Ok(None) => return,
        Err(err) => {
            warn!("config: version {version} was not adopted: {err}.");
            return;
        }
    };
    let adapters_len = config.adapters.len();
    *node.view.borrow_mut() = ConfigView::new(config);
    if node.stage.get() == Stage::Starting {
        node.stage.set(Stage::Ready);
    }
    info!(
        "config: version {version} is in force, {adapters_len} adapters, \
         applied by {applied_by}."
    );
    let detail = format!("version {version} in force");
    node.event(EventKind::Config, None, "", "", detail);
    metrics::gauge!("sedgewall_config_version").set(version as f64);
    let shards = node.view().config.shard_ids();
    node.leaders.borrow_mut().retain(|shard, _| shards.contains(shard));
    leader::reconfigure(node);
    instances::refresh(node);
    election::ensure(node);
}

/// Asks a peer for its configuration, because it has a newer one.
pub(crate) fn ask_peer(node: &Rc<Node>, envelope: &Envelope) {
    node.reply(
        envelope,
        PeerMessage::AskConfig(AskConfig { chunks: Vec::new() }),
    );
}

/// Answers a peer that asks for our configuration.
pub(crate) fn on_ask(node: &Rc<Node>, envelope: &Envelope, ask: &AskConfig) {
    let part = {
        let config = node.config.borrow();
        let chunks = ask
            .chunks
            .iter()
            .filter_map(|hash| {
                let content = config.chunk(hash)?.to_vec();
                Some(ChunkPart { hash: hash.clone(), content })
            })
            .collect();
        ConfigPart { head: config.head().clone(), chunks }
    };
    node.reply(envelope, PeerMessage::ConfigPart(part));
}

/// Takes in a part of a peer's configuration.
pub(crate) fn on_part(node: &Rc<Node>, envelope: &Envelope, part: ConfigPart) {
    let missing = node.config.borrow().missing(&part.head);
    let Some(missing) = missing else { return };
    let has = |hash: &String| part.chunks.iter().any(|c| c.hash == *hash);
    if missing.iter().all(has) {
        let chunks = part
            .chunks
            .into_iter()
            .map(|chunk| Chunk { hash: chunk.hash, content: chunk.content })
            .collect();
        adopt(node, part.head, chunks);
        return;
    }
    let ask = PeerMessage::AskConfig(AskConfig { chunks: missing });
    node.reply(envelope, ask);
}
