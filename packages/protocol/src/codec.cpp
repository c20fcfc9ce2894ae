#include "shuntjunction/protocol/codec.h"

#include "codec_bodies.h"
#include "shuntjunction/state/digest.h"

namespace shuntjunction::protocol {

namespace {

using flatbuffers::FlatBufferBuilder;

constexpr std::size_t kSmallBuffer = 256;

/// Names of the messages, in the order of Message.
constexpr std::array<std::string_view, 28> kMessageNames{
  "challenge",   "hello",        "welcome",          "probe",
  "probe-reply", "submit",       "started",          "tokens",
  "finished",    "refused",      "failed",           "cancel",
  "credit",      "leaving",      "snapshot-request", "snapshot-reply",
  "engine-news", "part-reading", "relay-waiting",    "crash-reports",
  "limit-ask",   "limit-grant",  "limit-return",     "rate-report",
  "rate-news",   "place-ask",    "place-grant",      "place-return"
};
static_assert(std::variant_size_v<Message> == kMessageNames.size());
static_assert(static_cast<std::size_t>(wire::Body::MAX) ==
              kMessageNames.size());

std::string
ProofText(std::string_view aPart,
          const Challenge& aChallenge,
          const Hello& aHello)
{
  return std::string(aPart) + "/" + std::to_string(aHello.mVersion) + "/" +
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
                       "a frame of " + std::to_string(length) +
                         " bytes; allowed is 1 to " +
                         std::to_string(kMaxFrameBytes));
  }
  return length;
}

state::Result<Message>
Decode(std::span<const std::uint8_t> aFrame, std::string_view aPeer)
{
  const auto refuse = [&](std::string_view aWhy) {
    return state::Fail(
      state::ErrorCode::kProtocol, "frame.decode", aPeer, aWhy);
  };
  flatbuffers::Verifier verifier(aFrame.data(), aFrame.size());
  if (!verifier.VerifySizePrefixedBuffer<wire::Frame>(nullptr)) {
    return refuse("the frame is malformed");
  }
  const auto* frame =
    flatbuffers::GetSizePrefixedRoot<wire::Frame>(aFrame.data());
  if (frame->body() == nullptr) {
    return refuse("the frame has no body");
  }
  auto message = UnpackBody(*frame);
  if (!message) {
    return refuse("the frame is of an unknown kind");
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
