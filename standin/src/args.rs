//! Command-line arguments of the stand-ins.

use std::{net::SocketAddr, path::PathBuf};

use bpaf::Bpaf;

/// Stand-ins for the systems that goldcrestward connects to.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
pub enum Command {
    /// Runs the platform's services: key-value store and instance list
    #[bpaf(command)]
    Platform {
        #[bpaf(external(listen))]
        listen: SocketAddr,
        #[bpaf(external(seed))]
        seed: u64,
    },
    /// Runs a model engine
    #[bpaf(command)]
    Engine {
        #[bpaf(external(listen))]
        listen: SocketAddr,
        #[bpaf(external(seed))]
        seed: u64,
        /// Model that the engine serves
        #[bpaf(long, argument("NAME"), fallback("default".into()))]
        model: String,
        /// Maximum number of sequences that run at once
        #[bpaf(long("batch"), argument("COUNT"), fallback(64))]
        max_batch_size: usize,
        /// Factor applied to all simulated times
        #[bpaf(long("factor"), argument("FACTOR"), fallback(1.0))]
        time_factor: f64,
        #[bpaf(external, optional)]
        registration: Option<Registration>,
    },
    /// Runs a plain service that counts executions by idempotency key
    #[bpaf(command)]
    Service {
        #[bpaf(external(listen))]
        listen: SocketAddr,
        #[bpaf(external(seed))]
        seed: u64,
        #[bpaf(external, optional)]
        registration: Option<Registration>,
    },
    /// Runs a TCP and UDP proxy that injects faults
    #[bpaf(command("faults"))]
    FaultProxy {
        #[bpaf(external(listen))]
        listen: SocketAddr,
        #[bpaf(external(seed))]
        seed: u64,
        /// Address that traffic is forwarded to
        #[bpaf(long, argument("IP:PORT"))]
        upstream: SocketAddr,
        /// Share of datagrams dropped
        #[bpaf(long, argument("SHARE"), fallback(0.0))]
        loss: f64,
        /// Delay of each chunk and datagram in ms
        #[bpaf(long, argument("MS"), fallback(0))]
        delay_ms: u64,
        /// Probability that a connection is closed at a chunk from the upstream
        #[bpaf(long, argument("SHARE"), fallback(0.0))]
        cut_answers: f64,
    },
    /// Measures the cost of each role and writes the tables of docs/CAPACITY.md
    #[bpaf(command)]
    Capacity(#[bpaf(external(capacity_args))] CapacityArgs),
    /// Sends a load for a limited time and checks the responses
    #[bpaf(command)]
    Load(#[bpaf(external(load_args))] LoadArgs),
    /// Replaces daemons of one program by another one under load, and back, and checks that no promise breaks
    #[bpaf(command)]
    Upgrade(#[bpaf(external(upgrade_args))] UpgradeArgs),
}

/// Registration of an instance in the platform's list.
#[derive(Clone, Debug, Bpaf)]
pub struct Registration {
    /// Platform to register the instance with
    #[bpaf(long, argument("IP:PORT"))]
    pub platform: SocketAddr,
    /// Name of the instance
    #[bpaf(long, argument("NAME"))]
    pub id: String,
    /// Pool of the instance
    #[bpaf(long, argument("NAME"))]
    pub pool: String,
    /// Version that the instance runs
    #[bpaf(long("runs"), argument("NAME"))]
    pub version: String,
    /// Availability zone
    #[bpaf(long, argument("NAME"))]
    pub zone: String,
    /// Region
    #[bpaf(long, argument("NAME"))]
    pub region: String,
}

/// Selection of capacity measurements.
#[derive(Clone, Debug, Bpaf)]
pub struct CapacityArgs {
    /// Documentation folder
    #[bpaf(long, argument("FOLDER"), fallback("docs".into()))]
    pub docs: PathBuf,
    /// Writes the tables from the existing measurements, without measuring
    pub tables: bool,
    /// Measurement to run: control, replicas, streams or ledger; all by default
    #[bpaf(long, argument("NAME"))]
    pub only: Option<String>,
    /// Number of daemons to measure the control plane with; may be repeated
    #[bpaf(long, argument("COUNT"), many, map(|given| if given.is_empty() { vec![7, 28, 112, 200] } else { given }))]
    pub daemons: Vec<usize>,
    #[bpaf(external(seed))]
    pub seed: u64,
}

/// Target, rate and duration of a load.
#[derive(Clone, Debug, Bpaf)]
pub struct LoadArgs {
    /// Daemon or engine to send requests to; may be repeated
    #[bpaf(long, argument("IP:PORT"), some("a target is needed"))]
    pub target: Vec<SocketAddr>,
    /// Engine that gets the same load directly, at the same time; may be repeated
    #[bpaf(long, argument("IP:PORT"), many)]
    pub beside: Vec<SocketAddr>,
    /// Key of the client account
    #[bpaf(long, argument("TEXT"), fallback("none".into()))]
    pub key: String,
    /// Traffic profile: swanvale or klaasvikat
    #[bpaf(long, argument("NAME"), fallback("swanvale".into()))]
    pub workload: String,
    /// Streamed requests per second
    #[bpaf(long, argument("RATE"), fallback(20.0))]
    pub streams: f64,
    /// Requests with an idempotency key per second
    #[bpaf(long, argument("RATE"), fallback(0.0))]
    pub keyed: f64,
    /// Tokens per answer
    #[bpaf(long, argument("COUNT"))]
    pub tokens: Option<usize>,
    /// Seconds during which new requests are sent
    #[bpaf(long, argument("SECONDS"), fallback(10))]
    pub seconds: u64,
    /// Maximum retries of a request that was refused or got no complete response
    #[bpaf(long("tries"), argument("COUNT"), fallback(0))]
    pub max_retries: u32,
    #[bpaf(external(seed))]
    pub seed: u64,
}

/// The two programs of an upgrade, and the size of the site.
#[derive(Clone, Debug, Bpaf)]
pub struct UpgradeArgs {
    /// Program that all daemons run at first and that they get back
    #[bpaf(long, argument("FILE"))]
    pub old: PathBuf,
    /// Program that replaces it
    #[bpaf(long, argument("FILE"))]
    pub new: PathBuf,
    /// Number of daemons
    #[bpaf(long, argument("COUNT"), guard(|count| *count > 0, "at least one daemon is needed"), fallback(5))]
    pub daemons: usize,
    #[bpaf(external(seed))]
    pub seed: u64,
    /// Folder for the daemons' logs; they log nothing if absent
    #[bpaf(long, argument("FOLDER"))]
    pub logs: Option<PathBuf>,
    /// Prints the report as JSON
    pub json: bool,
}

fn listen() -> impl bpaf::Parser<SocketAddr> {
    bpaf::long("listen").help("Address to listen on").argument("IP:PORT")
}

fn seed() -> impl bpaf::Parser<u64> {
    use bpaf::Parser;

    bpaf::long("seed").help("Seed of the random number generators").argument("N").fallback(1)
}
