#pragma once

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "shuntjunction/coordination/relay_feed.h"

/// Private to the feed's own files: how it follows one kind of object.
namespace shuntjunction::coordination {

/// Component name of the feed in log lines.
inline constexpr std::string_view kFeedComponent = "feed";

/// One kind of object that is followed.
struct RelayFeed::Topic
{
  std::string mPrefix;
  state::Millis mWait{ 0 };
  state::Millis mPauseAfterChange{ 0 };
  bool mConfirmsConfig = false;
  /// Applies the full list; returns whether it brought anything new.
  std::function<bool(const std::vector<state::RawObject>&)> mApplyList;
  std::function<void(const state::RawObject&)> mApplyChange;

  std::uint64_t mRevision = 0;
  bool mIsListed = false;
  bool mIsFollowed = false; ///< calls are being made
  bool mIsLost = false;     ///< the last call failed
  /// Whether a watch that no longer reports changes is detected, see
  /// RelayFeed::CheckLists.
  bool mDetectsDeadWatch = false;
  state::ListFreshness mFreshness;
  bool mIsBeingChecked = false;
  /// When the pending call was made; empty while there is none.
  std::optional<state::TimePoint> mRequestedAt;
  /// For which the store may leave the pending call unanswered.
  state::Millis mAllowedWait{ 0 };
  bool mIsAbandoned = false; ///< that call was cancelled by this process itself
  state::Millis mPause{ 0 };
  bool mIsMirrored = false; ///< the last answer came from a watcher's mirror
};

} // namespace shuntjunction::coordination
