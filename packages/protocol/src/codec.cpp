#include "shuntjunction/protocol/codec.h"

#include "codec_bodies.h"
#include "shuntjunction/state/digest.h"

namespace shuntjunction::protocol {

namespace {

using flatbuffers::FlatBufferBuilder;

constexpr std::size_t kSmallBuffer = 256;

/// Names of the messages, in the order of the Message variant.
constexpr std::array<std::string_view, 35> kMessageNames{
  "challenge",      "hello",          "welcome",          "probe",
  "probe-reply",    "submit",         "started",          "tokens",
  "finished",       "refused",        "failed",           "cancel",
  "credit",         "leaving",        "snapshot-request", "snapshot-reply",
  "engine-news",    "part-reading",   "relay-waiting",    "crash-reports",
  "limit-ask",      "limit-grant",    "limit-return",     "rate-report",
  "rate-news",      "place-ask",      "place-grant",      "place-return",
  "rollout-report", "rollout-notice", "stream-record",    "stream-query",
  "stream-reply",   "weights-query",  "weights-reply"
};
static_assert(std::variant_size_v<Message> == kMessageNames.size());
static_assert(static_cast<std::size_t>(wire::Body::MAX) ==
              kMessageNames.size());

std::string
ProofText(std::string_view aRole,
          const Challenge& aChallenge,
          const Hello& aHello)
{
  return std::string(aRole) + "/" + std::to_string(aHello.mVersion) + "/" +
         aChallenge.mNonce + "/" + aHello.mNonce + "/" + aHello.mNode;
}

} // namespace

std::vector<std::uint8_t>
Encode(const Message& aMessage)
{
  FlatBufferBuilder builder(kSmallBuffer);
  const auto body = PackBody(builder, aMessage);
  const auto type = static_cast<wire::Body>(aMessage.index() + 1);
  wire::FinishSizePrefixedFrameBuffer(builder,
                                      wire::CreateFrame(builder, type, body));
  return { builder.GetBufferPointer(),
           builder.GetBufferPointer() + builder.GetSize() };
}

state::Result<std::size_t>
DecodeLength(std::span<const std::uint8_t, kLengthBytes> aPrefix,
             std::string_view aPeer)
{
  const auto length = flatbuffers::ReadScalar<std::uint32_t>(aPrefix.data());
  if (length == 0 || length > kMaxFrameBytes) {
    return state::Fail(state::ErrorCode::kTooLarge,
                       "frame.length",
                       aPeer,
                       "frame length of " + std::to_string(length) +
                         " bytes is not within 1 to " +
                         std::to_string(kMaxFrameBytes));
  }
  return length;
}

state::Result<Message>
Decode(std::span<const std::uint8_t> aFrame, std::string_view aPeer)
{
  const auto refuse = [&](std::string_view aReason) {
    return state::Fail(
      state::ErrorCode::kProtocol, "frame.decode", aPeer, aReason);
  };
  flatbuffers::Verifier verifier(aFrame.data(), aFrame.size());
  if (!verifier.VerifySizePrefixedBuffer<wire::Frame>(nullptr)) {
    return refuse("malformed frame");
  }
  const auto* frame =
    flatbuffers::GetSizePrefixedRoot<wire::Frame>(aFrame.data());
  if (frame->body() == nullptr) {
    return refuse("frame without a body");
  }
  auto message = UnpackBody(*frame);
  if (!message) {
    return refuse("unknown message type");
  }
  return std::move(*message);
}

std::string_view
MessageName(const Message& aMessage)
{
  return kMessageNames[aMessage.index()];
}

std::string
ConnectorProof(std::string_view aSecret,
               const Challenge& aChallenge,
               const Hello& aHello)
{
  return state::HmacSha256Hex(aSecret,
                              ProofText("connect", aChallenge, aHello));
}

std::string
AcceptorProof(std::string_view aSecret,
              const Challenge& aChallenge,
              const Hello& aHello)
{
  return state::HmacSha256Hex(aSecret, ProofText("accept", aChallenge, aHello));
}

} // namespace shuntjunction::protocol
