//! Progress of the demonstration on standard error.

use std::{
    fmt::Write,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use indicatif::{ProgressBar, ProgressDrawTarget, ProgressState, ProgressStyle};

/// Interval at which the progress line is redrawn.
const REDRAW_INTERVAL: Duration = Duration::from_millis(200);

/// What the demonstration shows of its progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ProgressDetail {
    /// Nothing.
    Quiet,
    /// A line for each event.
    Events,
    /// A line for each event, and below them one that is redrawn if standard error is a terminal.
    Live,
}

/// Prints events and keeps a progress line below them.
pub(crate) struct Progress {
    line: ProgressBar,
    detail: ProgressDetail,
}

impl Progress {
    /// Starts to show the number of requests that have ended.
    pub fn start(detail: ProgressDetail, ended: Arc<AtomicU64>) -> Self {
        let target = match detail {
            ProgressDetail::Live => ProgressDrawTarget::stderr(),
            ProgressDetail::Quiet | ProgressDetail::Events => ProgressDrawTarget::hidden(),
        };
        let line = ProgressBar::with_draw_target(None, target);
        let write_ended = move |_: &ProgressState, out: &mut dyn Write| {
            // A line that cannot be formatted is shown without the number.
            write!(out, "{}", ended.load(Ordering::Relaxed)).ok();
        };
        let style = ProgressStyle::default_spinner().with_key("ended", write_ended);
        if let Ok(style) = style.template("{spinner} {elapsed:>4}  {ended} requests ended") {
            line.set_style(style);
        }
        if !line.is_hidden() {
            line.enable_steady_tick(REDRAW_INTERVAL);
        }
        Self { line, detail }
    }

    /// Prints an event with the time since the start.
    pub fn event(&self, text: &str) {
        let text = format!("{:5.1} s  {text}", self.line.elapsed().as_secs_f64());
        match self.detail {
            ProgressDetail::Quiet => {}
            ProgressDetail::Live if !self.line.is_hidden() => self.line.println(text),
            ProgressDetail::Events | ProgressDetail::Live => eprintln!("{text}"),
        }
    }
}

impl Drop for Progress {
    fn drop(&mut self) {
        self.line.finish_and_clear();
    }
}
