#pragma once

// Internal to this library: conversion between messages and frame bodies.

#include <optional>

#include "frames_generated.h"
#include "shuntjunction/protocol/messages.h"

namespace shuntjunction::protocol {

/// Serializes a message into a builder.
///
/// Thread safety: none for one builder.
flatbuffers::Offset<void>
PackBody(flatbuffers::FlatBufferBuilder& aBuilder, const Message& aMessage);

/// Reads the message of a frame; empty when its type is unknown.
///
/// @pre  the frame was verified and has a body
/// Thread safety: pure.
std::optional<Message>
UnpackBody(const wire::Frame& aFrame);

} // namespace shuntjunction::protocol
