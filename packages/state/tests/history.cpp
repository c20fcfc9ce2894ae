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
      violations.push_back("key " + executed.mKey + " was executed twice");
    }
  }
  return violations;
}

Violations
CheckNotRunReports(const History& aHistory)
{
  Violations violations;
  for (const auto& outcome : aHistory.mReportedOutcomes) {
    if (outcome.mIsAnswer || outcome.mRunState != RunState::kNotRun) {
      continue;
    }
    for (const auto& executed : aHistory.mExecuted) {
      if (executed.mRequest == outcome.mRequest) {
        violations.push_back("request " + std::to_string(outcome.mRequest) +
                             " ran but was reported as not run");
      }
    }
  }
  return violations;
}

Violations
CheckStreams(const History& aHistory)
{
  Violations violations;
  std::map<int, std::size_t> received;
  for (const auto& token : aHistory.mTokens) {
    const auto expected = aHistory.mExpectedTokens.find(token.mRequest);
    const std::size_t at = received[token.mRequest]++;
    if (expected == aHistory.mExpectedTokens.end() ||
        at >= expected->second.size() || expected->second[at] != token.mText) {
      violations.push_back("request " + std::to_string(token.mRequest) +
                           " received a wrong token at " + std::to_string(at));
    }
  }
  for (const auto& stream : aHistory.mStreams) {
    const auto expected = aHistory.mExpectedTokens.find(stream.mRequest);
    const std::size_t all =
      expected == aHistory.mExpectedTokens.end() ? 0 : expected->second.size();
    if (stream.mLooksComplete && received[stream.mRequest] != all) {
      violations.push_back("request " + std::to_string(stream.mRequest) +
                           " received a truncated stream that looks complete");
    }
  }
  return violations;
}

Violations
CheckConfigNeverReverts(const History& aHistory)
{
  Violations violations;
  std::map<std::string, std::uint64_t> newest;
  for (const auto& config : aHistory.mActiveConfigs) {
    std::uint64_t& version = newest[config.mProcess];
    if (config.mVersion < version) {
      violations.push_back("the configuration of " + config.mProcess +
                           " reverted");
    }
    version = config.mVersion;
  }
  return violations;
}

Violations
CheckFencesNeverDecrease(const History& aHistory)
{
  Violations violations;
  std::uint64_t highest = 0;
  for (const auto& order : aHistory.mExecutedOrders) {
    if (order.mFence < highest) {
      violations.push_back("fencing token " + std::to_string(order.mFence) +
                           " was accepted after " + std::to_string(highest));
    }
    highest = std::max(highest, order.mFence);
  }
  return violations;
}

Violations
CheckFenceHolders(const History& aHistory)
{
  Violations violations;
  std::map<std::uint64_t, std::string> holders;
  for (const auto& order : aHistory.mExecutedOrders) {
    const auto [holder, isNew] =
      holders.try_emplace(order.mFence, order.mHolder);
    if (!isNew && holder->second != order.mHolder) {
      violations.push_back("two holders of fencing token " +
                           std::to_string(order.mFence));
    }
    if (order.mLastSeenFence > order.mFence) {
      violations.push_back(order.mHolder +
                           " sent an order with fencing token " +
                           std::to_string(order.mFence) + " though it saw " +
                           std::to_string(order.mLastSeenFence));
    }
  }
  return violations;
}

} // namespace shuntjunction::state::history
