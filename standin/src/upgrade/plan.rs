//! Steps of an upgrade, drawn from a seed.

use rand::{Rng, SeedableRng, rngs::SmallRng, seq::SliceRandom};
use serde::Serialize;

/// Each group of this many steps has one reclaim and one kill.
const STEPS_PER_FAULT: usize = 4;

/// The program that a daemon runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Build {
    Old,
    New,
}

/// A part of an upgrade. The daemons of a phase are replaced one after the other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Phase {
    /// Half of the daemons get the new program.
    HalfForward,
    /// The same half gets the old program back.
    HalfBack,
    /// All daemons get the new program.
    Forward,
    /// All daemons get the old program back.
    Back,
}

impl Phase {
    /// An upgrade that is taken back half-way, then once it is complete.
    pub const ALL: [Self; 4] = [Self::HalfForward, Self::HalfBack, Self::Forward, Self::Back];

    pub fn label(self) -> &'static str {
        match self {
            Self::HalfForward => "half-forward",
            Self::HalfBack => "half-back",
            Self::Forward => "forward",
            Self::Back => "back",
        }
    }

    fn build(self) -> Build {
        match self {
            Self::HalfForward | Self::Forward => Build::New,
            Self::HalfBack | Self::Back => Build::Old,
        }
    }

    fn is_half(self) -> bool {
        matches!(self, Self::HalfForward | Self::HalfBack)
    }
}

/// The replacement of one daemon, followed by a change of the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Step {
    pub phase: Phase,
    /// The daemon to replace.
    pub slot: usize,
    /// The program that it gets.
    pub build: Build,
    /// The daemon that the change is proposed to.
    pub proposer: usize,
    /// The daemon that is killed just before the change, never the proposer.
    pub killed: Option<usize>,
    /// Whether an engine is reclaimed during the change.
    pub reclaims: bool,
}

/// Steps of an upgrade of daemons that all run the old program.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpgradePlan {
    pub steps: Vec<Step>,
}

impl UpgradePlan {
    /// Draws the order of the daemons, the faults and the proposers.
    pub fn new(daemons: usize, phases: &[Phase], seed: u64) -> Self {
        let mut random = SmallRng::seed_from_u64(seed);
        let mut half: Vec<usize> = (0..daemons).collect();
        half.shuffle(&mut random);
        half.truncate(daemons.div_ceil(2));
        let mut steps = Vec::new();
        for phase in phases {
            let mut slots = if phase.is_half() { half.clone() } else { (0..daemons).collect() };
            slots.shuffle(&mut random);
            for slot in slots {
                let proposer = random.random_range(0..daemons);
                let (phase, build) = (*phase, phase.build());
                steps.push(Step { phase, slot, build, proposer, killed: None, reclaims: false });
            }
        }
        for group in steps.chunks_mut(STEPS_PER_FAULT) {
            let at = random.random_range(0..group.len());
            group[at].reclaims = true;
            let step = &mut group[random.random_range(0..group.len())];
            // A site of one daemon has none to spare.
            if daemons > 1 {
                step.killed = Some((step.proposer + random.random_range(1..daemons)) % daemons);
            }
        }
        Self { steps }
    }
}
