#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "shuntjunction/state/request_types.h"

/// Records what happened in a run, and checks it against the promises.
namespace shuntjunction::state::history {

/// A run of something that must run at most once.
struct Executed
{
  std::string mKey;
  int mRequest = 0;
};

/// What a caller was told at the end of its request.
struct Told
{
  int mRequest = 0;
  bool mIsAnswer = false; ///< a whole answer
  RunState mRunState = RunState::kUnknown;
};

/// A token that a caller got.
struct TokenGot
{
  int mRequest = 0;
  std::string mText;
};

/// The end of a stream as its caller saw it.
struct StreamEnded
{
  int mRequest = 0;
  bool mLooksComplete = false;
};

/// A configuration that came into force in a process.
struct InForce
{
  std::string mProcess;
  std::uint64_t mVersion = 0; ///< ConfigVersion::Packed
};

/// An order that an engine obeyed.
struct Obeyed
{
  std::string mHolder;
  std::uint64_t mFence = 0;
  std::uint64_t mTakenAtLook = 0; ///< highest number at its holder's last look
};

/// Everything of one run, in the order in which it happened.
struct History
{
  std::vector<Executed> mExecuted;
  std::vector<Told> mTold;
  std::vector<TokenGot> mTokens;
  std::vector<StreamEnded> mStreams;
  std::vector<InForce> mInForce;
  std::vector<Obeyed> mObeyed;
  std::map<int, std::vector<std::string>> mExpectedTokens; ///< by request
};

/// Promises that were broken, one sentence each; empty when none.
using Violations = std::vector<std::string>;

/// A request marked as not repeatable runs at most once.
Violations
CheckAtMostOnce(const History& aHistory);

/// A refusal that says "not run" is true.
Violations
CheckNotRunIsTrue(const History& aHistory);

/// Every stream is in order and whole, or does not look whole; every token
/// belongs to the request that got it.
Violations
CheckStreams(const History& aHistory);

/// A configuration never reverts in any process.
Violations
CheckConfigNeverReverts(const History& aHistory);

/// An engine that checks fencing numbers never obeys an older one.
Violations
CheckFencesRise(const History& aHistory);

/// A fencing number is one holder's, and no order is given by who could see
/// that a later holder has taken the next one.
Violations
CheckOneHolderOrders(const History& aHistory);

} // namespace shuntjunction::state::history
