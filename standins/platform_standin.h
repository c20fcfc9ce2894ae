#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <random>
#include <string>

#include "shuntjunction/transport/http_server.h"

/// In-memory implementation of the platform's object API with fault injection.
namespace shuntjunction::standins {

/// Faults that the platform stand-in injects.
struct PlatformFaults
{
  bool mIsDown = false;         ///< every call returns 503 without effect
  bool mIsHung = false;         ///< no call returns
  bool mIsSecondaryCut = false; ///< no call via the secondary address returns
  std::int64_t mSlowMs = 0;     ///< delay of every call
  double mLostResponses = 0;    ///< share of writes aborted after their effect
  double mLostWrites = 0;       ///< share of writes aborted without effect
  std::uint64_t mStaleBy = 0;   ///< revisions by which lists lag behind
  std::int64_t mWeightsPerSecond = 0; ///< limit of weight fetches; 0: none
};

/// Serves versioned objects, watches, the list of instances and weights.
///
///     GET    /v1/objects?prefix=P             list
///     GET    /v1/objects/KEY                  read, 404 when absent
///     PUT    /v1/objects/KEY?if_revision=N    409 when the revision differs
///     DELETE /v1/objects/KEY?if_revision=N
///     GET    /v1/watch?prefix=P&after=N&wait_ms=M   410 when N was compacted
///     GET    /v1/instances?after=N&wait_ms=M
///     PUT    /v1/instances/NAME               registers an instance
///     DELETE /v1/instances/NAME               removes an instance
///     GET    /v1/weights/MODEL/VERSION        429 above the limit
///     POST   /faults                          PlatformFaults as JSON
///     POST   /restore?revision=N              restores an older revision
///     GET    /counts                          number of calls by kind
class PlatformStandin final : public transport::HttpHandler
{
public:
  explicit PlatformStandin(std::uint64_t aSeed);

  transport::Task<void> Handle(transport::HttpExchange& aExchange) override;
  transport::HttpResponse Refusal(unsigned aStatus,
                                  std::string_view aText) override;

  /// Serves a call.
  ///
  /// @param aIsSecondary  whether it came via the secondary address
  transport::Task<void> Serve(transport::HttpExchange& aExchange,
                              bool aIsSecondary);

  /// Active faults; may be changed at any time.
  PlatformFaults& Faults() { return mFaults; }

private:
  struct Object
  {
    std::uint64_t mRevision = 0;
    std::string mValue;
  };
  struct Change
  {
    std::uint64_t mRevision = 0;
    std::string mKey;
    std::string mValue; ///< empty for a deletion
  };
  using Objects = std::map<std::string, Object>;

  transport::Task<void> WaitWhileCut(bool aIsSecondary);
  transport::Task<transport::HttpResponse> Dispatch(
    const transport::HttpRequest& aRequest);
  transport::HttpResponse ListObjects(const transport::HttpRequest& aRequest);
  transport::HttpResponse ReadObject(const std::string& aKey);
  transport::HttpResponse WriteObject(const transport::HttpRequest& aRequest,
                                      const std::string& aKey);
  transport::Task<transport::HttpResponse> WatchObjects(
    const transport::HttpRequest& aRequest);
  transport::Task<transport::HttpResponse> ListInstances(
    const transport::HttpRequest& aRequest);
  transport::HttpResponse ChangeInstance(
    const transport::HttpRequest& aRequest);
  transport::HttpResponse FetchWeights();
  transport::HttpResponse SetFaults(const transport::HttpRequest& aRequest);
  transport::HttpResponse Restore(const transport::HttpRequest& aRequest);
  Objects ObjectsAt(std::uint64_t aRevision) const;
  bool Chance(double aShare);

  PlatformFaults mFaults;
  Objects mObjects;
  std::deque<Change> mChanges;
  std::uint64_t mRevision = 0;
  std::uint64_t mRestoreCount = 0; ///< incremented to end pending watches
  std::map<std::string, std::string> mInstances;
  std::uint64_t mInstancesRevision = 1;
  std::map<std::string, std::uint64_t> mCounts;
  double mWeightTokens = 0;
  state::TimePoint mWeightsAt;
  std::mt19937_64 mRandom;
};

/// Secondary address of the platform, which can be cut off separately.
///
/// While it is cut off, requests and responses on it are delayed. A delayed
/// request takes effect once the address is restored, even if its caller has
/// timed out by then.
class SecondaryAddress final : public transport::HttpHandler
{
public:
  /// @param aPlatform  must outlive this object
  explicit SecondaryAddress(PlatformStandin& aPlatform)
    : mPlatform(aPlatform)
  {
  }

  transport::Task<void> Handle(transport::HttpExchange& aExchange) override;
  transport::HttpResponse Refusal(unsigned aStatus,
                                  std::string_view aText) override;

private:
  PlatformStandin& mPlatform;
};

} // namespace shuntjunction::standins
