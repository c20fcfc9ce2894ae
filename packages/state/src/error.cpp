#include "shuntjunction/state/error.h"

namespace shuntjunction::state {

std::string
Error::Describe() const
{
  std::string line(kErrorCodeNames.Name(mCode));
  line += " at " + mStep;
  if (!mPeer.empty()) {
    line += " with " + mPeer;
  }
  return line + ": " + mText;
}

tl::unexpected<Error>
Fail(ErrorCode aCode,
     std::string_view aStep,
     std::string_view aPeer,
     std::string_view aText)
{
  return tl::unexpected<Error>(
    Error{ aCode, std::string(aStep), std::string(aPeer), std::string(aText) });
}

} // namespace shuntjunction::state
