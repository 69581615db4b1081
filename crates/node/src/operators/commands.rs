//! Operators' commands: a change is applied to the configuration in force, validated and proposed to the log.

use super::{
    capacity::{is_breach, Capacity},
    fan_out, node_name, refusal, RpcResult,
};
use crate::{
    log_thread::Command as LogCommand,
    shared::{ActiveConfig, Shared},
};
use redwingtrestle_core::{
    codes::ResultCode,
    ids::{DataCentre, RankName, ServerAddr, ServiceName, Version},
    time::Span,
    version::{
        config_state::{RequestId, Verdict},
        proposer::ProposalOutcome,
        spec::{RankSpec, ServiceSpec, Spec},
    },
};
use redwingtrestle_wire::{
    config::ConfigDoc,
    diff, log as wire_log,
    query::{
        ChangeLine, Command, CommandRequest, CommandResponse, Coverage, Direction, FloorRow, Place,
        Query, QueryResponse,
    },
};
use std::{sync::Arc, time::Duration};
use tokio::sync::oneshot;

/// The timeout for the log's verdict. `redwingctl` waits 10 s for a node, and the queries to the other nodes
/// may take 1 s of that.
const VERDICT_TIMEOUT: Duration = Duration::from_secs(8);

/// The valid result of applying a command to the configuration in force.
struct Change {
    spec: Spec,
    lines: Vec<ChangeLine>,
    floors: Vec<FloorRow>,
    coverage: Coverage,
}

/// Executes a command, or only validates it in a dry run.
pub(super) async fn execute(
    shared: &Arc<Shared>,
    request: CommandRequest,
) -> RpcResult<CommandResponse> {
    let id = wire_log::parse_request_id(&request.request_id)
        .map_err(|e| refusal(ResultCode::BadQuery, &e.to_string()))?;
    let name = command_name(&request.command);
    let mut response = CommandResponse {
        node: node_name(shared.id.addr),
        code: 0,
        message: String::new(),
        version: None,
        dry_run: request.dry_run,
        change: Vec::new(),
        floors: Vec::new(),
        coverage: Coverage { answered: vec![node_name(shared.id.addr)], missing: Vec::new() },
    };
    let (code, message) = run(shared, request, id, &mut response).await?;
    response.code = code.number();
    response.message = message;
    log::info!(
        command = name, request:% = id, code = response.code, dry_run = response.dry_run;
        "operator's command answered"
    );
    Ok(response)
}

/// The code and message of the response to a command.
type CommandResult = (ResultCode, String);

async fn run(
    shared: &Arc<Shared>,
    request: CommandRequest,
    id: RequestId,
    response: &mut CommandResponse,
) -> RpcResult<CommandResult> {
    let active = shared.active.load_full();
    let in_force = active.as_ref().map_or(0, |a| a.version.0);
    response.version = Some(in_force);
    if let Some(result) = earlier_result(shared, id, response) {
        return Ok(result);
    }
    if request.base != in_force {
        let base = request.base;
        let what = format!("the change is based on version {base}, in force is {in_force}");
        return Ok((ResultCode::Conflict, what));
    }
    let change = match validate(shared, active.as_deref(), request.command).await {
        Ok(change) => change,
        Err(what) => return Ok((ResultCode::Invalid, what)),
    };
    let Change { spec, lines, floors, coverage } = change;
    (response.change, response.coverage) = (lines, coverage);
    let empty = Spec::default();
    let old = active.as_ref().map_or(&empty, |a| &*a.spec);
    let breach = floors.iter().find(|row| is_breach(old, row)).map(breach_message);
    response.floors = floors;
    if let Some(what) = breach {
        return Ok((ResultCode::FloorBreach, what));
    }
    if request.dry_run {
        return Ok((ResultCode::Accepted, "the change is valid; nothing was changed".into()));
    }
    propose(shared, id, Version(request.base), spec, response).await
}

/// Returns the result of an earlier copy of the command, as the reply to that copy may have been lost.
fn earlier_result(
    shared: &Shared,
    id: RequestId,
    response: &mut CommandResponse,
) -> Option<CommandResult> {
    let log_view = shared.log_view.load();
    let seen = *log_view.state.as_ref()?.proposal_verdicts.get(&id)?;
    Some(match seen.verdict {
        Verdict::Accepted => {
            command_result(ProposalOutcome::Accepted(Version(seen.offset)), response)
        }
        Verdict::Conflict { in_force } => {
            command_result(ProposalOutcome::Conflict(in_force), response)
        }
        Verdict::Invalid => command_result(ProposalOutcome::Invalid, response),
        _ => command_result(ProposalOutcome::Unknown, response),
    })
}

async fn propose(
    shared: &Shared,
    request_id: RequestId,
    base: Version,
    spec: Spec,
    response: &mut CommandResponse,
) -> RpcResult<CommandResult> {
    let (reply, receiver) = oneshot::channel();
    let command = LogCommand::Propose { request_id, base, spec: Arc::new(spec), reply };
    if shared.commands.try_push(command).is_err() {
        return Err(refusal(ResultCode::NotReady, "the node has too much work for the log"));
    }
    let outcome = tokio::time::timeout(VERDICT_TIMEOUT, receiver).await;
    let outcome = outcome.ok().and_then(Result::ok).unwrap_or(ProposalOutcome::Unknown);
    let mut result = command_result(outcome, response);
    if outcome == ProposalOutcome::Unknown && shared.log_view.load().in_gap {
        result.1 =
            "the log has dropped records that this node has not read, so it cannot judge the \
                  change; see \"records dropped unread\" in OPERATIONS.md"
                .into();
    }
    Ok(result)
}

fn command_result(outcome: ProposalOutcome, response: &mut CommandResponse) -> CommandResult {
    let what = match outcome {
        ProposalOutcome::Accepted(version) => {
            response.version = Some(version.0);
            format!("the change is in force as version {version}")
        }
        ProposalOutcome::Conflict(version) => {
            response.version = Some(version.0);
            format!("another change came first; version {version} is in force")
        }
        ProposalOutcome::Invalid => "the configuration is not valid".into(),
        ProposalOutcome::Unknown => {
            "the log did not answer in time; the change may still take effect, see show versions"
                .into()
        }
    };
    (outcome.code(), what)
}

fn breach_message(row: &FloorRow) -> String {
    let FloorRow { service, floor_after, capacity_before, capacity_after, .. } = row;
    format!(
        "{service} would have {capacity_after} healthy slots (now {capacity_before}), below its floor \
         of {floor_after}"
    )
}

async fn validate(
    shared: &Shared,
    active: Option<&ActiveConfig>,
    command: Command,
) -> Result<Change, String> {
    let old = active.map_or_else(Spec::default, |a| (*a.spec).clone());
    let spec = apply(&old, command, active.is_some())?;
    let faults: Vec<String> = spec.faults().iter().map(ToString::to_string).collect();
    if !faults.is_empty() {
        return Err(faults.join("; "));
    }
    let lines = diff::diff(&ConfigDoc::from(&old), &ConfigDoc::from(&spec));
    let lines = lines.map_err(|e| e.to_string())?;
    let (ejected, coverage) =
        match fan_out::query_fleet(shared, &Query::Ejected { service: None }).await {
            QueryResponse::Ejected(rows) => (rows.rows, rows.coverage),
            _ => (Vec::new(), Coverage::default()),
        };
    let view = shared.view.load();
    let floors = Capacity::new(&view, &ejected).floor_rows(&old, &spec);
    Ok(Change { spec, lines, floors, coverage })
}

/// Applies a command to a copy of the configuration and returns it.
fn apply(old: &Spec, command: Command, has_config: bool) -> Result<Spec, String> {
    if !has_config && !matches!(command, Command::Publish { .. }) {
        return Err("no configuration is in force yet; publish one first".into());
    }
    let mut spec = old.clone();
    match command {
        Command::SetFloor { service, floor, direction } => {
            let service = find_service(&mut spec, &service)?;
            let now = service.floor;
            match direction {
                Direction::Raise if floor < now => {
                    return Err(format!("the floor is {now}; {floor} would lower it"));
                }
                Direction::Lower if floor > now => {
                    return Err(format!("the floor is {now}; {floor} would raise it"));
                }
                _ => service.floor = floor,
            }
        }
        Command::SetTarget { service, rank, target_ms } => {
            find_rank(&mut spec, &service, &rank)?.target = Span::from_millis(target_ms);
        }
        Command::SetShare { service, rank, share } => {
            find_rank(&mut spec, &service, &rank)?.share = share;
        }
        Command::SetObjective { service, rank, objective } => {
            find_rank(&mut spec, &service, &rank)?.objective = objective;
        }
        Command::Drain { place } => drain(&mut spec, place)?,
        Command::Undrain { place } => undrain(&mut spec, &place)?,
        Command::Publish { doc } => spec = Spec::from(doc),
    }
    Ok(spec)
}

fn find_service<'a>(spec: &'a mut Spec, name: &str) -> Result<&'a mut ServiceSpec, String> {
    let missing = || format!("the service {name:?} is not declared");
    spec.services.get_mut(&ServiceName::from(name)).ok_or_else(missing)
}

fn find_rank<'a>(
    spec: &'a mut Spec,
    service: &str,
    rank: &str,
) -> Result<&'a mut RankSpec, String> {
    let name = RankName::from(rank);
    let missing = || format!("{rank:?} is not a rank of {service:?}");
    find_service(spec, service)?.ranks.iter_mut().find(|r| r.name == name).ok_or_else(missing)
}

fn drain(spec: &mut Spec, place: Place) -> Result<(), String> {
    let text = place_name(&place);
    let before = spec.drains.clone();
    let servers = || spec.services.values().flat_map(|s| &s.servers);
    let known = match &place {
        Place::Server(addr) => servers().any(|s| s.addr.0 == *addr),
        Place::Vm(ip) => servers().any(|s| s.addr.vm() == *ip),
        Place::DataCentre(name) => servers().any(|s| s.data_centre.as_str() == name),
    };
    if !known {
        return Err(format!("no declared backend server is at {text}"));
    }
    match place {
        Place::Server(addr) => spec.drains.servers.insert(ServerAddr(addr)),
        Place::Vm(ip) => spec.drains.vms.insert(ip),
        Place::DataCentre(name) => spec.drains.data_centres.insert(DataCentre::from(&*name)),
    };
    if spec.drains == before {
        return Err(format!("{text} is drained already"));
    }
    Ok(())
}

fn undrain(spec: &mut Spec, place: &Place) -> Result<(), String> {
    let removed = match place {
        Place::Server(addr) => spec.drains.servers.remove(&ServerAddr(*addr)),
        Place::Vm(ip) => spec.drains.vms.remove(ip),
        Place::DataCentre(name) => spec.drains.data_centres.remove(&DataCentre::from(&**name)),
    };
    let text = place_name(place);
    removed.then_some(()).ok_or_else(|| format!("{text} is not drained by the configuration"))
}

fn place_name(place: &Place) -> String {
    match place {
        Place::Server(addr) => format!("server {addr}"),
        Place::Vm(ip) => format!("VM {ip}"),
        Place::DataCentre(name) => format!("data centre {name:?}"),
    }
}

fn command_name(command: &Command) -> &'static str {
    match command {
        Command::SetFloor { .. } => "set_floor",
        Command::SetTarget { .. } => "set_target",
        Command::SetShare { .. } => "set_share",
        Command::SetObjective { .. } => "set_objective",
        Command::Drain { .. } => "drain",
        Command::Undrain { .. } => "undrain",
        Command::Publish { .. } => "publish",
    }
}
