#include "shuntjunction/state/streams/run_end.h"

#include <algorithm>

namespace shuntjunction::state {

namespace {

bool
IsListed(const RunInQuestion& aRun, const RunsReply& aReply)
{
  const auto& ids = aReply.mRequestIds;
  return std::find(ids.begin(), ids.end(), aRun.mRequestId) != ids.end();
}

} // namespace

void
RunInQuestion::NoteReply(const RunsReply& aReply, TimePoint aAskedAt)
{
  const bool isRuns = aReply.mKind == RunsReplyKind::kRuns;
  if (isRuns && aAskedAt >= mSentAt && IsListed(*this, aReply)) {
    mListedBy = aReply.mIncarnation;
  }
}

RunEnd
EndOfRun(const RunInQuestion& aRun, const RunsReply& aReply, TimePoint aAskedAt)
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
  if (!aRun.mListedBy || IsListed(aRun, aReply)) {
    return RunEnd::kUnknown;
  }
  if (aRun.mListedBy->IsKnown() && aReply.mIncarnation.IsKnown() &&
      *aRun.mListedBy != aReply.mIncarnation) {
    return RunEnd::kReplaced;
  }
  // Preempted runs are among the queued requests.
  return aReply.mQueued == 0 ? RunEnd::kNotRunning : RunEnd::kUnknown;
}

} // namespace shuntjunction::state
