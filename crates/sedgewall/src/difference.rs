//! `sedgewall diff`: the differences between two configurations.

use std::collections::{BTreeMap, BTreeSet};

use sedgewall_state::config::Config;
use serde::Serialize;
use serde_json::Value;

use crate::{
    args::{Args, Files, Format},
    error::CommandError,
    files, output, store,
};

/// The kind of difference of one item.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Change {
    Added,
    Removed,
    Changed,
}

/// One item that differs between two configurations.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Difference {
    pub(crate) change: Change,
    /// The section and name of the item, such as `adapters.lineup-0042`.
    pub(crate) item: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) before: Option<Value>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) after: Option<Value>,
}

/// The number of differences printed as text; the rest is only counted.
const MAX_PRINTED_DIFFERENCES: usize = 50;

/// Compares files with the configuration in force, and returns
/// [`CommandError::Differs`] if they differ.
pub(crate) async fn run(
    args: &Args,
    paths: &Files,
) -> Result<(), CommandError> {
    let after = files::read(paths)?;
    let platform = store::platform(args)?;
    let before = match store::head(&platform).await? {
        Some(stored) => store::config(&platform, &stored.head).await?,
        None => Config::default(),
    };
    let differences = between(&before, &after);
    print(&differences, args.output)?;
    if differences.is_empty() {
        return Ok(());
    }
    Err(CommandError::Differs)
}

/// Returns all items that differ, sorted by name.
pub(crate) fn between(before: &Config, after: &Config) -> Vec<Difference> {
    let before = items(before);
    let after = items(after);
    let names: BTreeSet<&String> = before.keys().chain(after.keys()).collect();
    names
        .into_iter()
        .filter_map(|name| {
            let (old, new) = (before.get(name), after.get(name));
            let change = match (old, new) {
                (None, Some(_)) => Change::Added,
                (Some(_), None) => Change::Removed,
                (old, new) if old != new => Change::Changed,
                _ => return None,
            };
            Some(Difference {
                change,
                item: name.clone(),
                before: old.cloned(),
                after: new.cloned(),
            })
        })
        .collect()
}

/// Prints differences, as text only the first
/// [`MAX_PRINTED_DIFFERENCES`].
pub(crate) fn print(
    differences: &[Difference],
    format: Format,
) -> Result<(), CommandError> {
    if format == Format::Json {
        return output::json(&differences);
    }
    for difference in differences.iter().take(MAX_PRINTED_DIFFERENCES) {
        let text = |value: &Option<Value>| {
            value.as_ref().map_or(String::new(), Value::to_string)
        };
        let line = match difference.change {
            Change::Added => {
                format!("+ {} {}", difference.item, text(&difference.after))
            }
            Change::Removed => {
                format!("- {} {}", difference.item, text(&difference.before))
            }
            Change::Changed => format!(
                "~ {} {} -> {}",
                difference.item,
                text(&difference.before),
                text(&difference.after)
            ),
        };
        output::line(&line)?;
    }
    if differences.len() > MAX_PRINTED_DIFFERENCES {
        let more = differences.len() - MAX_PRINTED_DIFFERENCES;
        output::line(&format!(
            "{more} more not shown; use --output json for all"
        ))?;
    }
    if differences.is_empty() {
        output::line("no differences")?;
    }
    Ok(())
}

/// Returns all items of a configuration by section and name. Items of a list
/// that have no name go by their index.
fn items(config: &Config) -> BTreeMap<String, Value> {
    let mut items = BTreeMap::new();
    let Ok(Value::Object(sections)) = serde_json::to_value(config) else {
        return items;
    };
    for (section, value) in sections {
        match value {
            Value::Array(list) => {
                for (idx, item) in list.into_iter().enumerate() {
                    let name = item.get("name").and_then(Value::as_str);
                    let name = name.map_or(idx.to_string(), str::to_owned);
                    items.insert(format!("{section}.{name}"), item);
                }
            }
            other => {
                items.insert(section, other);
            }
        }
    }
    items
}
