//! The commands `poison list` and `poison release`: requests, and parts of
//! prompts, that are refused because they crash endpoints.

use std::{collections::BTreeMap, time::Duration};

use http::Method;
use sedgewall_protocol::operator::{POISON_PATH, PoisonFeature};
use serde::Serialize;

use crate::{
    args::{Args, Format, PoisonTarget},
    cluster,
    error::CommandError,
    output,
};

/// A condemned feature, and the instances that refuse requests with it.
#[derive(Serialize)]
struct Listed {
    #[serde(flatten)]
    feature: PoisonFeature,
    instances: Vec<String>,
}

/// Prints what the instances refuse because it crashes endpoints.
pub(crate) async fn list(args: &Args) -> Result<(), CommandError> {
    let listed = query(args).await?;
    if args.output == Format::Json {
        return output::json(&listed);
    }
    if listed.is_empty() {
        return output::line(
            "nothing is refused because it crashes endpoints",
        );
    }
    for Listed { feature, instances } in &listed {
        let what = match &feature.part {
            Some(part) => format!("part {part}"),
            None => "request".to_owned(),
        };
        let seconds = |ms| Duration::from_millis(ms).as_secs();
        output::line(&format!(
            "{} {what}: crashed {}; condemned {} s ago, released in {} s; \
             refused at {}",
            feature.digest,
            feature.endpoints.join(" "),
            seconds(feature.condemned_ms_ago),
            seconds(feature.released_in_ms),
            instances.join(" "),
        ))?;
    }
    Ok(())
}

/// Releases what a digest or the id of a part names, at all instances.
pub(crate) async fn release(
    args: &Args,
    target: &PoisonTarget,
) -> Result<(), CommandError> {
    let wanted = &target.digest_or_part;
    let mut released = Vec::new();
    for member in cluster::members(args).await? {
        let known: Vec<PoisonFeature> =
            cluster::get(&member.address, POISON_PATH).await?;
        let named = known.into_iter().filter(|feature| {
            feature.digest == *wanted || feature.part.as_ref() == Some(wanted)
        });
        for feature in named {
            let digest = feature.digest;
            if released.contains(&digest) {
                continue;
            }
            let path = format!("{POISON_PATH}/{digest}");
            cluster::call(&member.address, &path, Method::POST).await?;
            released.push(digest);
        }
    }
    if released.is_empty() {
        return Err(CommandError::Instance {
            target: wanted.clone(),
            cause: "no queried instance refuses it because it crashes \
                    endpoints"
                .to_owned(),
        });
    }
    for digest in released {
        output::line(&format!("{digest} is released"))?;
    }
    Ok(())
}

async fn query(args: &Args) -> Result<Vec<Listed>, CommandError> {
    let mut by_digest: BTreeMap<String, Listed> = BTreeMap::new();
    for member in cluster::members(args).await? {
        let known: Vec<PoisonFeature> =
            cluster::get(&member.address, POISON_PATH).await?;
        for feature in known {
            let digest = feature.digest.clone();
            let listed = by_digest.entry(digest).or_insert_with(|| Listed {
                feature: feature.clone(),
                instances: Vec::new(),
            });
            if listed.feature.part.is_none() {
                listed.feature.part = feature.part;
            }
            listed.instances.push(member.name.clone());
        }
    }
    Ok(by_digest.into_values().collect())
}
