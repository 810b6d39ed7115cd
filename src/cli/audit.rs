//! `cartvane audit`: who changed what, when.

use super::{
    Command, CommandError, CommandResult, Options, operator::OperatorClient, options::print_json,
};
use crate::{audit::AuditRow, context::Context};

pub(super) const COMMAND: Command = Command {
    name: "audit",
    summary: "print the audit trail",
    usage: "cartvane audit [--since TIME] [--entity NAME] [--by NAME] [OPTIONS]

  --since TIME            from this time, such as 2026-12-02T08:00:00Z
  --entity NAME           only what concerns this entity, such as team/drivers
  --by NAME               only what this operator did",
    options: &["--since", "--entity", "--by"],
    uses_operator_api: true,
    run,
};

fn run(mut options: Options, cx: &Context) -> CommandResult {
    let json = options.flag("--json");
    let since: Option<String> = options.value("--since")?;
    let entity: Option<String> = options.value("--entity")?;
    let by: Option<String> = options.value("--by")?;
    let client = OperatorClient::from_options(&mut options, cx)?;
    options.finish()?;
    let since = since.map(|text| unix_millis(&text)).transpose()?;
    let mut query = Vec::new();
    if let Some(since) = &since {
        query.push(("since", since.as_str()));
    }
    if let Some(entity) = &entity {
        query.push(("entity", entity.as_str()));
    }
    if let Some(by) = &by {
        query.push(("by", by.as_str()));
    }
    let rows: Vec<AuditRow> = client.get("/v1/audit", &query)?;
    if json {
        return print_json(&rows);
    }
    rows.iter().for_each(|row| println!("{row}"));
    Ok(())
}

fn unix_millis(text: &str) -> Result<String, CommandError> {
    let time = humantime::parse_rfc3339_weak(text).map_err(|_| {
        CommandError::Usage(format!("--since {text:?}: write a time such as 2026-12-02T08:00:00Z"))
    })?;
    let since = time.duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
    Ok(since.as_millis().to_string())
}
