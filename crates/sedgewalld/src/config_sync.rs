//! Adopts each newer configuration, from the platform or, while the platform
//! is unreachable, from peers.

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
    election,
    instance::{Instance, Stage, sleep_with_jitter},
    instance_list, leader,
    routes::ConfigView,
};

/// How long a watch request waits for a change.
const WATCH_TIMEOUT: Duration = Duration::from_secs(30);

const RETRY_DELAY: Duration = Duration::from_millis(300);

/// The maximum number of chunks fetched concurrently.
const MAX_CONCURRENT_FETCHES: usize = 8;

/// Watches the head of the configuration; never returns.
pub(crate) async fn watch(instance: Rc<Instance>) {
    let mut known: Option<ObjectVersion> = None;
    loop {
        let watched = instance
            .platform
            .watch(CONFIG_HEAD_KEY, known, WATCH_TIMEOUT)
            .await;
        instance.set_platform_reached(watched.is_ok());
        match watched {
            Ok(WatchOutcome::Changed(object)) => {
                match apply_head(&instance, &object.value).await {
                    Ok(()) => known = Some(object.version),
                    Err(err) => {
                        warn!("config: {err}.");
                        sleep_with_jitter(RETRY_DELAY).await;
                    }
                }
            }
            Ok(WatchOutcome::Unchanged) => {}
            Err(err) => {
                debug!("config: {err}.");
                sleep_with_jitter(RETRY_DELAY).await;
            }
        }
    }
}

async fn apply_head(
    instance: &Rc<Instance>,
    value: &[u8],
) -> Result<(), PlatformError> {
    let head: ConfigHead = serde_json::from_slice(value)
        .map_err(|err| PlatformError::Unreadable(err.to_string()))?;
    let Some(missing) = instance.config.borrow().missing(&head) else {
        return Ok(());
    };
    let chunks = fetch_chunks(instance, &missing).await?;
    adopt(instance, head, chunks);
    Ok(())
}

async fn fetch_chunks(
    instance: &Rc<Instance>,
    hashes: &[String],
) -> Result<Vec<Chunk>, PlatformError> {
    let mut chunks = Vec::with_capacity(hashes.len());
    for batch in hashes.chunks(MAX_CONCURRENT_FETCHES) {
        let fetches = batch.iter().map(|hash| async move {
            let object = instance.platform.get(&chunk_key(hash)).await?;
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

/// Adopts a configuration if it is newer than the current one.
fn adopt(instance: &Rc<Instance>, head: ConfigHead, chunks: Vec<Chunk>) {
    let version = head.version;
    let applied_by = head.applied_by.clone();
    let adopted = instance.config.borrow_mut().adopt(head, chunks);
    let config = match adopted {
        Ok(Some(config)) => config,
        Ok(None) => return,
        Err(err) => {
            warn!("config: version {version} was not adopted: {err}.");
            return;
        }
    };
    let adapters_len = config.adapters.len();
    *instance.view.borrow_mut() = ConfigView::new(config);
    if instance.stage.get() == Stage::Starting {
        instance.stage.set(Stage::Ready);
    }
    info!(
        "config: version {version} is in force, {adapters_len} adapters, \
         applied by {applied_by}."
    );
    let detail = format!("version {version} in force");
    instance.record_event(EventKind::Config, None, "", "", detail);
    metrics::gauge!("sedgewall_config_version").set(version as f64);
    let shards = instance.view().config.shard_ids();
    instance.leaders.borrow_mut().retain(|shard, _| shards.contains(shard));
    leader::reconfigure(instance);
    instance_list::refresh(instance);
    election::start_missing_tasks(instance);
}

/// Asks the sender of `envelope` for its configuration, which is newer.
pub(crate) fn request_from_peer(instance: &Rc<Instance>, envelope: &Envelope) {
    instance.reply(
        envelope,
        PeerMessage::AskConfig(AskConfig { chunks: Vec::new() }),
    );
}

/// Answers a peer that asks for the configuration of this instance.
pub(crate) fn on_request(
    instance: &Rc<Instance>,
    envelope: &Envelope,
    ask: &AskConfig,
) {
    let part = {
        let config = instance.config.borrow();
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
    instance.reply(envelope, PeerMessage::ConfigPart(part));
}

/// Handles a part of a peer's configuration: adopts it if no chunk is missing,
/// otherwise asks for the missing chunks.
pub(crate) fn on_config_part(
    instance: &Rc<Instance>,
    envelope: &Envelope,
    part: ConfigPart,
) {
    let missing = instance.config.borrow().missing(&part.head);
    let Some(missing) = missing else { return };
    let is_included =
        |hash: &String| part.chunks.iter().any(|c| c.hash == *hash);
    if missing.iter().all(is_included) {
        let chunks = part
            .chunks
            .into_iter()
            .map(|chunk| Chunk { hash: chunk.hash, content: chunk.content })
            .collect();
        adopt(instance, part.head, chunks);
        return;
    }
    let ask = PeerMessage::AskConfig(AskConfig { chunks: missing });
    instance.reply(envelope, ask);
}
