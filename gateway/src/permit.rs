//! The one place that decides whether an attempt may begin: first as it is asked for, and once more in the moment before
//! its first byte, since what held then may have changed. No I/O and no clock.
use crate::invariants::Invariant;
use ternstack_balancer::{DeduplicationScope, Idempotency, RequestClass};
use tokio::time::Instant;

/// Where a server stands, as far as repeats of keyed requests are concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Home {
    /// Its zone.
    pub zone: u32,
    /// Its cell.
    pub cell: u32,
}

/// An earlier attempt of a request.
#[derive(Clone, Copy, Debug)]
pub struct Earlier {
    /// Where it went.
    pub home: Home,
    /// When its repeats stop being dropped, for a keyed class.
    pub window_ends: Option<Instant>,
    /// It may have run.
    pub may_have_run: bool,
    /// It is still out.
    pub out: bool,
}

/// Why an attempt may not begin.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denial {
    /// The request has its answer, or its client has left.
    Answered,
    /// Nothing is left of its time.
    OutOfTime,
    /// The server has no address, or is not in service.
    NoServer,
    /// It has had all its attempts.
    NoAttemptsLeft,
    /// Another attempt is out.
    AnotherOut,
    /// It may have run, and must not run twice.
    MayHaveRun,
    /// It may have run, and the time in which repeats are dropped is over.
    WindowOver,
    /// It may have run at a server of another group.
    OtherGroup,
}

impl Denial {
    /// The invariant that whoever asked for the attempt has violated; `None` where events may cross.
    pub fn violates(self) -> Option<Invariant> {
        match self {
            Denial::Answered | Denial::OutOfTime | Denial::NoServer | Denial::WindowOver => None,
            Denial::NoAttemptsLeft => Some(Invariant::AttemptLimit),
            Denial::AnotherOut => Some(Invariant::OneAttemptAtOnce),
            Denial::MayHaveRun => Some(Invariant::UnsafeOnce),
            Denial::OtherGroup => Some(Invariant::KeyedScope),
        }
    }
}

/// A request whose next attempt is asked for.
#[derive(Debug)]
pub struct NextAttempt<'a> {
    /// The request's class.
    pub class: &'a RequestClass,
    /// Its attempts so far.
    pub earlier: &'a [Earlier],
    /// The most attempts.
    pub max_attempts: usize,
    /// Its client still waits.
    pub waiting: bool,
    /// When the attempt would be given up.
    pub until: Instant,
    /// Where it would go; `None` for a server with no address.
    pub home: Option<Home>,
}

impl NextAttempt<'_> {
    /// Whether it may begin now.
    pub fn check(&self, now: Instant) -> Result<(), Denial> {
        if !self.waiting {
            return Err(Denial::Answered);
        }
        let home = self.home.ok_or(Denial::NoServer)?;
        if self.until <= now {
            return Err(Denial::OutOfTime);
        }
        if self.earlier.len() >= self.max_attempts {
            return Err(Denial::NoAttemptsLeft);
        }
        if self.earlier.iter().any(|attempt| attempt.out) {
            return Err(Denial::AnotherOut);
        }
        match (self.class.idempotency, self.earlier.iter().find(|attempt| attempt.may_have_run)) {
            (Idempotency::Idempotent, _) | (_, None) => Ok(()),
            (Idempotency::NonIdempotent, Some(_)) => Err(Denial::MayHaveRun),
            (Idempotency::IdempotentWithKey, Some(first)) => self.check_repeat(first, home, now),
        }
    }

    fn check_repeat(&self, first: &Earlier, home: Home, now: Instant) -> Result<(), Denial> {
        let same_group = match self.class.deduplication_scope {
            DeduplicationScope::All => true,
            DeduplicationScope::Zone => first.home.zone == home.zone,
            DeduplicationScope::Cell => first.home.cell == home.cell,
        };
        if !same_group {
            return Err(Denial::OtherGroup);
        }
        match first.window_ends {
            Some(end) if now < end => Ok(()),
            _ => Err(Denial::WindowOver),
        }
    }
}

/// An attempt in the moment before its first byte.
#[derive(Clone, Copy, Debug)]
pub struct FirstByte {
    /// When it is given up.
    pub until: Instant,
    /// When it has to be sent whole, if it repeats a keyed request.
    pub send_by: Option<Instant>,
    /// Its server is in service, in the same life as when it was picked.
    pub server_in_service: bool,
    /// Somebody still waits for it.
    pub waiting: bool,
}

impl FirstByte {
    /// Whether it may be written now.
    pub fn check(&self, now: Instant) -> Result<(), Denial> {
        if !self.waiting {
            return Err(Denial::Answered);
        }
        if !self.server_in_service {
            return Err(Denial::NoServer);
        }
        if self.until <= now {
            return Err(Denial::OutOfTime);
        }
        match self.send_by {
            Some(by) if by <= now => Err(Denial::WindowOver),
            _ => Ok(()),
        }
    }
}
