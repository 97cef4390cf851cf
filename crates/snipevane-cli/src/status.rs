//! The `snipevane status` command: shows the state of the site as one entry VM knows it.

use snipevane_proto::operator::Status;

use crate::output::{print_json, yes_no};
use crate::{CliError, Client};

/// Prints the status that the first responding entry VM reports.
pub(crate) async fn run(client: &Client, json: bool) -> Result<(), CliError> {
    let status: Status = client.get("/v1/status").await?.value;
    if json {
        return print_json(&status);
    }
    print_self(&status);
    print_peers(&status);
    print_servers(&status);
    print_teams(&status);
    Ok(())
}

fn print_self(status: &Status) {
    println!(
        "entry VM {} zone {} incarnation {} shard {}",
        status.vm,
        status.zone,
        status.incarnation,
        status.shard.as_deref().unwrap_or("none"),
    );
    match &status.reason {
        Some(reason) => println!("ready {}: {reason}", yes_no(status.ready)),
        None => println!("ready {}", yes_no(status.ready)),
    }
    println!("platform reachable {}", yes_no(status.platform_reachable));
    println!(
        "version in force {}, lowest confirmed {}",
        status.version, status.lowest_version_confirmed
    );
}

fn print_peers(status: &Status) {
    for peer in &status.peers {
        let age = match peer.age_ms {
            Some(age_ms) => format!("age {age_ms} ms"),
            None => "no report received".to_owned(),
        };
        println!(
            "peer {} zone {} version {} reachable {} {age}",
            peer.vm,
            peer.zone,
            peer.version,
            yes_no(peer.reachable),
        );
    }
}

fn print_servers(status: &Status) {
    for server in &status.servers {
        println!(
            "backend server {} service {} zone {} {} slots {} in use {}",
            server.vm, server.service, server.zone, server.state, server.slots, server.in_use,
        );
    }
}

fn print_teams(status: &Status) {
    for team in &status.teams {
        println!(
            "team {} limit {} allowance {} in use {}",
            team.name, team.limit, team.allowance, team.in_use,
        );
    }
}
