#include "shuntjunction/state/request_digest.h"

#include "shuntjunction/state/digest.h"

namespace shuntjunction::state {

namespace {

/// The digest is truncated to 128 bits: forging a collision takes 2^64
/// attempts, and log lines and messages carry half the bytes.
constexpr std::size_t kDigits = 32;

} // namespace

RequestDigest::RequestDigest(const RequestContent& aContent)
{
  std::string text;
  // The fields before the body can't contain a line break, so that different
  // contents yield different texts.
  for (const auto field : { aContent.mMethod,
                            aContent.mHost,
                            aContent.mTarget,
                            aContent.mTeam,
                            aContent.mBody }) {
    text += field;
    text += '\n';
  }
  mText = Sha256Hex(text).substr(0, kDigits);
}

std::optional<RequestDigest>
RequestDigest::Parse(std::string_view aText)
{
  const bool isDigest =
    aText.size() == kDigits &&
    aText.find_first_not_of("0123456789abcdef") == std::string_view::npos;
  if (!isDigest) {
    return std::nullopt;
  }
  RequestDigest digest;
  digest.mText = aText;
  return digest;
}

RequestDigest
PartDigest(std::string_view aModel,
           std::string_view aPart,
           std::string_view aIsolatedTeam)
{
  // No method of a request contains a space.
  return RequestDigest({ "prompt part", aModel, aPart, aIsolatedTeam, {} });
}

RequestDigest
PartOfTeamDigest(const RequestDigest& aPart, std::uint64_t aTeam)
{
  return RequestDigest(
    { "prompt part of team", aPart.Text(), std::to_string(aTeam), {}, {} });
}

} // namespace shuntjunction::state
