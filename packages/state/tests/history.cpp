#include "history.h"

#include <algorithm>

namespace shuntjunction::state::history {

Violations
CheckAtMostOnce(const History& aHistory)
{
  Violations violations;
  std::map<std::string, int> runs;
  for (const auto& executed : aHistory.mExecuted) {
    if (++runs[executed.mKey] == 2) {
      violations.push_back("key " + executed.mKey + " ran twice");
    }
  }
  return violations;
}

Violations
CheckNotRunIsTrue(const History& aHistory)
{
  Violations violations;
  for (const auto& told : aHistory.mTold) {
    if (told.mIsAnswer || told.mRunState != RunState::kNotRun) {
      continue;
    }
    for (const auto& executed : aHistory.mExecuted) {
      if (executed.mRequest == told.mRequest) {
        violations.push_back("request " + std::to_string(told.mRequest) +
                             " ran and was told that it did not");
      }
    }
  }
  return violations;
}

Violations
CheckStreams(const History& aHistory)
{
  Violations violations;
  std::map<int, std::size_t> got;
  for (const auto& token : aHistory.mTokens) {
    const auto right = aHistory.mExpectedTokens.find(token.mRequest);
    const std::size_t at = got[token.mRequest]++;
    if (right == aHistory.mExpectedTokens.end() || at >= right->second.size() ||
        right->second[at] != token.mText) {
      violations.push_back("request " + std::to_string(token.mRequest) +
                           " got a wrong token at " + std::to_string(at));
    }
  }
  for (const auto& stream : aHistory.mStreams) {
    const auto right = aHistory.mExpectedTokens.find(stream.mRequest);
    const std::size_t all =
      right == aHistory.mExpectedTokens.end() ? 0 : right->second.size();
    if (stream.mLooksComplete && got[stream.mRequest] != all) {
      violations.push_back("request " + std::to_string(stream.mRequest) +
                           " got a cut stream that looks whole");
    }
  }
  return violations;
}

Violations
CheckConfigNeverReverts(const History& aHistory)
{
  Violations violations;
  std::map<std::string, std::uint64_t> newest;
  for (const auto& inForce : aHistory.mInForce) {
    std::uint64_t& version = newest[inForce.mProcess];
    if (inForce.mVersion < version) {
      violations.push_back("the configuration of " + inForce.mProcess +
                           " went back");
    }
    version = inForce.mVersion;
  }
  return violations;
}

Violations
CheckFencesRise(const History& aHistory)
{
  Violations violations;
  std::uint64_t highest = 0;
  for (const auto& order : aHistory.mObeyed) {
    if (order.mFence < highest) {
      violations.push_back("fencing number " + std::to_string(order.mFence) +
                           " was obeyed after " + std::to_string(highest));
    }
    highest = std::max(highest, order.mFence);
  }
  return violations;
}

Violations
CheckOneHolderOrders(const History& aHistory)
{
  Violations violations;
  std::map<std::uint64_t, std::string> holders;
  for (const auto& order : aHistory.mObeyed) {
    const auto [holder, isNew] =
      holders.try_emplace(order.mFence, order.mHolder);
    if (!isNew && holder->second != order.mHolder) {
      violations.push_back("two holders of " + std::to_string(order.mFence));
    }
    if (order.mTakenAtLook > order.mFence) {
      violations.push_back(order.mHolder + " ordered with " +
                           std::to_string(order.mFence) + " though it saw " +
                           std::to_string(order.mTakenAtLook));
    }
  }
  return violations;
}

} // namespace shuntjunction::state::history
