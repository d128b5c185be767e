//! Encoding of messages as MessagePack with field names.

use serde::Serialize;
use serde::de::DeserializeOwned;

/// A message could not be encoded or decoded.
#[derive(Debug, thiserror::Error)]
pub enum CodecError {
    /// Encoding failed.
    #[error("encode: {0}")]
    Encode(#[from] rmp_serde::encode::Error),
    /// The bytes are not a message of the expected type.
    #[error("decode: {0}")]
    Decode(#[from] rmp_serde::decode::Error),
}

/// Encodes a message.
///
/// # Errors
///
/// Fails when a value has no MessagePack form.
pub fn encode<T: Serialize>(message: &T) -> Result<Vec<u8>, CodecError> {
    Ok(rmp_serde::to_vec_named(message)?)
}

/// Decodes a message.
///
/// # Errors
///
/// Fails when the bytes are not a message of type `T`.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, CodecError> {
    Ok(rmp_serde::from_slice(bytes)?)
}
