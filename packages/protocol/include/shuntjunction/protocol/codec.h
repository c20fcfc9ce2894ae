#pragma once

#include <array>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "shuntjunction/protocol/messages.h"
#include "shuntjunction/state/error.h"

/// Messages as bytes: FlatBuffers in length-prefixed frames.
namespace shuntjunction::protocol {

/// Bytes of the length that precedes each frame, little endian.
inline constexpr std::size_t kLengthBytes = 4;

/// Longest frame accepted; a peer that announces a longer one is closed.
inline constexpr std::size_t kMaxFrameBytes = 16UL * 1024 * 1024;

/// A message as a whole frame, its length included.
///
/// Thread safety: pure.
std::vector<std::uint8_t>
Encode(const Message& aMessage);

/// Length of the frame that follows a length prefix.
///
/// @return an error when it is zero or above kMaxFrameBytes
state::Result<std::size_t>
DecodeLength(std::span<const std::uint8_t, kLengthBytes> aPrefix,
             std::string_view aPeer);

/// A message of a whole frame, its length included, verified before use.
///
/// @pre  the frame's memory is aligned for 64-bit numbers
/// Thread safety: pure.
state::Result<Message>
Decode(std::span<const std::uint8_t> aFrame, std::string_view aPeer);

/// Name of the kind of a message, for logs and metrics.
std::string_view
MessageName(const Message& aMessage);

/// Proof that a side knows the secret, bound to both nonces and its part.
std::string
ConnectorProof(std::string_view aSecret,
               const Challenge& aChallenge,
               const Hello& aHello);
std::string
AcceptorProof(std::string_view aSecret,
              const Challenge& aChallenge,
              const Hello& aHello);

} // namespace shuntjunction::protocol
