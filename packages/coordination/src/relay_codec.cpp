#include "shuntjunction/coordination/relay_codec.h"

namespace shuntjunction::coordination {

std::string_view
CallInfo::LastSharedPart() const
{
  return mParts.size() < 2 ? std::string_view()
                           : std::string_view(mParts[mParts.size() - 2].mId);
}

std::int64_t
CallInfo::SharedTokens() const
{
  std::int64_t tokens = 0;
  for (std::size_t i = 0; i + 1 < mParts.size(); ++i) {
    tokens += mParts[i].mTokens;
  }
  return tokens;
}

} // namespace shuntjunction::coordination
