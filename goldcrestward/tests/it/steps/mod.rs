//! Requests at each step at which they can wait, beside each event: the table of `docs/design/steps-own-interface.md`.

mod back_end;
mod caller;
mod cell;
mod event;
mod outcome;
mod site;

use self::{event::Event, outcome::Row};

/// Environment variable under which the tests print their tables.
const TABLE_VARIABLE: &str = "STEPS_TABLE";

async fn check(events: &[Event]) {
    let (rows, log) = site::run(events).await;
    if std::env::var_os(TABLE_VARIABLE).is_some() {
        println!("{}", outcome::markdown(&format!("{events:?}"), &rows));
    }
    let red: Vec<String> = rows.iter().filter(|row| row.is_red()).map(Row::describe).collect();
    let (count, cells) = (red.len(), rows.len());
    assert!(red.is_empty(), "{events:?}: {count} of {cells} cells:\n{}\n{log}", red.join("\n"));
}

macro_rules! event_tests {
    ($($name:ident: $($event:ident)+;)+) => {$(
        #[tokio::test(flavor = "multi_thread", worker_threads = 4)]
        async fn $name() {
            check(&[$(Event::$event),+]).await;
        }
    )+};
}

event_tests! {
    key_withdrawn: KeyWithdrawn;
    routes_dropped: RoutesDropped;
    routes_moved: RoutesMoved;
    pools_dropped: PoolsDropped;
    timeouts_lowered: TimeoutsLowered;
    kinds_changed: KindsChanged;
    limits_lowered: LimitsLowered;
    hangup: Hangup;
    stop: Stop;
    limited_stop: LimitedStop;
    owner_stop: OwnerStop;
    owner_kill: OwnerKill;
    servers_leaving: ServersLeaving;
    servers_gone: ServersGone;
    servers_silent: ServersSilent;
    connections_reset: ConnectionsReset;
    store_away: StoreAway;
    key_withdrawn_then_stop: KeyWithdrawn LimitedStop;
    pools_dropped_then_reset: PoolsDropped ConnectionsReset;
    servers_leaving_then_stop: ServersLeaving LimitedStop;
    owner_kill_then_store_away: OwnerKill StoreAway;
    owner_kill_then_key_withdrawn: OwnerKill KeyWithdrawn;
    owner_stop_then_stop: OwnerStop LimitedStop;
    key_withdrawn_then_reset: KeyWithdrawn ConnectionsReset;
    routes_dropped_then_owner_stop: RoutesDropped OwnerStop;
    servers_gone_then_reset: ServersGone ConnectionsReset;
    servers_silent_then_leaving: ServersSilent ServersLeaving;
    stop_then_reset: LimitedStop ConnectionsReset;
    stop_then_store_away: LimitedStop StoreAway;
    stop_then_routes_dropped: LimitedStop RoutesDropped;
    store_away_then_reset: StoreAway ConnectionsReset;
}
