#include <algorithm>

#include "relay_attempt.h"
#include "shuntjunction/state/prefix_chain.h"

// The part of a run that keeps a stream at the software version that began it.

namespace shuntjunction::coordination {

using state::Millis;
using state::RouteKind;
using state::StreamKnowledge;
using transport::Task;

StreamKey
RelayRun::KeyOfStream() const
{
  const auto& began = mCall.mResumedRequestId.empty() ? mCall.mRequestId
                                                      : mCall.mResumedRequestId;
  return { mService,
           state::PlacementHash(began),
           mRoute->mTimeout + state::kStreamResumeTime };
}

Task<bool>
RelayRun::FindStreamOrigin()
{
  const bool isResumed =
    mRoute->mKind == RouteKind::kStream && mRoute->mIsResumable &&
    (!mCall.mResumeAfter.empty() || !mCall.mResumedRequestId.empty());
  if (!isResumed) {
    co_return true;
  }
  const auto found = co_await mCore->mStreams.Find(KeyOfStream());
  mCore->mDependencies.mMetrics.Count(
    "shuntjunction_relay_streams_resumed_total",
    { { "service", mService },
      { "origin",
        std::string(state::kStreamKnowledgeNames.Name(found.mKnowledge)) } });
  if (found.mKnowledge != StreamKnowledge::kKnown) {
    mLastProblem = "stream-version-unknown";
    mRetryAfter = std::nullopt;
    co_return false;
  }
  mStreamOrigin = StreamOrigin{ found.mVersion };
  mLastSoftwareVersion = found.mVersion;
  co_return true;
}

bool
RelayRun::HasEndpointOfOrigin() const
{
  const auto serving = mCore->mEndpoints.Serving(mService);
  const auto& tried = mTriedEndpoints;
  return std::any_of(
    serving.begin(), serving.end(), [&](const auto& aEndpoint) {
      return IsOfOrigin(*aEndpoint) &&
             std::find(tried.begin(), tried.end(), aEndpoint->mInfo.mId) ==
               tried.end();
    });
}

bool
RelayRun::IsOfOrigin(const RelayEndpoint& aEndpoint) const
{
  return !mStreamOrigin ||
         aEndpoint.mInfo.mSoftwareVersion == mStreamOrigin->mSoftwareVersion;
}

Task<void>
RelayRun::RecordStreamOrigin(Attempt& aAttempt)
{
  const auto& version = aAttempt.mSoftwareVersion;
  const bool isFirst = !std::exchange(mIsOriginRecorded, true);
  if (!mStreamOrigin) {
    mStreamOrigin = StreamOrigin{ version };
  } else if (version != mLastSoftwareVersion) {
    mCore->mDependencies.mMetrics.Count(
      "shuntjunction_relay_stream_version_changes_total",
      { { "service", mService } });
  }
  mLastSoftwareVersion = version;
  if (isFirst && mRoute->mIsResumable) {
    co_await mCore->mStreams.Record(KeyOfStream(),
                                    mStreamOrigin->mSoftwareVersion);
  }
}

} // namespace shuntjunction::coordination
