//! Drives the event loop of an instance, and measures how late it is.
//!
//! The runtime runs its ready tasks in the order in which they were woken, a
//! bounded number of them in a turn, and checks for events in between. This
//! module drives it turn by turn, so that it can tell how long each turn took
//! and how long a task that is ready waits for its own: it wakes a task of its
//! own whenever tasks are left at the end of a turn, and looks when it runs.
//!
//! Tasks that run in [`EventLoop::spawn`], and functions in
//! [`EventLoop::measure`], are measured by name. What has no name is the work
//! of callers' connections.

use std::{
    cell::{Cell, RefCell},
    future::{Future, poll_fn},
    pin::pin,
    rc::Rc,
    task::{Context, Poll, Waker},
    time::Duration,
};

use compio::runtime::Runtime;
use sedgewall_clock::Instant;
use sedgewall_fleet::loop_stats::{LoopStats, Window, WorkName, WorkTime};

/// The delay from which a second is logged. It is a fifth of the time by which
/// an answer may be later than the timeout of its route.
const LOGGED_DELAY: Duration = Duration::from_millis(100);

/// What is called before each turn of the loop, with the time and how long ago
/// all that was ready then has had its turn. Returns whether the next
/// turn must follow without waiting for events.
type TurnHook = Box<dyn Fn(Instant, Duration) -> bool>;

/// The shortest time without an event after which all that is ready has just
/// become so.
const IDLE: Duration = Duration::from_millis(1);

/// The measurements of the event loop that runs this thread.
pub(crate) struct EventLoop {
    stats: RefCell<LoopStats>,
    /// The time of measured work inside the work that is being measured.
    nested: Cell<Duration>,
    /// When tasks were left at the end of a turn, until the last of them has
    /// run.
    left_over_since: Cell<Option<Instant>>,
    /// Wakes the task that runs after those that are ready now.
    last_in_line: RefCell<Option<Waker>>,
    /// The delay as of the last measurement.
    delay: Cell<Duration>,
    /// How late the process was woken for the current turn.
    woken_late: Cell<Duration>,
    /// The latest time by which all that was ready has had its turn.
    caught_up: Cell<Option<Instant>>,
    before_turn: RefCell<Option<TurnHook>>,
}

impl EventLoop {
    pub(crate) fn new() -> Rc<EventLoop> {
        Rc::new(EventLoop {
            stats: RefCell::default(),
            nested: Cell::default(),
            left_over_since: Cell::default(),
            last_in_line: RefCell::default(),
            delay: Cell::default(),
            woken_late: Cell::default(),
            caught_up: Cell::default(),
            before_turn: RefCell::default(),
        })
    }

    /// Runs a future, and all tasks that it spawns, until the future is
    /// complete.
    pub(crate) fn block_on<F: Future>(
        self: &Rc<EventLoop>,
        runtime: &Runtime,
        future: F,
    ) -> F::Output {
        runtime.enter(|| {
            compio::runtime::spawn(self.clone().run_last_in_line()).detach();
            let waker = runtime.waker();
            let mut context = Context::from_waker(&waker);
            let mut future = pin!(future);
            loop {
                let began = Instant::now();
                let is_awaited = self.call_before_turn(began);
                if let Poll::Ready(output) = future.as_mut().poll(&mut context)
                {
                    return output;
                }
                let has_more = runtime.run();
                let ended = Instant::now();
                self.end_turn(ended - began, has_more, ended);
                let timeout = match has_more || is_awaited {
                    true => Some(Duration::ZERO),
                    false => runtime.current_timeout(),
                };
                runtime.poll_with(timeout);
                let waited = ended.elapsed();
                let late = timeout.map(|t| waited.saturating_sub(t));
                self.woken_late.set(late.unwrap_or_default());
                if timeout != Some(Duration::ZERO) && waited >= IDLE {
                    self.delay.set(Duration::ZERO);
                    self.caught_up.set(Some(ended + waited));
                }
            }
        })
    }

    /// Spawns a task whose work is measured under a name.
    pub(crate) fn spawn(
        self: &Rc<EventLoop>,
        name: WorkName,
        task: impl Future<Output = ()> + 'static,
    ) {
        let event_loop = self.clone();
        compio::runtime::spawn(async move {
            let mut task = pin!(task);
            poll_fn(|context| {
                event_loop.measure(name, || task.as_mut().poll(context))
            })
            .await
        })
        .detach();
    }

    /// Calls a function and measures it under a name. What is measured inside
    /// it counts under its own name alone.
    pub(crate) fn measure<T>(
        &self,
        name: WorkName,
        work: impl FnOnce() -> T,
    ) -> T {
        let outer = self.nested.take();
        let began = Instant::now();
        let result = work();
        let took = began.elapsed();
        let own = took.saturating_sub(self.nested.get());
        self.nested.set(outer + took);
        self.stats.borrow_mut().record_work(name, own);
        result
    }

    /// Returns how long what is handled now may have waited since it was
    /// ready.
    pub(crate) fn delay(&self, now: Instant) -> Duration {
        let waiting = self
            .left_over_since
            .get()
            .map(|since| now.saturating_duration_since(since));
        let delay = self.delay.get().max(waiting.unwrap_or_default());
        delay.max(self.woken_late.get())
    }

    /// Has a function called before each turn of the loop.
    pub(crate) fn call_before_turns(
        &self,
        hook: impl Fn(Instant, Duration) -> bool + 'static,
    ) {
        *self.before_turn.borrow_mut() = Some(Box::new(hook));
    }

    /// Returns the maximums of the last 10 s.
    pub(crate) fn recent(&self) -> Window {
        self.stats.borrow().recent()
    }

    /// Returns the processor time of each kind of work since the start.
    pub(crate) fn work(&self) -> Vec<(WorkName, WorkTime)> {
        self.stats.borrow().work().collect()
    }

    fn call_before_turn(&self, now: Instant) -> bool {
        let hook = self.before_turn.borrow();
        let caught_up = self.caught_up.get().unwrap_or(now);
        let behind = now.saturating_duration_since(caught_up);
        hook.as_ref().is_some_and(|hook| hook(now, behind))
    }

    fn end_turn(&self, took: Duration, has_more: bool, now: Instant) {
        self.nested.take();
        if !has_more {
            // All that was ready at its beginning had its turn.
            self.delay.set(took);
            self.caught_up.set(Some(now));
        } else if self.left_over_since.get().is_none()
            && let Some(waker) = self.last_in_line.borrow_mut().take()
        {
            self.left_over_since.set(Some(now));
            waker.wake();
        }
        let delay = self.delay(now);
        let full = self.stats.borrow_mut().end_turn(took, delay, now);
        if let Some(window) = full
            && window.max_delay >= LOGGED_DELAY
        {
            log_late(&window);
        }
    }

    /// Measures how long a task that is woken waits for its turn.
    async fn run_last_in_line(self: Rc<EventLoop>) {
        poll_fn(|context| -> Poll<()> {
            if let Some(since) = self.left_over_since.take() {
                self.delay.set(since.elapsed());
                // All that was ready then has had its turn, even if a task
                // that always has more to do is ready again.
                self.caught_up.set(self.caught_up.get().max(Some(since)));
            }
            *self.last_in_line.borrow_mut() = Some(context.waker().clone());
            Poll::Pending
        })
        .await
    }
}

fn log_late(window: &Window) {
    let ms = |time: Duration| time.as_millis() as u64;
    let turn = window.longest_turn;
    tracing::warn!(
        event = "loop_late",
        delay_ms = ms(window.max_delay),
        longest_turn_ms = ms(turn.took),
        longest_work = turn.most.map(|(name, _)| name),
        longest_work_ms = turn.most.map(|(_, took)| ms(took)),
        busy_ms = ms(window.busy),
        turns = window.turns,
    );
}
