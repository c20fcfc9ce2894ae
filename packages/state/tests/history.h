#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "shuntjunction/state/request_types.h"

/// Records the events of a run and checks them against the guarantees.
namespace shuntjunction::state::history {

/// An execution of something that must run at most once.
struct Execution
{
  std::string mKey;
  int mRequest = 0;
};

/// What a caller was told at the end of its request.
struct ReportedOutcome
{
  int mRequest = 0;
  bool mIsAnswer = false; ///< a complete response
  RunState mRunState = RunState::kUnknown;
};

/// A token that a caller received.
struct ReceivedToken
{
  int mRequest = 0;
  std::string mText;
};

/// The end of a stream as its caller saw it.
struct StreamEnd
{
  int mRequest = 0;
  bool mLooksComplete = false;
};

/// A configuration that became active in a process.
struct ActiveConfig
{
  std::string mProcess;
  std::uint64_t mVersion = 0; ///< ConfigVersion::Packed
};

/// An order that an engine executed.
struct ExecutedOrder
{
  std::string mHolder;
  std::uint64_t mFence = 0;
  std::uint64_t mLastSeenFence = 0; ///< highest token at the holder's last read
};

/// All events of one run, in the order in which they happened.
struct History
{
  std::vector<Execution> mExecuted;
  std::vector<ReportedOutcome> mReportedOutcomes;
  std::vector<ReceivedToken> mTokens;
  std::vector<StreamEnd> mStreams;
  std::vector<ActiveConfig> mActiveConfigs;
  std::vector<ExecutedOrder> mExecutedOrders;
  std::map<int, std::vector<std::string>> mExpectedTokens; ///< by request
};

/// Guarantees that were violated, one sentence each; empty when none.
using Violations = std::vector<std::string>;

/// A request marked as non-repeatable runs at most once.
Violations
CheckAtMostOnce(const History& aHistory);

/// A request that was refused as "not run" did not run.
Violations
CheckNotRunReports(const History& aHistory);

/// Every stream is in order and complete, or does not look complete; every
/// token belongs to the request that received it.
Violations
CheckStreams(const History& aHistory);

/// A configuration never reverts in any process.
Violations
CheckConfigNeverReverts(const History& aHistory);

/// An engine that checks fencing tokens never executes an order with an older
/// one.
Violations
CheckFencesNeverDecrease(const History& aHistory);

/// A fencing token belongs to one holder, and no holder sends an order if it
/// could see that a later holder has acquired the next one.
Violations
CheckFenceHolders(const History& aHistory);

} // namespace shuntjunction::state::history
