#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <random>
#include <string>

#include "shuntjunction/transport/http_server.h"

/// The platform's object API, in memory, with faults on demand.
namespace shuntjunction::standins {

/// What is wrong with the platform at present.
struct PlatformFaults
{
  bool mIsDown = false;       ///< every call is answered 503, without effect
  bool mIsHung = false;       ///< no call is answered
  bool mIsFarCut = false;     ///< no call through the far door is answered
  std::int64_t mSlowMs = 0;   ///< added to every call
  double mLostAnswers = 0;    ///< share of writes cut off after their effect
  double mLostWrites = 0;     ///< share of writes cut off before it
  std::uint64_t mStaleBy = 0; ///< lists and reads are so many revisions old
  std::int64_t mWeightsPerSecond = 0; ///< limit of the weight store; 0 none
};

/// Objects with revisions, watches, the list of instances, the weight store.
///
///     GET    /v1/objects?prefix=P             list
///     GET    /v1/objects/KEY                  read, 404 when absent
///     PUT    /v1/objects/KEY?if_revision=N    409 when the revision differs
///     DELETE /v1/objects/KEY?if_revision=N
///     GET    /v1/watch?prefix=P&after=N&wait_ms=M   410 when N is forgotten
///     GET    /v1/instances?after=N&wait_ms=M
///     PUT    /v1/instances/NAME               the platform's own hand
///     DELETE /v1/instances/NAME
///     GET    /v1/weights/MODEL/VERSION        429 above the limit
///     POST   /faults                          PlatformFaults as JSON
///     POST   /restore?revision=N              back to an older state
///     GET    /counts                          calls so far, by kind
class PlatformStandin final : public transport::HttpHandler
{
public:
  explicit PlatformStandin(std::uint64_t aSeed);

  transport::Task<void> Handle(transport::HttpExchange& aExchange) override;
  transport::HttpResponse Refusal(unsigned aStatus,
                                  std::string_view aText) override;

  /// Serves a call that came through the far door or not.
  transport::Task<void> Serve(transport::HttpExchange& aExchange, bool aIsFar);

  /// Faults in force; may be changed at any time.
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
    std::string mValue; ///< empty when deleted
  };
  using Objects = std::map<std::string, Object>;

  transport::Task<void> HeldUp(bool aIsFar);
  transport::Task<transport::HttpResponse> Answer(
    const transport::HttpRequest& aRequest);
  transport::HttpResponse AnswerList(const transport::HttpRequest& aRequest);
  transport::HttpResponse AnswerRead(const std::string& aKey);
  transport::HttpResponse AnswerWrite(const transport::HttpRequest& aRequest,
                                      const std::string& aKey);
  transport::Task<transport::HttpResponse> AnswerWatch(
    const transport::HttpRequest& aRequest);
  transport::Task<transport::HttpResponse> AnswerInstances(
    const transport::HttpRequest& aRequest);
  transport::HttpResponse ChangeInstance(
    const transport::HttpRequest& aRequest);
  transport::HttpResponse AnswerWeights();
  transport::HttpResponse SetFaults(const transport::HttpRequest& aRequest);
  transport::HttpResponse Restore(const transport::HttpRequest& aRequest);
  Objects ObjectsAt(std::uint64_t aRevision) const;
  bool Chance(double aShare);

  PlatformFaults mFaults;
  Objects mObjects;
  std::deque<Change> mChanges;
  std::uint64_t mRevision = 0;
  std::uint64_t mRestores = 0; ///< each ends the watches that wait
  std::map<std::string, std::string> mInstances;
  std::uint64_t mInstancesRevision = 1;
  std::map<std::string, std::uint64_t> mCounts;
  double mWeightTokens = 0;
  state::TimePoint mWeightsAt;
  std::mt19937_64 mRandom;
};

/// A second address of the platform, for processes that may be cut off alone.
///
/// While it is cut, calls through it are held up and so are the answers to
/// earlier ones; calls take effect when it is healed, though their callers have
/// long given up.
class FarDoor final : public transport::HttpHandler
{
public:
  /// @param aPlatform  outlives the door
  explicit FarDoor(PlatformStandin& aPlatform)
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
