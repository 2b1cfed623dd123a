//! The configuration as stored in the platform's object API.

use std::{collections::BTreeMap, time::Duration};

use sedgewall_coordination::{
    config_version::{ConfigHead, assemble},
    lease::ObjectVersion,
};
use sedgewall_protocol::{
    file,
    platform::{CONFIG_HEAD_KEY, chunk_key},
};
use sedgewall_state::config::Config;
use sedgewall_transport::{
    HttpClient, PlatformClient, PlatformError, platform_client::StoredObject,
};

use crate::{
    args::{Args, Format},
    error::CommandError,
    output,
};

/// The head of the configuration in force, with the platform's version of the
/// object that holds it.
#[derive(Clone, Debug)]
pub(crate) struct StoredHead {
    pub(crate) head: ConfigHead,
    pub(crate) object_version: ObjectVersion,
}

/// Returns a client of the platform given by the arguments.
pub(crate) fn platform(args: &Args) -> Result<PlatformClient, CommandError> {
    let http = HttpClient::new().map_err(CommandError::Http)?;
    Ok(PlatformClient::new(http, &args.platform))
}

/// Reads the head of the configuration in force. Returns `None` before the
/// first apply.
pub(crate) async fn head(
    platform: &PlatformClient,
) -> Result<Option<StoredHead>, CommandError> {
    let Some(object) = read(platform, CONFIG_HEAD_KEY).await? else {
        return Ok(None);
    };
    let head = serde_json::from_slice(&object.value)
        .map_err(|err| PlatformError::Unreadable(err.to_string()))?;
    Ok(Some(StoredHead { head, object_version: object.version }))
}

/// Reads all chunks of a head and assembles its configuration.
pub(crate) async fn config(
    platform: &PlatformClient,
    head: &ConfigHead,
) -> Result<Config, CommandError> {
    let mut chunks = BTreeMap::new();
    for hash in head.chunks() {
        if let Some(object) = read(platform, &chunk_key(hash)).await? {
            chunks.insert(hash.clone(), object.value);
        }
    }
    Ok(assemble(head, &chunks)?)
}

/// Reads an object, and retries if the platform rejects the read because of
/// its rate limit.
async fn read(
    platform: &PlatformClient,
    key: &str,
) -> Result<Option<StoredObject>, CommandError> {
    let mut retries = 0;
    loop {
        match platform.get(key).await {
            Err(PlatformError::Status(TOO_MANY_REQUESTS))
                if retries < MAX_READ_RETRIES =>
            {
                retries += 1;
                compio::time::sleep(READ_RETRY_DELAY * retries).await;
            }
            answer => return Ok(answer?),
        }
    }
}

/// The status of a call beyond the platform's rate limits (RFC 6585).
const TOO_MANY_REQUESTS: u16 = 429;

const MAX_READ_RETRIES: u32 = 5;

const READ_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Prints the configuration in force.
pub(crate) async fn print(args: &Args) -> Result<(), CommandError> {
    let platform = platform(args)?;
    let stored = head(&platform).await?.ok_or(CommandError::NoConfig)?;
    let config = config(&platform, &stored.head).await?;
    if args.output == Format::Json {
        return output::json(&config);
    }
    output::line(&format!(
        "# version {}, applied by {}",
        stored.head.version, stored.head.applied_by
    ))?;
    output::line(&file::to_yaml(&config)?)
}
