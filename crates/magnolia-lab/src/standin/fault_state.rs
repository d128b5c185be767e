//! Faults of a stand-in, set by a flag at the start and by `PUT /faults` later.

use std::sync::{Arc, Mutex, PoisonError};

use magnolia_http::{HttpResponse, error_response, json_response};
use magnolia_types::ResultCode;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::StandinRequest;
use crate::history::{HistoryEvent, HistoryWriter};

/// Options that all stand-ins of a process share.
#[derive(Clone, Default)]
pub struct StandinOptions {
    /// Writer of the events.
    pub history: HistoryWriter,
    /// Seed of the random choice of requests that a fault with a percentage affects.
    pub seed: u64,
    /// Faults from the start, as the body of `PUT /faults`.
    pub faults: Option<String>,
}

/// The faults in force; `PUT /faults` replaces them as a whole.
pub struct FaultState<T> {
    /// Name of the stand-in in the history.
    party: Arc<str>,
    /// Faults from the start; the history records a return to them as `FaultCleared`.
    initial: T,
    faults: Mutex<T>,
    random: Mutex<ChaCha8Rng>,
    history: HistoryWriter,
}

impl<T: Clone + Default + PartialEq + Serialize + DeserializeOwned> FaultState<T> {
    /// Creates the faults of the stand-in `party`, with those of the options in force.
    ///
    /// # Errors
    ///
    /// Fails when the faults of the options are malformed.
    pub fn new(party: &str, options: &StandinOptions) -> Result<Self, std::io::Error> {
        let faults: T = match &options.faults {
            Some(text) => serde_json::from_str(text).map_err(std::io::Error::other)?,
            None => T::default(),
        };
        Ok(Self {
            party: party.into(),
            initial: faults.clone(),
            faults: Mutex::new(faults),
            random: Mutex::new(ChaCha8Rng::seed_from_u64(options.seed)),
            history: options.history.clone(),
        })
    }

    /// Returns a copy of the faults in force.
    pub fn get(&self) -> T {
        let faults = self.faults.lock().unwrap_or_else(PoisonError::into_inner);
        faults.clone()
    }

    /// Decides at random whether to inject a fault that has this probability.
    pub fn should_inject(&self, percent: u8) -> bool {
        let mut random = self.random.lock().unwrap_or_else(PoisonError::into_inner);
        percent > 0 && random.random_range(0..100) < percent
    }

    /// Answers `GET /faults` and `PUT /faults`.
    pub fn answer(&self, request: &StandinRequest) -> HttpResponse {
        if request.method == "PUT" {
            match serde_json::from_slice(&request.body) {
                Ok(faults) => self.set(faults),
                Err(error) => return error_response(ResultCode::BadRequest, &error.to_string()),
            }
        }
        json_response(200, &self.get())
    }

    fn set(&self, faults: T) {
        let party = Arc::clone(&self.party);
        self.history.write(if faults == self.initial {
            HistoryEvent::FaultCleared { party }
        } else {
            let fault = serde_json::to_string(&faults).unwrap_or_default().into();
            HistoryEvent::FaultSet { party, fault }
        });
        *self.faults.lock().unwrap_or_else(PoisonError::into_inner) = faults;
    }
}
