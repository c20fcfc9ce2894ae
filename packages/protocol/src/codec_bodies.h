#pragma once

// Private to protocol: the bodies of frames, packed and unpacked.

#include <optional>

#include "frames_generated.h"
#include "shuntjunction/protocol/messages.h"

namespace shuntjunction::protocol {

/// Puts a message into a builder.
///
/// Thread safety: none for one builder.
flatbuffers::Offset<void>
PackBody(flatbuffers::FlatBufferBuilder& aBuilder, const Message& aMessage);

/// The message in a frame; empty when its kind is not known.
///
/// @pre  the frame was verified and has a body
/// Thread safety: pure.
std::optional<Message>
UnpackBody(const wire::Frame& aFrame);

} // namespace shuntjunction::protocol
