//! Versions of the configuration, stored as content-addressed chunks.
//!
//! A configuration is stored as chunks named by the hash of their content, and
//! one head object that lists them. A change of a few adapters changes a few
//! chunks. The invariant: [`ConfigTracker::adopt`] only ever raises the
//! version, in whatever order responses arrive.

use std::collections::{BTreeMap, HashSet};

use sedgewall_state::{
    ConfigVersion,
    config::{AdapterConfig, Config},
};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{xxh3_64, xxh3_128};

/// The maximum number of chunks over which adapters are distributed, by a hash
/// of their names.
///
/// 24,000 adapters of about 90 bytes give chunks of about 34 KB, far below the
/// platform's limit of 1 MB, and a change of one adapter transfers one chunk.
pub const MAX_ADAPTER_CHUNKS: u64 = 64;

/// The target number of adapters per chunk, while fewer than
/// [`MAX_ADAPTER_CHUNKS`] chunks are needed.
///
/// A starting instance reads every chunk, so a small configuration must not be
/// split into many.
const ADAPTERS_PER_CHUNK: u64 = 375;

/// The largest value that the platform's object API accepts, in bytes.
pub const MAX_VALUE_LEN: usize = 1_000_000;

/// The name of a chunk, which is the hash of its content in hex.
pub type ChunkHash = String;

/// The object that identifies the configuration in force.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ConfigHead {
    /// The configuration version; each accepted apply raises it by one.
    pub version: ConfigVersion,
    /// The chunk that holds everything except adapters.
    pub base: ChunkHash,
    /// The chunks of adapters, by hash bucket; empty buckets have no chunk.
    pub adapters: BTreeMap<u64, ChunkHash>,
    /// The person or system that applied this version, as given on the command
    /// line.
    pub applied_by: String,
    /// A random number that identifies this apply, so that a client that lost
    /// the response can recognise its own head.
    pub nonce: u64,
}

impl ConfigHead {
    /// Returns the names of all chunks that the head lists.
    pub fn chunks(&self) -> impl Iterator<Item = &ChunkHash> {
        std::iter::once(&self.base).chain(self.adapters.values())
    }
}

/// A part of an encoded configuration together with its name.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Chunk {
    /// The name of the chunk, the hash of its content.
    pub hash: ChunkHash,
    /// The encoded part of the configuration, as JSON.
    pub content: Vec<u8>,
}

/// A configuration split into chunks, without a version yet.
#[derive(Clone, Debug, PartialEq)]
pub struct ChunkedConfig {
    /// The chunk that holds everything except adapters.
    pub base: Chunk,
    /// The chunks of adapters, by hash bucket.
    pub adapters: BTreeMap<u64, Chunk>,
}

/// An error of splitting a configuration into chunks or assembling it.
#[derive(Debug, displaydoc::Display)]
pub enum ConfigError {
    /// cannot encode the configuration: {0}
    Encode(serde_json::Error),
    /// cannot decode chunk {hash}: {source}
    Decode {
        /// The name of the chunk.
        hash: ChunkHash,
        /// The decoder's error.
        source: serde_json::Error,
    },
    /// chunk {0} is missing
    MissingChunk(ChunkHash),
    /// chunk {hash} has {len} bytes; the platform accepts at most {max_len}
    ChunkTooLarge {
        /// The name of the chunk.
        hash: ChunkHash,
        /// The length of the chunk in bytes.
        len: usize,
        /// The platform's limit in bytes.
        max_len: usize,
    },
    /// chunk {0} is corrupt: its content does not match its hash
    WrongContent(ChunkHash),
}

impl std::error::Error for ConfigError {}

impl ChunkedConfig {
    /// Splits a configuration into chunks.
    ///
    /// # Errors
    ///
    /// When a chunk cannot be encoded or exceeds [`MAX_VALUE_LEN`].
    pub fn from_config(config: &Config) -> Result<ChunkedConfig, ConfigError> {
        let mut buckets: BTreeMap<u64, Vec<&AdapterConfig>> = BTreeMap::new();
        let chunk_count = adapter_chunk_count(config.adapters.len());
        for adapter in &config.adapters {
            let idx = xxh3_64(adapter.name.as_bytes()) % chunk_count;
            buckets.entry(idx).or_default().push(adapter);
        }
        let base_config =
            Config { adapters: Vec::new(), ..clone_without_adapters(config) };
        let base = encode_chunk(&base_config)?;
        let mut adapters = BTreeMap::new();
        for (idx, mut members) in buckets {
            members.sort_by(|a, b| a.name.cmp(&b.name));
            adapters.insert(idx, encode_chunk(&members)?);
        }
        Ok(ChunkedConfig { base, adapters })
    }

    /// Returns a head that lists these chunks as the given version.
    pub fn head(
        &self,
        version: ConfigVersion,
        applied_by: &str,
        nonce: u64,
    ) -> ConfigHead {
        ConfigHead {
            version,
            base: self.base.hash.clone(),
            adapters: self
                .adapters
                .iter()
                .map(|(idx, chunk)| (*idx, chunk.hash.clone()))
                .collect(),
            applied_by: applied_by.to_owned(),
            nonce,
        }
    }

    /// Returns the chunks, the base chunk first.
    pub fn chunks(&self) -> impl Iterator<Item = &Chunk> {
        std::iter::once(&self.base).chain(self.adapters.values())
    }
}

/// The configuration in force at one instance, which only moves to newer
/// versions.
#[derive(Clone, Debug, Default)]
pub struct ConfigTracker {
    head: ConfigHead,
    chunks: BTreeMap<ChunkHash, Vec<u8>>,
}

impl ConfigTracker {
    /// Returns the version in force, or 0 before the first one.
    pub fn version(&self) -> ConfigVersion {
        self.head.version
    }

    /// Returns the head of the configuration in force.
    pub fn head(&self) -> &ConfigHead {
        &self.head
    }

    /// Returns a chunk of the configuration in force.
    pub fn chunk(&self, hash: &str) -> Option<&[u8]> {
        self.chunks.get(hash).map(Vec::as_slice)
    }

    /// Returns the total length of all chunks in bytes.
    pub fn chunks_len(&self) -> usize {
        self.chunks.values().map(Vec::len).sum()
    }

    /// Returns the chunks that a newer head lists and this instance lacks, or
    /// `None` if the head is not newer than the one in force.
    pub fn missing(&self, head: &ConfigHead) -> Option<Vec<ChunkHash>> {
        if head.version <= self.head.version {
            return None;
        }
        let missing = head
            .chunks()
            .filter(|hash| !self.chunks.contains_key(*hash))
            .cloned()
            .collect();
        Some(missing)
    }

    /// Adopts a newer head and returns the whole configuration.
    ///
    /// Returns `None` and changes nothing if the head is not newer than the
    /// one in force.
    ///
    /// # Errors
    ///
    /// When a chunk is missing or corrupt; nothing is changed then.
    pub fn adopt(
        &mut self,
        head: ConfigHead,
        fetched: Vec<Chunk>,
    ) -> Result<Option<Config>, ConfigError> {
        if head.version <= self.head.version {
            return Ok(None);
        }
        let mut chunks = self.chunks.clone();
        for chunk in fetched {
            if content_hash(&chunk.content) != chunk.hash {
                return Err(ConfigError::WrongContent(chunk.hash));
            }
            chunks.insert(chunk.hash, chunk.content);
        }
        let config = assemble(&head, &chunks)?;
        let referenced: HashSet<&ChunkHash> = head.chunks().collect();
        chunks.retain(|hash, _| referenced.contains(hash));
        self.chunks = chunks;
        self.head = head;
        Ok(Some(config))
    }
}

/// Assembles a configuration from the chunks that its head lists.
///
/// # Errors
///
/// When a chunk is missing or cannot be decoded.
pub fn assemble(
    head: &ConfigHead,
    chunks: &BTreeMap<ChunkHash, Vec<u8>>,
) -> Result<Config, ConfigError> {
    let find = |hash: &ChunkHash| {
        chunks.get(hash).ok_or_else(|| ConfigError::MissingChunk(hash.clone()))
    };
    let mut config: Config = decode(&head.base, find(&head.base)?)?;
    for hash in head.adapters.values() {
        let adapters: Vec<AdapterConfig> = decode(hash, find(hash)?)?;
        config.adapters.extend(adapters);
    }
    Ok(config)
}

/// Returns the hash of a chunk's content, which is the chunk's name.
pub fn content_hash(content: &[u8]) -> ChunkHash {
    format!("{:032x}", xxh3_128(content))
}

/// Returns the number of chunks for this many adapters.
///
/// It is a power of two, so that a growing configuration is rarely
/// redistributed over its chunks.
fn adapter_chunk_count(adapters_len: usize) -> u64 {
    let min_count = (adapters_len as u64).div_ceil(ADAPTERS_PER_CHUNK).max(1);
    min_count.next_power_of_two().min(MAX_ADAPTER_CHUNKS)
}

fn clone_without_adapters(config: &Config) -> Config {
    Config {
        base_models: config.base_models.clone(),
        adapters: Vec::new(),
        endpoint_groups: config.endpoint_groups.clone(),
        regions: config.regions.clone(),
        expected_spikes: config.expected_spikes.clone(),
        weight_store: config.weight_store,
        policy: config.policy,
    }
}

fn encode_chunk<T: Serialize>(value: &T) -> Result<Chunk, ConfigError> {
    let content = serde_json::to_vec(value).map_err(ConfigError::Encode)?;
    let hash = content_hash(&content);
    if content.len() > MAX_VALUE_LEN {
        return Err(ConfigError::ChunkTooLarge {
            hash,
            len: content.len(),
            max_len: MAX_VALUE_LEN,
        });
    }
    Ok(Chunk { hash, content })
}

fn decode<T: serde::de::DeserializeOwned>(
    hash: &ChunkHash,
    content: &[u8],
) -> Result<T, ConfigError> {
    serde_json::from_slice(content)
        .map_err(|source| ConfigError::Decode { hash: hash.clone(), source })
}
