#include "shuntjunction/state/streams/run_end.h"

#include <algorithm>

namespace shuntjunction::state {

namespace {

/// Whether an engine's list of its runs shows that it does not run a request.
bool
ShowsAbsence(const RunInQuestion& aRun,
             const RunsReply& aReply,
             TimePoint aAskedAt,
             const RunEndSettings& aSettings)
{
  // A request that was not read yet is neither running nor queued, and one that
  // began a moment ago may be missing in a reply that lags behind.
  const bool wasRunning =
    aRun.mBegunAt && aAskedAt - *aRun.mBegunAt >= aSettings.mMaxReplyLag;
  const auto& ids = aReply.mRequestIds;
  const bool isListed =
    std::find(ids.begin(), ids.end(), aRun.mRequestId) != ids.end();
  return wasRunning && !isListed && aReply.mQueued == 0;
}

} // namespace

RunEnd
EndOfRun(const RunInQuestion& aRun,
         const RunsReply& aReply,
         TimePoint aAskedAt,
         const RunEndSettings& aSettings)
{
  if (aAskedAt < aRun.mSentAt) {
    return RunEnd::kUnknown;
  }
  switch (aReply.mKind) {
    case RunsReplyKind::kNone:
      return RunEnd::kUnknown;
    case RunsReplyKind::kRefused:
      return RunEnd::kRefused;
    case RunsReplyKind::kOther:
      return RunEnd::kReplaced;
    case RunsReplyKind::kRuns:
      break;
  }
  if (aRun.mIncarnation.IsKnown() && aReply.mIncarnation.IsKnown() &&
      aRun.mIncarnation != aReply.mIncarnation) {
    return RunEnd::kReplaced;
  }
  return ShowsAbsence(aRun, aReply, aAskedAt, aSettings) ? RunEnd::kNotRunning
                                                         : RunEnd::kUnknown;
}

} // namespace shuntjunction::state
