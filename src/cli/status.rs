//! `cartvane status`: instances, revisions, homes, engines and loads.

use super::{Command, CommandResult, Options, operator::OperatorClient, options::print_json};
use crate::{
    context::Context,
    contract::orders::Progress,
    instance::operators::status::{FleetStatus, InstanceStatus, NamedShard},
};

pub(super) const COMMAND: Command = Command {
    name: "status",
    summary: "show instances, revisions in force, homes, engines and loads",
    usage: "cartvane status [OPTIONS]",
    options: &[],
    uses_operator_api: true,
    run,
};

fn run(mut options: Options, cx: &Context) -> CommandResult {
    let json = options.flag("--json");
    let client = OperatorClient::from_options(&mut options, cx)?;
    options.finish()?;
    let status: FleetStatus = client.get("/v1/status", &[])?;
    if json {
        return print_json(&status);
    }
    print!("{}", render(&status));
    Ok(())
}

fn render(status: &FleetStatus) -> String {
    let mut text =
        String::from("INSTANCE             ZONE         REVISION  STATE     REQUESTS  PERMITS\n");
    for instance in &status.instances {
        text.push_str(&format!(
            "{:<20} {:<12} {:<9} {:<9} {:<9} {}\n",
            instance.id,
            instance.zone,
            instance.revision,
            state(instance),
            instance.requests,
            instance.permits
        ));
    }
    for id in &status.silent {
        text.push_str(&format!("{id:<20} no answer\n"));
    }
    for instance in &status.instances {
        for shard in instance.shards.iter().filter(|s| s.is_home) {
            text.push_str(&render_shard(instance, shard));
        }
    }
    text
}

fn state(instance: &InstanceStatus) -> &'static str {
    match (instance.draining, instance.ready) {
        (true, _) => "draining",
        (false, true) => "ready",
        (false, false) => "starting",
    }
}

fn render_shard(instance: &InstanceStatus, shard: &NamedShard) -> String {
    let mut text = format!(
        "\nservice {} shard {}: home {}, bound {}, waiting {}, chats remembered {}\n",
        shard.service, shard.number, instance.id, shard.bound, shard.queued, shard.remembered
    );
    if let Some(orders) = shard.orders {
        let fencing =
            orders.fencing.map_or_else(|| "not held".to_owned(), |number| number.to_string());
        let Progress { done, loading, due, failed } = orders.progress;
        text.push_str(&format!(
            "  orders: lease {fencing}, {done} as wanted, {loading} loading, {due} due, {failed} failed\n"
        ));
    }
    for engine in &shard.engines {
        let reported = engine.reported.map_or_else(|| "-".to_owned(), |load| load.to_string());
        text.push_str(&format!(
            "  {:<20} {:<8} permits {:<4} reported {reported}\n",
            engine.id, engine.state, engine.permits
        ));
    }
    text
}
