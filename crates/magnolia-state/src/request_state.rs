//! Where a quick request stands; decides alone what may be said of it.

use magnolia_types::Ran;

/// States of a quick request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestPhase {
    /// Accepted from the caller.
    Received,
    /// Waits for a slot.
    Queued,
    /// At least one attempt was sent.
    Sent,
    /// A whole answer came; final.
    Answered,
    /// Given up after an attempt that may have run; final.
    Unknown,
    /// Given up while no attempt can have run; final.
    Refused,
}

/// An event that does not fit the state of the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the event does not fit a request in state {phase:?}")]
pub struct RequestEventError {
    /// The state.
    pub phase: RequestPhase,
}

/// One quick request with its attempts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestState {
    phase: RequestPhase,
    repeatable: bool,
    /// Attempts that were sent and have neither an answer nor a refusal.
    open: u32,
    /// Whether an attempt was lost after it was sent.
    may_have_run: bool,
}

impl RequestState {
    /// Creates the state of an accepted request.
    pub fn new(repeatable: bool) -> Self {
        Self {
            phase: RequestPhase::Received,
            repeatable,
            open: 0,
            may_have_run: false,
        }
    }

    /// Returns the state.
    pub fn phase(&self) -> RequestPhase {
        self.phase
    }

    /// Records that the request waits for a slot.
    ///
    /// # Errors
    ///
    /// Fails when the request is final or an attempt is under way.
    pub fn queue(&mut self) -> Result<(), RequestEventError> {
        self.check(!self.is_final() && self.open == 0 && self.may_send())?;
        self.phase = RequestPhase::Queued;
        Ok(())
    }

    /// Tells whether an attempt may be sent: always the first, a later one only when no earlier one
    /// can have run or the request is repeatable.
    pub fn may_send(&self) -> bool {
        !self.is_final() && (self.repeatable || (self.open == 0 && !self.may_have_run))
    }

    /// Records that an attempt is being sent. Called before the first byte leaves.
    ///
    /// # Errors
    ///
    /// Fails when no attempt may be sent.
    pub fn send(&mut self) -> Result<(), RequestEventError> {
        self.check(self.may_send())?;
        self.phase = RequestPhase::Sent;
        self.open += 1;
        Ok(())
    }

    /// Records that an attempt provably did not run: the endpoint refused it or never got it.
    ///
    /// # Errors
    ///
    /// Fails when no attempt is under way.
    pub fn attempt_refused(&mut self) -> Result<(), RequestEventError> {
        self.check(self.open > 0)?;
        self.open -= 1;
        Ok(())
    }

    /// Records that an attempt has no answer and may have run.
    ///
    /// # Errors
    ///
    /// Fails when no attempt is under way.
    pub fn attempt_lost(&mut self) -> Result<(), RequestEventError> {
        self.attempt_refused()?;
        self.may_have_run = true;
        Ok(())
    }

    /// Records a whole answer to an attempt; a second answer is ignored.
    ///
    /// # Errors
    ///
    /// Fails when no attempt is under way.
    pub fn attempt_answered(&mut self) -> Result<(), RequestEventError> {
        self.check(self.open > 0)?;
        self.open -= 1;
        self.may_have_run = true;
        if !self.is_final() {
            self.phase = RequestPhase::Answered;
        }
        Ok(())
    }

    /// Ends a request without an answer and returns what may be said of it.
    pub fn give_up(&mut self) -> Ran {
        if !self.is_final() {
            self.phase = if self.may_say_not_run() {
                RequestPhase::Refused
            } else {
                RequestPhase::Unknown
            };
        }
        match self.phase {
            RequestPhase::Answered => Ran::Yes,
            RequestPhase::Refused => Ran::No,
            _ => Ran::Unknown,
        }
    }

    /// Tells whether "not run" is true for certain.
    pub fn may_say_not_run(&self) -> bool {
        self.open == 0 && !self.may_have_run
    }

    fn is_final(&self) -> bool {
        use RequestPhase::{Answered, Refused, Unknown};
        matches!(self.phase, Answered | Unknown | Refused)
    }

    fn check(&self, allowed: bool) -> Result<(), RequestEventError> {
        let error = RequestEventError { phase: self.phase };
        allowed.then_some(()).ok_or(error)
    }
}
