#include "shuntjunction/state/request_digest.h"

#include "shuntjunction/state/digest.h"

namespace shuntjunction::state {

namespace {

/// 128 bits of the digest are kept: enough against made collisions of 2^64
/// tries, and half the bytes in each line and message.
constexpr std::size_t kDigits = 32;

} // namespace

RequestDigest::RequestDigest(const RequestContent& aContent)
{
  std::string text;
  // None of the fields before the body may hold a line's end.
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

} // namespace shuntjunction::state
