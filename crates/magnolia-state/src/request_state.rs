//! State machine of a quick request. It alone decides whether another attempt may be sent, and
//! whether the caller may be told that the request did not run.

use magnolia_types::Ran;

/// Phase of a quick request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestPhase {
    /// Received from the caller.
    Received,
    /// Waiting for a slot.
    Queued,
    /// At least one attempt was sent.
    Sent,
    /// A complete answer was received; final.
    Answered,
    /// Given up after an attempt that may have run; final.
    Unknown,
    /// Given up when no attempt can have run; final.
    Refused,
}

/// An event that is not possible in the current phase of the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("event not possible for a request in phase {phase:?}")]
pub struct RequestEventError {
    /// The current phase.
    pub phase: RequestPhase,
}

/// State of one quick request and its attempts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestState {
    phase: RequestPhase,
    repeatable: bool,
    /// Number of attempts that were sent and have not ended with an answer, a refusal or a loss.
    in_flight: u32,
    /// Whether an ended attempt ran or may have run.
    may_have_run: bool,
}

impl RequestState {
    /// Creates the state of a received request.
    pub fn new(repeatable: bool) -> Self {
        Self {
            phase: RequestPhase::Received,
            repeatable,
            in_flight: 0,
            may_have_run: false,
        }
    }

    /// Returns the current phase.
    pub fn phase(&self) -> RequestPhase {
        self.phase
    }

    /// Records that the request is waiting for a slot.
    ///
    /// # Errors
    ///
    /// Fails when the request is final, an attempt is in flight, or no attempt may be sent.
    pub fn queue(&mut self) -> Result<(), RequestEventError> {
        self.ensure(!self.is_final() && self.in_flight == 0 && self.may_send())?;
        self.phase = RequestPhase::Queued;
        Ok(())
    }

    /// Returns whether an attempt may be sent: the first one always, a later one only if the
    /// request is repeatable or no earlier attempt can have run.
    pub fn may_send(&self) -> bool {
        !self.is_final() && (self.repeatable || (self.in_flight == 0 && !self.may_have_run))
    }

    /// Records that an attempt is being sent. Has to be called before the first byte is sent.
    ///
    /// # Errors
    ///
    /// Fails when no attempt may be sent.
    pub fn send(&mut self) -> Result<(), RequestEventError> {
        self.ensure(self.may_send())?;
        self.phase = RequestPhase::Sent;
        self.in_flight += 1;
        Ok(())
    }

    /// Records that an attempt provably did not run: the endpoint refused it or never received it.
    ///
    /// # Errors
    ///
    /// Fails when no attempt is in flight.
    pub fn attempt_refused(&mut self) -> Result<(), RequestEventError> {
        self.ensure(self.in_flight > 0)?;
        self.in_flight -= 1;
        Ok(())
    }

    /// Records that an attempt ended without an answer and may have run.
    ///
    /// # Errors
    ///
    /// Fails when no attempt is in flight.
    pub fn attempt_lost(&mut self) -> Result<(), RequestEventError> {
        self.attempt_refused()?;
        self.may_have_run = true;
        Ok(())
    }

    /// Records a complete answer to an attempt. Does not change the phase of a final request.
    ///
    /// # Errors
    ///
    /// Fails when no attempt is in flight.
    pub fn attempt_answered(&mut self) -> Result<(), RequestEventError> {
        self.ensure(self.in_flight > 0)?;
        self.in_flight -= 1;
        self.may_have_run = true;
        if !self.is_final() {
            self.phase = RequestPhase::Answered;
        }
        Ok(())
    }

    /// Gives the request up unless it is final, and returns whether it ran.
    pub fn give_up(&mut self) -> Ran {
        if !self.is_final() {
            self.phase = if self.cannot_have_run() {
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

    /// Returns whether it is certain that no attempt has run or will run.
    pub fn cannot_have_run(&self) -> bool {
        self.in_flight == 0 && !self.may_have_run
    }

    fn is_final(&self) -> bool {
        use RequestPhase::{Answered, Refused, Unknown};
        matches!(self.phase, Answered | Unknown | Refused)
    }

    fn ensure(&self, allowed: bool) -> Result<(), RequestEventError> {
        let error = RequestEventError { phase: self.phase };
        allowed.then_some(()).ok_or(error)
    }
}
