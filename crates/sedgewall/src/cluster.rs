//! Queries of the instances' operator ports.

use std::time::Duration;

use http::{Method, StatusCode};
use sedgewall_coordination::membership::{ListedState, OWN_GROUP};
use sedgewall_protocol::operator::{InstanceStatus, STATUS_PATH};
use sedgewall_transport::{
    HttpClient,
    client::{BufferedResponse, Call},
    platform_client::WatchOutcome,
};
use serde::de::DeserializeOwned;

use crate::{args::Args, error::CommandError, store};

/// The timeout of one call to an instance.
const INSTANCE_TIMEOUT: Duration = Duration::from_secs(2);

/// An instance and the address of its operator port. An instance given by
/// `--instance` has its address as its name.
#[derive(Clone, Debug)]
pub(crate) struct Member {
    pub(crate) name: String,
    pub(crate) address: String,
}

/// An instance and its status, which is `None` if the call for it failed.
#[derive(Clone, Debug)]
pub(crate) struct MemberStatus {
    pub(crate) name: String,
    pub(crate) status: Option<InstanceStatus>,
}

/// Returns the instances given by `--instance`, or else the live sedgewall
/// instances of the platform's list that have an operator address.
pub(crate) async fn members(args: &Args) -> Result<Vec<Member>, CommandError> {
    if !args.instances.is_empty() {
        let named = args.instances.iter().map(|address| Member {
            name: address.clone(),
            address: address.clone(),
        });
        return Ok(named.collect());
    }
    let platform = store::platform(args)?;
    let listed = platform.watch_instances(0, Duration::ZERO).await?;
    let WatchOutcome::Changed(list) = listed else { return Ok(Vec::new()) };
    let members = list
        .instances
        .into_iter()
        .filter(|instance| instance.group == OWN_GROUP)
        .filter(|instance| instance.state == ListedState::Live)
        .filter_map(|instance| {
            let address = instance.operator_address?;
            Some(Member { name: instance.id, address })
        });
    Ok(members.collect())
}

/// Requests the status of all instances that [`members`] returns, at once.
pub(crate) async fn statuses(
    args: &Args,
) -> Result<Vec<MemberStatus>, CommandError> {
    let members = members(args).await?;
    let asked = members.iter().map(|member| async move {
        let status = get(&member.address, STATUS_PATH).await.ok();
        MemberStatus { name: member.name.clone(), status }
    });
    Ok(futures_util::future::join_all(asked).await)
}

/// Requests a JSON document from the instance at `address`.
pub(crate) async fn get<T: DeserializeOwned>(
    address: &str,
    path: &str,
) -> Result<T, CommandError> {
    let answer = call(address, path, Method::GET).await?;
    serde_json::from_slice(&answer.body).map_err(|err| {
        let target = address.to_owned();
        CommandError::Instance { target, cause: err.to_string() }
    })
}

/// Sends a request without a body to the instance at `address`. A status other
/// than 200 or 202 is an error.
pub(crate) async fn call(
    address: &str,
    path: &str,
    method: Method,
) -> Result<BufferedResponse, CommandError> {
    let fail = |cause: String| CommandError::Instance {
        target: address.to_owned(),
        cause,
    };
    let http = HttpClient::new().map_err(CommandError::Http)?;
    let url = format!("http://{address}{path}");
    let answer = http
        .call(Call::new(method, url), INSTANCE_TIMEOUT)
        .await
        .map_err(|err| CommandError::Unreachable {
            target: address.to_owned(),
            cause: err.to_string(),
        })?;
    match answer.status {
        StatusCode::OK | StatusCode::ACCEPTED => Ok(answer),
        status => {
            let body = String::from_utf8_lossy(&answer.body);
            Err(fail(format!("{status}: {body}")))
        }
    }
}
