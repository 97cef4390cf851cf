//! The `snipevane key` command: issues, withdraws and lists the keys of teams.

use snipevane_proto::operator::{GiveKey, GivenKey, KeyInfo, Withdrawal};

use crate::flags::KeyCmd;
use crate::output::print_json;
use crate::{CliError, Client};

/// Issues, withdraws or lists keys.
pub(crate) async fn run(client: &Client, cmd: KeyCmd, json: bool) -> Result<(), CliError> {
    match cmd {
        KeyCmd::Give(cmd) => issue(client, cmd.team, json).await,
        KeyCmd::Withdraw(cmd) => withdraw(client, &cmd.id, json).await,
        KeyCmd::List(_) => list(client, json).await,
    }
}

async fn issue(client: &Client, team: String, json: bool) -> Result<(), CliError> {
    let req = GiveKey { team };
    let issued: GivenKey = client.post_once("/v1/keys", &req).await?.value;
    if json {
        return print_json(&issued);
    }
    println!("id   {}", issued.id);
    println!("team {}", issued.team);
    println!("key  {}", issued.key);
    eprintln!("the key is shown only now");
    Ok(())
}

async fn withdraw(client: &Client, id: &str, json: bool) -> Result<(), CliError> {
    if !is_path_segment(id) {
        return Err(CliError::Usage(format!(
            "{id:?} isn't the identifier of a key"
        )));
    }
    let path = format!("/v1/keys/{id}");
    let withdrawal: Withdrawal = client.delete(&path).await?.value;
    if json {
        return print_json(&withdrawal);
    }
    println!("withdrawn {}", withdrawal.id);
    println!("confirmed by zones: {}", join(&withdrawal.confirmed_zones));
    if !withdrawal.unconfirmed_zones.is_empty() {
        println!(
            "not yet confirmed by zones: {}",
            join(&withdrawal.unconfirmed_zones)
        );
    }
    if !withdrawal.stored {
        println!("not yet in the platform's table; it is written when the platform is back");
    }
    Ok(())
}

async fn list(client: &Client, json: bool) -> Result<(), CliError> {
    let keys: Vec<KeyInfo> = client.get("/v1/keys").await?.value;
    if json {
        return print_json(&keys);
    }
    for key in &keys {
        let state = if key.withdrawn { "withdrawn" } else { "valid" };
        println!("{} {} {state}", key.id, key.team);
    }
    Ok(())
}

/// Returns whether a name can be used as a path segment without escaping.
pub(crate) fn is_path_segment(name: &str) -> bool {
    let is_plain = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    !name.is_empty() && name.chars().all(is_plain)
}

fn join(zones: &[String]) -> String {
    if zones.is_empty() {
        return "none".to_owned();
    }
    zones.join(", ")
}
