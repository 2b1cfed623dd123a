//! The commands that call the instances' operator ports: `status`, `timeline`
//! and `explain`, which show the state of the instances, and `drain`, which
//! stops one.

use std::{collections::BTreeMap, time::SystemTime};

use http::Method;
use sedgewall_coordination::timeline::{Event, merge, unix_ms};
use sedgewall_protocol::operator::{
    AdapterExplanation, DRAIN_PATH, EXPLAIN_PATH, InstanceStatus, LOOP_PATH,
    LoopStatus, ShardStatus, TIMELINE_PATH,
};
use sedgewall_state::RequestId;
use serde::Serialize;

use crate::{
    args::{Args, DrainTarget, ExplainTarget, Filter, Format},
    cluster,
    error::CommandError,
    output,
};

#[derive(Serialize)]
struct ClusterStatus {
    instances: Vec<InstanceStatus>,
    /// The names of the instances from which no status could be read.
    silent: Vec<String>,
}

/// Prints the status of all instances, leaders and engines.
pub(crate) async fn status(args: &Args) -> Result<(), CommandError> {
    let mut found = ClusterStatus { instances: vec![], silent: vec![] };
    for member in cluster::statuses(args).await? {
        match member.status {
            Some(status) => found.instances.push(status),
            None => found.silent.push(member.name),
        }
    }
    if args.output == Format::Json {
        return output::json(&found);
    }
    output::line(
        "INSTANCE          ZONE        CONFIG  STATE     REQUESTS  \
         PEERS  MEMORY",
    )?;
    for status in &found.instances {
        output::line(&instance_line(status))?;
    }
    for name in &found.silent {
        output::line(&format!("{name:<17} does not answer"))?;
    }
    for status in &found.instances {
        for shard in &status.led_shards {
            print_shard(&status.instance, shard)?;
        }
    }
    Ok(())
}

fn instance_line(status: &InstanceStatus) -> String {
    let state = match (status.is_leaving, status.is_ready) {
        (true, _) => "leaving",
        (_, true) => "ready",
        _ => "starting",
    };
    let reach = if status.is_platform_reached { "" } else { ", no platform" };
    format!(
        "{:<17} {:<11} {:<7} {state:<9} {:<9} {:<6} {} MB{reach}",
        status.instance,
        status.zone,
        status.config_version,
        status.requests_len,
        status.live_peers.len(),
        status.resident_bytes >> 20,
    )
}

fn print_shard(
    instance: &str,
    shard: &ShardStatus,
) -> Result<(), CommandError> {
    output::line("")?;
    output::line(&format!(
        "shard {}: led by {instance} in epoch {}, {} waiting, {} running, \
         {} loads",
        shard.shard,
        shard.epoch,
        shard.waiting_len,
        shard.granted_len,
        shard.loads_in_flight
    ))?;
    for engine in &shard.engines {
        output::line(&format!(
            "  {:<14} {:<10} {:>3}/{:<3} {}",
            engine.endpoint,
            engine.health,
            engine.running_len,
            engine.seats,
            engine.adapters.join(" ")
        ))?;
    }
    Ok(())
}

/// Prints the merged events of all instances, causes before their effects.
pub(crate) async fn timeline(
    args: &Args,
    filter: &Filter,
) -> Result<(), CommandError> {
    let mut timelines = Vec::new();
    for member in cluster::members(args).await? {
        let events: Result<Vec<Event>, _> =
            cluster::get(&member.address, TIMELINE_PATH).await;
        match events {
            Ok(events) => timelines.push(events),
            Err(err) => eprintln!("sedgewall: {}: {err}", member.name),
        }
    }
    let events: Vec<Event> = merge(timelines)
        .into_iter()
        .filter(|event| is_shown(filter, event))
        .collect();
    if args.output == Format::Json {
        return output::json(&events);
    }
    for event in &events {
        output::line(&event_line(event))?;
    }
    Ok(())
}

fn is_shown(filter: &Filter, event: &Event) -> bool {
    let request = event.request.map(|id| {
        let hex = format!("{id:032x}");
        format!("{hex} {}", shortened(id))
    });
    let kind = kind_name(event);
    let after_ms = filter
        .last_s
        .map(|secs| unix_ms(SystemTime::now()).saturating_sub(secs * 1_000));
    let is_match = |wanted: &Option<String>, found: &str| {
        wanted.as_ref().is_none_or(|wanted| found.contains(wanted.as_str()))
    };
    is_match(&filter.request, request.as_deref().unwrap_or(""))
        && is_match(&filter.subject, &event.subject)
        && is_match(&filter.endpoint, &event.endpoint)
        && filter.kind.as_ref().is_none_or(|wanted| *wanted == kind)
        && after_ms.is_none_or(|after| event.stamp.wall_ms >= after)
}

fn kind_name(event: &Event) -> String {
    serde_json::to_value(event.kind)
        .ok()
        .and_then(|value| value.as_str().map(str::to_owned))
        .unwrap_or_default()
}

/// Returns the first four digits of a request's id, `~`, and the low 64 bits
/// of the id.
fn shortened(id: RequestId) -> String {
    let hex = format!("{id:032x}");
    format!("{}~{:x}", &hex[..4], id as u64)
}

fn event_line(event: &Event) -> String {
    let request = event
        .request
        .map_or(String::new(), |id| format!("{} ", shortened(id)));
    let stamp = event.stamp;
    let time = format!(
        "{}.{:03}+{}",
        stamp.wall_ms / 1_000,
        stamp.wall_ms % 1_000,
        stamp.count
    );
    format!(
        "{time:<18} {:<16} {:<11} {request}{} {} {}",
        event.instance,
        kind_name(event),
        event.subject,
        event.endpoint,
        event.detail
    )
}

/// The subject of `explain` that stands for the event loops of the instances.
const LOOP_SUBJECT: &str = "loop";

/// Prints why an adapter is placed where it is, why instances are late, or the
/// events of a request.
///
/// An adapter is given as `name@version`, and the event loops of the instances
/// as `loop`; anything else is a request's id or a part of it.
pub(crate) async fn explain(
    args: &Args,
    target: &ExplainTarget,
) -> Result<(), CommandError> {
    if target.subject == LOOP_SUBJECT {
        return explain_loops(args).await;
    }
    if !target.subject.contains('@') {
        let filter = Filter {
            request: Some(target.subject.clone()),
            subject: None,
            endpoint: None,
            kind: None,
            last_s: None,
        };
        return timeline(args, &filter).await;
    }
    let path = format!("{EXPLAIN_PATH}?adapter={}", target.subject);
    let mut unreachable = Vec::new();
    for member in cluster::members(args).await? {
        let found: Result<AdapterExplanation, _> =
            cluster::get(&member.address, &path).await;
        match found {
            Ok(found) => {
                return print_explanation(&found, &member.name, args.output);
            }
            Err(CommandError::Unreachable { .. }) => {
                unreachable.push(member.name);
            }
            Err(_) => {}
        }
    }
    let cause = match unreachable.is_empty() {
        true => "no instance leads its shard, or the adapter does not exist"
            .to_owned(),
        false => format!(
            "no instance that answered leads its shard; no answer from: {}",
            unreachable.join(", ")
        ),
    };
    let target = target.subject.clone();
    Err(CommandError::Instance { target, cause })
}

/// Prints how late the event loop of each instance is, and which work makes it
/// late.
async fn explain_loops(args: &Args) -> Result<(), CommandError> {
    let mut loops = Vec::new();
    for member in cluster::members(args).await? {
        let status: LoopStatus =
            cluster::get(&member.address, LOOP_PATH).await?;
        loops.push((member.name, status));
    }
    if args.output == Format::Json {
        let loops: BTreeMap<String, LoopStatus> = loops.into_iter().collect();
        return output::json(&loops);
    }
    for (name, status) in &loops {
        output::line(&format!(
            "{name}: delay {:.1} ms, at most {:.1} ms in the last 10 s; \
             longest turn {:.1} ms, {:.1} ms of it for {}; {} open requests, \
             {} not begun",
            status.delay_ms,
            status.max_delay_ms,
            status.longest_turn_ms,
            status.longest_work_ms,
            status.longest_work.as_deref().unwrap_or("nothing"),
            status.open_requests,
            status.waiting_requests,
        ))?;
        for work in &status.work {
            output::line(&format!(
                "  {}: {:.0} ms since the start, {:.1} ms at most at once",
                work.name, work.total_ms, work.longest_ms,
            ))?;
        }
    }
    Ok(())
}

fn print_explanation(
    found: &AdapterExplanation,
    leader: &str,
    format: Format,
) -> Result<(), CommandError> {
    if format == Format::Json {
        return output::json(found);
    }
    let list = |names: &[String]| match names.is_empty() {
        true => "none".to_owned(),
        false => names.join(", "),
    };
    output::line(&format!(
        "{} in shard {}, led by {leader}\n  ready on: {}\n  loading on: \
         {}\n  waiting: {}\n  expected: {:.3} requests a second\n  failed \
         loads in a row: {}\n  next: {}",
        found.adapter,
        found.shard,
        list(&found.ready_on),
        list(&found.loading_on),
        found.waiting_len,
        found.rate_per_s,
        found.load_failures,
        found.next
    ))
}

/// Tells an instance to finish its requests and stop.
pub(crate) async fn drain(
    args: &Args,
    target: &DrainTarget,
) -> Result<(), CommandError> {
    let members = cluster::members(args).await?;
    let member = members.iter().find(|member| member.name == target.instance);
    let member = member.ok_or_else(|| CommandError::Instance {
        target: target.instance.clone(),
        cause: "the platform lists no live instance of this name".to_owned(),
    })?;
    cluster::call(&member.address, DRAIN_PATH, Method::POST).await?;
    output::line(&format!("{} is stopping", member.name))
}
