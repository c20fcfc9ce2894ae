#include "shuntjunction/state/streams/stream_origin.h"

#include <algorithm>

namespace shuntjunction::state {

StreamLookup
JudgeOrigin(const OriginEvidence& aEvidence)
{
  StreamLookup judged;
  for (const auto& reply : aEvidence.mReplies) {
    const auto& found = reply.mLookup;
    if (found.mKnowledge == StreamKnowledge::kUnknown) {
      continue;
    }
    const bool isOther = judged.mKnowledge == StreamKnowledge::kKnown &&
                         judged.mVersion != found.mVersion;
    if (isOther || found.mKnowledge == StreamKnowledge::kAmbiguous) {
      return { StreamKnowledge::kAmbiguous, "" };
    }
    judged = found;
  }
  if (judged.mKnowledge == StreamKnowledge::kKnown) {
    return judged;
  }
  const auto& replies = aEvidence.mReplies;
  const bool isHistoryKnown =
    aEvidence.mIsHistoryKnown ||
    aEvidence.mStoredVersion == aEvidence.mOnlyVersion ||
    std::any_of(replies.begin(), replies.end(), [](const auto& aReply) {
      return aReply.mIsHistoryKnown;
    });
  const bool isAgreed =
    aEvidence.mOnlyVersion && isHistoryKnown &&
    std::all_of(replies.begin(), replies.end(), [&](const auto& aReply) {
      return aReply.mOnlyVersion == aEvidence.mOnlyVersion;
    });
  return isAgreed
           ? StreamLookup{ StreamKnowledge::kKnown, *aEvidence.mOnlyVersion }
           : StreamLookup{};
}

} // namespace shuntjunction::state
