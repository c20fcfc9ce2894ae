#pragma once

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "shuntjunction/coordination/relay_feed.h"

/// Private to the feed's own files: how it follows one kind of objects.
namespace shuntjunction::coordination {

/// Names the feed in log lines.
inline constexpr std::string_view kFeedComponent = "feed";

/// One kind of objects that is followed.
struct RelayFeed::Topic
{
  std::string mPrefix;
  state::Millis mWait{ 0 };
  state::Millis mPauseAfterChange{ 0 };
  bool mConfirmsConfig = false;
  /// Takes the whole list; whether it brought anything new.
  std::function<bool(const std::vector<state::RawObject>&)> mApplyList;
  std::function<void(const state::RawObject&)> mApplyChange;

  std::uint64_t mRevision = 0;
  bool mIsListed = false;
  bool mIsFollowed = false; ///< of the configuration: calls are made
  bool mIsLost = false;     ///< the last call failed
  /// Whether a silent watch shall be found out, see RelayFeed::CheckLists.
  bool mDetectsDeadWatch = false;
  state::ListFreshness mFreshness;
  bool mIsBeingChecked = false;
  /// When the call that waits was made; empty while none waits.
  std::optional<state::TimePoint> mAskedAt;
  bool mIsAbandoned = false; ///< that call was ended by this process itself
  state::Millis mPause{ 0 };
};

} // namespace shuntjunction::coordination
