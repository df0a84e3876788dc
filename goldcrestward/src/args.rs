//! Command-line arguments.

use std::{net::SocketAddr, path::PathBuf, process::ExitCode};

use bpaf::{Args, Bpaf, OptionParser, ParseFailure};

use crate::process::Overrides;

/// Exit code for wrong arguments.
const WRONG_ARGUMENTS: u8 = 2;
/// Width of help texts, in columns.
const HELP_WIDTH: usize = 100;

/// Parses the arguments of the process.
///
/// # Errors
/// Returns the exit code of the process once help, the version, completions or an error were printed instead.
pub fn parse<T>(options: &OptionParser<T>) -> Result<T, ExitCode> {
    options.run_inner(Args::current_args()).map_err(|failure| {
        failure.print_message(HELP_WIDTH);
        match failure {
            ParseFailure::Stdout(..) | ParseFailure::Completion(..) => ExitCode::SUCCESS,
            ParseFailure::Stderr(..) => ExitCode::from(WRONG_ARGUMENTS),
        }
    })
}

/// Serves model traffic on reclaimable instances.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(
    options,
    version,
    footer(
        "Exit codes: 0 success, 1 failure, 2 wrong arguments or settings, 3 invalid configuration, 4 conflict, 5 not in force everywhere"
    )
)]
pub enum Command {
    /// Runs a daemon
    #[bpaf(command)]
    Serve(#[bpaf(external(serve_args), map(Box::new))] Box<ServeArgs>),
    /// Runs a complete site in this process with stand-in back ends and reports how its requests ended
    #[bpaf(command)]
    Demo(#[bpaf(external(demo_args))] DemoArgs),
    /// Traces one request through the logs of all daemons
    #[bpaf(command)]
    Explain(#[bpaf(external(explain_args))] ExplainArgs),
    /// Validates, changes and shows the configuration
    #[bpaf(command)]
    Config(#[bpaf(external(config_action))] ConfigAction),
    /// Shows rollouts of new versions
    #[bpaf(command)]
    Rollout(#[bpaf(external(rollout_action))] RolloutAction),
    /// Shows the daemons of the site
    #[bpaf(command)]
    Peers(#[bpaf(external(admin_args))] AdminArgs),
    /// Shows requests in flight and request outcomes
    #[bpaf(command)]
    Requests(#[bpaf(external(admin_args))] AdminArgs),
    /// Shows refusals and retries by reason, or lifts the block on a request that crashed back ends
    #[bpaf(command)]
    Refusals {
        #[bpaf(external(admin_args))]
        admin: AdminArgs,
        /// Fingerprint of a blocked request to accept again
        #[bpaf(long, argument("FINGERPRINT"))]
        clear: Option<String>,
    },
}

/// Arguments of `serve`.
#[derive(Clone, Debug, Bpaf)]
pub struct ServeArgs {
    /// Settings file
    #[bpaf(long, argument("FILE.yaml"))]
    pub settings: Option<PathBuf>,
    #[bpaf(external(overrides))]
    pub overrides: OverrideArgs,
}

/// Settings from flags or environment variables, which override the settings file.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(overrides))]
pub struct OverrideArgs {
    /// Site to which the daemon belongs
    #[bpaf(long, env("GOLDCRESTWARD_SITE"), argument("NAME"))]
    site: Option<String>,
    /// Name of the daemon, unique in the site
    #[bpaf(long, env("GOLDCRESTWARD_NAME"), argument("NAME"))]
    name: Option<String>,
    /// Region of the daemon
    #[bpaf(long, env("GOLDCRESTWARD_REGION"), argument("NAME"))]
    region: Option<String>,
    /// Availability zone of the daemon
    #[bpaf(long, env("GOLDCRESTWARD_ZONE"), argument("NAME"))]
    zone: Option<String>,
    /// Listen address for callers
    #[bpaf(long, env("GOLDCRESTWARD_CALLERS"), argument("IP:PORT"))]
    callers: Option<SocketAddr>,
    /// Listen address for operators
    #[bpaf(long, env("GOLDCRESTWARD_ADMIN"), argument("IP:PORT"))]
    admin: Option<SocketAddr>,
    /// Listen address for other daemons
    #[bpaf(long, env("GOLDCRESTWARD_PEERS"), argument("IP:PORT"))]
    peers: Option<SocketAddr>,
    /// Address at which other daemons reach this one, if it differs from the listen address
    #[bpaf(long, env("GOLDCRESTWARD_ADVERTISE"), argument("IP:PORT"))]
    advertise: Option<SocketAddr>,
    /// Address of the platform's services
    #[bpaf(long, env("GOLDCRESTWARD_PLATFORM"), argument("IP:PORT"))]
    platform: Option<SocketAddr>,
    /// Address of a daemon to join; may be repeated
    #[bpaf(long, argument("IP:PORT"))]
    join: Vec<SocketAddr>,
    /// Shared secret with which daemons authenticate each other
    #[bpaf(long, env("GOLDCRESTWARD_PEER_SECRET"), argument("TEXT"))]
    peer_secret: Option<String>,
    /// SHA-256 of the operators' token, in hexadecimal
    #[bpaf(long, env("GOLDCRESTWARD_ADMIN_TOKEN_SHA256"), argument("HEX"))]
    admin_token_sha256: Option<String>,
    /// Number of worker threads
    #[bpaf(long, env("GOLDCRESTWARD_WORKERS"), argument("COUNT"))]
    workers: Option<usize>,
    /// Time limit of a graceful shutdown, in seconds; 0 for no limit
    #[bpaf(long, env("GOLDCRESTWARD_DRAIN_SECONDS"), argument("SECONDS"))]
    drain_seconds: Option<u64>,
}

impl From<OverrideArgs> for Overrides {
    fn from(args: OverrideArgs) -> Self {
        Self {
            site: args.site,
            name: args.name,
            region: args.region,
            zone: args.zone,
            callers: args.callers,
            admin: args.admin,
            peers: args.peers,
            advertise: args.advertise,
            platform: args.platform,
            join: (!args.join.is_empty()).then_some(args.join),
            peer_secrets: args.peer_secret.map(|secret| vec![secret]),
            admin_token_sha256: args.admin_token_sha256,
            workers: args.workers,
            drain_seconds: args.drain_seconds,
            ..Self::default()
        }
    }
}

/// Arguments of `explain`.
#[derive(Clone, Debug, Bpaf)]
pub struct ExplainArgs {
    /// Request id
    #[bpaf(positional("ID"))]
    pub id: String,
    /// Log files of daemons; standard input if none is given
    #[bpaf(positional("LOG"))]
    pub logs: Vec<PathBuf>,
}

/// Arguments of `demo`.
#[derive(Clone, Debug, Bpaf)]
pub struct DemoArgs {
    /// Exit after the summary, as is done without a terminal on standard input
    pub once: bool,
    /// Print the summary as JSON, and nothing else
    pub json: bool,
    /// Print the daemons' log lines on standard error instead of writing them to a file
    pub logs: bool,
    /// Seed of the random traffic and faults
    #[bpaf(long, argument("N"), fallback(1))]
    pub seed: u64,
}

/// Address and token of a daemon's listener for operators.
#[derive(Clone, Debug, Bpaf)]
pub struct AdminArgs {
    /// Address on which a daemon listens for operators
    #[bpaf(long, env("GOLDCRESTWARD_ADMIN"), argument("IP:PORT"), fallback(SocketAddr::from(([127, 0, 0, 1], 8081))))]
    pub admin: SocketAddr,
    /// The operators' token
    #[bpaf(long, env("GOLDCRESTWARD_TOKEN"), argument("TEXT"), fallback(String::new()))]
    pub token: String,
    /// Print JSON
    pub json: bool,
}

/// Subcommands of `config`.
#[derive(Clone, Debug, Bpaf)]
pub enum ConfigAction {
    /// Validates a folder without contacting a daemon
    #[bpaf(command)]
    Check {
        /// Print JSON
        json: bool,
        /// Folder of YAML files
        #[bpaf(positional("FOLDER"))]
        folder: PathBuf,
    },
    /// Shows how a folder differs from the configuration in force
    #[bpaf(command)]
    Diff {
        #[bpaf(external(admin_args))]
        admin: AdminArgs,
        /// Folder of YAML files
        #[bpaf(positional("FOLDER"))]
        folder: PathBuf,
    },
    /// Replaces the configuration by a folder, removing files that are not in it
    #[bpaf(command)]
    Apply {
        #[bpaf(external(admin_args))]
        admin: AdminArgs,
        /// Wait until the change is in force on all daemons
        wait: bool,
        /// Revision on which the change must be based
        #[bpaf(long, argument("REVISION"))]
        base: Option<u64>,
        /// Folder of YAML files
        #[bpaf(positional("FOLDER"))]
        folder: PathBuf,
    },
    /// Adds or replaces one file
    #[bpaf(command)]
    Put {
        #[bpaf(external(admin_args))]
        admin: AdminArgs,
        /// Wait until the change is in force on all daemons
        wait: bool,
        /// Revision on which the change must be based
        #[bpaf(long, argument("REVISION"))]
        base: Option<u64>,
        /// YAML file
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Removes one file
    #[bpaf(command)]
    Remove {
        #[bpaf(external(admin_args))]
        admin: AdminArgs,
        /// Wait until the change is in force on all daemons
        wait: bool,
        /// Revision on which the change must be based
        #[bpaf(long, argument("REVISION"))]
        base: Option<u64>,
        /// Name of the file
        #[bpaf(positional("NAME"))]
        name: String,
    },
    /// Lists the files in force
    #[bpaf(command)]
    List(#[bpaf(external(admin_args))] AdminArgs),
    /// Shows on which daemons the configuration is in force
    #[bpaf(command)]
    Status {
        #[bpaf(external(admin_args))]
        admin: AdminArgs,
        /// Wait until the configuration is in force on all daemons
        wait: bool,
    },
    /// Prints each new revision and the daemons on which it is not yet in force
    #[bpaf(command)]
    Watch(#[bpaf(external(admin_args))] AdminArgs),
}

/// Subcommands of `rollout`.
#[derive(Clone, Debug, Bpaf)]
pub enum RolloutAction {
    /// Shows each version's share, step and outcome
    #[bpaf(command)]
    Status(#[bpaf(external(admin_args))] AdminArgs),
    /// Prints the rollouts again after each change
    #[bpaf(command)]
    Watch(#[bpaf(external(admin_args))] AdminArgs),
}
