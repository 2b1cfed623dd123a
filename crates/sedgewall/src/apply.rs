//! `sedgewall apply`: puts files in force as one new version.
//!
//! The chunks are written first. They are named by the hash of their content,
//! so writing one twice is harmless. A single conditional update of the head
//! then puts the version in force. If another operator's update came first,
//! nothing that this operator wrote is in force, and the differences to the
//! other version are printed to the standard error, unless `--base-version`
//! already shows the conflict, before anything is written.

use std::time::Duration;

use sedgewall_clock::Instant;
use sedgewall_coordination::{
    config_version::{ChunkedConfig, ConfigHead},
    lease::WriteAnswer,
};
use sedgewall_protocol::platform::{CONFIG_HEAD_KEY, chunk_key};
use sedgewall_state::ConfigVersion;
use sedgewall_transport::PlatformClient;
use serde::Serialize;

use crate::{
    args::{Apply, Args, Format},
    cluster, difference,
    error::CommandError,
    files, output,
    store::{self, StoredHead},
};

/// The number of attempts of one write whose outcome stays unclear.
const MAX_WRITE_ATTEMPTS: u32 = 10;

const RETRY_DELAY: Duration = Duration::from_millis(200);

const POLL_INTERVAL: Duration = Duration::from_millis(50);

#[derive(Serialize)]
struct ApplyReport {
    /// The version that holds the files' configuration.
    version: ConfigVersion,
    /// Whether the files differ from the configuration in force, so that a new
    /// version was written.
    is_new: bool,
    /// The number of chunks sent to the platform, which are those that the
    /// previous version does not contain.
    chunks_written: usize,
    /// The total length of these chunks, in bytes.
    bytes_written: usize,
    /// With `--wait`, how long after the platform accepted the version it was
    /// in force on every queried instance that is not leaving.
    in_force_after_ms: Option<u64>,
}

/// Applies files as a new version, unless the version in force has the same
/// configuration.
pub(crate) async fn run(
    args: &Args,
    apply: &Apply,
) -> Result<(), CommandError> {
    let config = files::read(&apply.files)?;
    let chunked = ChunkedConfig::from_config(&config)?;
    let platform = store::platform(args)?;
    let current = store::head(&platform).await?;
    check_base(apply, current.as_ref())?;
    let last = current.as_ref().map_or(0, |stored| stored.head.version);
    let nonce = rand::random();
    let head = chunked.head(last + 1, &apply.operator, nonce);
    let is_new = !current.as_ref().is_some_and(|s| is_same(&s.head, &head));
    let mut applied = ApplyReport {
        version: last,
        is_new,
        chunks_written: 0,
        bytes_written: 0,
        in_force_after_ms: None,
    };
    if is_new {
        write_chunks(&platform, &chunked, current.as_ref(), &mut applied)
            .await?;
        let written = write_head(&platform, &head, current.as_ref()).await;
        if let Err(CommandError::VersionConflict(..)) = &written {
            print_conflict(&platform, &config).await?;
        }
        written?;
        applied.version = head.version;
    }
    let accepted = Instant::now();
    if apply.wait {
        let within = Duration::from_secs(apply.wait_s);
        wait_until_in_force(args, applied.version, within).await?;
        let took = accepted.elapsed().as_millis() as u64;
        applied.in_force_after_ms = Some(took);
    }
    print(&applied, args.output)
}

fn check_base(
    apply: &Apply,
    current: Option<&StoredHead>,
) -> Result<(), CommandError> {
    let Some(base) = apply.base_version else { return Ok(()) };
    let version = current.map_or(0, |stored| stored.head.version);
    if version == base {
        return Ok(());
    }
    let by = current.map_or(String::new(), |s| s.head.applied_by.clone());
    Err(CommandError::VersionConflict(version, by))
}

fn is_same(a: &ConfigHead, b: &ConfigHead) -> bool {
    a.base == b.base && a.adapters == b.adapters
}

async fn write_chunks(
    platform: &PlatformClient,
    chunked: &ChunkedConfig,
    current: Option<&StoredHead>,
    applied: &mut ApplyReport,
) -> Result<(), CommandError> {
    for chunk in chunked.chunks() {
        let is_stored = current
            .is_some_and(|s| s.head.chunks().any(|hash| *hash == chunk.hash));
        if is_stored {
            continue;
        }
        write_chunk(platform, &chunk.hash, &chunk.content).await?;
        applied.chunks_written += 1;
        applied.bytes_written += chunk.content.len();
    }
    Ok(())
}

async fn write_chunk(
    platform: &PlatformClient,
    hash: &str,
    content: &[u8],
) -> Result<(), CommandError> {
    for _ in 0..MAX_WRITE_ATTEMPTS {
        let key = chunk_key(hash);
        match platform.put(&key, content.to_vec(), None).await {
            // On a conflict the chunk exists already. Its name is the hash of
            // its content, so the content is the same.
            WriteAnswer::Done(_) | WriteAnswer::Conflict => return Ok(()),
            WriteAnswer::Unclear => compio::time::sleep(RETRY_DELAY).await,
        }
    }
    Err(CommandError::OutcomeUnknown)
}

async fn write_head(
    platform: &PlatformClient,
    head: &ConfigHead,
    current: Option<&StoredHead>,
) -> Result<(), CommandError> {
    let expected = current.map(|stored| stored.object_version);
    let value = serde_json::to_vec(head)
        .map_err(|err| CommandError::Output(err.to_string()))?;
    for _ in 0..MAX_WRITE_ATTEMPTS {
        let answer =
            platform.put(CONFIG_HEAD_KEY, value.clone(), expected).await;
        if let WriteAnswer::Done(_) = answer {
            return Ok(());
        }
        // The conflict may be with this command's own earlier update, whose
        // response was lost; the nonce shows whether it is.
        match store::head(platform).await {
            Ok(Some(stored)) if stored.head.nonce == head.nonce => {
                return Ok(());
            }
            Ok(Some(stored)) if answer == WriteAnswer::Conflict => {
                let StoredHead { head, .. } = stored;
                return Err(CommandError::VersionConflict(
                    head.version,
                    head.applied_by,
                ));
            }
            _ => compio::time::sleep(RETRY_DELAY).await,
        }
    }
    Err(CommandError::OutcomeUnknown)
}

async fn print_conflict(
    platform: &PlatformClient,
    local: &sedgewall_state::config::Config,
) -> Result<(), CommandError> {
    let Some(stored) = store::head(platform).await? else { return Ok(()) };
    let in_force = store::config(platform, &stored.head).await?;
    for difference in difference::between(&in_force, local) {
        eprintln!("{:?} {}", difference.change, difference.item);
    }
    Ok(())
}

async fn wait_until_in_force(
    args: &Args,
    version: ConfigVersion,
    within: Duration,
) -> Result<(), CommandError> {
    let until = Instant::now() + within;
    loop {
        let statuses = cluster::statuses(args).await?;
        let missing: Vec<String> = statuses
            .iter()
            .filter(|status| {
                status.status.as_ref().is_none_or(|status| {
                    status.config_version < version && !status.is_leaving
                })
            })
            .map(|status| status.name.clone())
            .collect();
        if missing.is_empty() {
            return Ok(());
        }
        if Instant::now() >= until {
            let missing = missing.join(", ");
            return Err(CommandError::NotYetInForce { version, missing });
        }
        compio::time::sleep(POLL_INTERVAL).await;
    }
}

fn print(applied: &ApplyReport, format: Format) -> Result<(), CommandError> {
    if format == Format::Json {
        return output::json(applied);
    }
    let mut text = match applied.is_new {
        true => format!(
            "version {} accepted; {} chunks, {} bytes written",
            applied.version, applied.chunks_written, applied.bytes_written
        ),
        false => format!(
            "version {} already has this configuration",
            applied.version
        ),
    };
    if let Some(ms) = applied.in_force_after_ms {
        text.push_str(&format!("; in force everywhere after {ms} ms"));
    }
    output::line(&text)
}
