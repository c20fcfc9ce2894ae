#pragma once

#include <array>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "shuntjunction/protocol/messages.h"
#include "shuntjunction/state/error.h"

/// Messages between processes, encoded as FlatBuffers in length-prefixed
/// frames.
namespace shuntjunction::protocol {

/// Size of the little-endian length prefix of each frame.
inline constexpr std::size_t kLengthBytes = 4;

/// Largest accepted frame. The connection to a peer that announces a larger
/// one is closed.
inline constexpr std::size_t kMaxFrameBytes = 16UL * 1024 * 1024;

/// Encodes a message as a frame, including the length prefix.
///
/// Thread safety: pure.
std::vector<std::uint8_t>
Encode(const Message& aMessage);

/// Reads the length of a frame from its prefix.
///
/// @return an error when the length is zero or above kMaxFrameBytes
state::Result<std::size_t>
DecodeLength(std::span<const std::uint8_t, kLengthBytes> aPrefix,
             std::string_view aPeer);

/// Verifies and decodes a complete frame, including its length prefix.
///
/// @pre  the frame's memory is aligned for 64-bit numbers
/// Thread safety: pure.
state::Result<Message>
Decode(std::span<const std::uint8_t> aFrame, std::string_view aPeer);

/// Name of a message's type, for logs and metrics.
std::string_view
MessageName(const Message& aMessage);

/// HMAC by which the connecting side proves that it knows the shared secret.
///
/// It covers the role, both nonces, and the connector's version and node name.
std::string
ConnectorProof(std::string_view aSecret,
               const Challenge& aChallenge,
               const Hello& aHello);

/// The same for the accepting side.
std::string
AcceptorProof(std::string_view aSecret,
              const Challenge& aChallenge,
              const Hello& aHello);

} // namespace shuntjunction::protocol
