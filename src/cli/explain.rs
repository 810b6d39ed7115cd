//! `cartvane explain`: where a chat would go now, and why.

use super::{
    Command, CommandError, CommandResult, Options, operator::OperatorClient, options::print_json,
};
use crate::{context::Context, instance::operators::explain::Explanation};

pub(super) const COMMAND: Command = Command {
    name: "explain",
    summary: "tell where a chat would go now, and why",
    usage: "cartvane explain --service SERVICE --team TEAM --chat CHAT [OPTIONS]

  --service SERVICE       the service
  --team TEAM             the team
  --chat CHAT             the chat, as in the header Cartvane-Chat",
    options: &["--service", "--team", "--chat"],
    uses_operator_api: true,
    run,
};

fn run(mut options: Options, cx: &Context) -> CommandResult {
    let json = options.flag("--json");
    let mut required = |name: &'static str| -> Result<String, CommandError> {
        options.value(name)?.ok_or_else(|| CommandError::Usage(format!("{name} is missing")))
    };
    let (service, team, chat) = (required("--service")?, required("--team")?, required("--chat")?);
    let client = OperatorClient::from_options(&mut options, cx)?;
    options.finish()?;
    let query = [("service", service.as_str()), ("team", team.as_str()), ("chat", chat.as_str())];
    let explanation: Explanation = client.get("/v1/explain", &query)?;
    if json {
        return print_json(&explanation);
    }
    let none = || "-".to_owned();
    println!("service {}, chat key {}", explanation.service, explanation.chat);
    for shard in &explanation.shards {
        println!("  shard {} at home {}", shard.number, shard.home);
    }
    println!("  remembered on {}", explanation.remembered.clone().unwrap_or_else(none));
    println!(
        "  would go to {}: {}",
        explanation.would_go.clone().unwrap_or_else(none),
        explanation.why
    );
    println!("  rank {}", explanation.rank.join(" "));
    Ok(())
}
