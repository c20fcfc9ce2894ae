#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "history.h"
#include "shuntjunction/state/claim_machine.h"
#include "shuntjunction/state/request_lifecycle.h"

/// Routers, companions and a platform that run not-repeatable requests, step
/// by step as a schedule says.
namespace shuntjunction::state::history {

/// What may be taken out, to see that the promise then breaks.
struct ClaimMechanisms
{
  bool mClaims = true;         ///< a claim precedes the hand-over
  bool mReadsBack = true;      ///< a lost answer is settled by reading
  bool mChecksNonce = true;    ///< a release deletes only its own record
  bool mRemembersDoubt = true; ///< what may have run is not said to be not run
  bool mChecksDeadline = true; ///< a paused companion looks at the clock
};

/// Runs one schedule.
///
/// Each byte of a schedule is one step: a new request, an offer, a step of a
/// companion with an answer, a lost answer or a late one, a crash, a loss of
/// patience, a delayed write that takes effect.
class ClaimSimulation
{
public:
  explicit ClaimSimulation(const ClaimMechanisms& aMechanisms);
  ~ClaimSimulation();
  ClaimSimulation(const ClaimSimulation&) = delete;
  ClaimSimulation& operator=(const ClaimSimulation&) = delete;

  /// Runs the schedule to its end and tells every caller how it ended.
  History Run(const std::vector<std::uint8_t>& aSchedule);

private:
  struct Stored
  {
    ClaimRecord mRecord;
    std::uint64_t mRevision = 0;
  };
  struct Delayed
  {
    std::string mKey;
    ClaimRecord mRecord;
  };
  struct Request;
  struct Attempt;
  struct Release;

  void Begin(std::uint8_t aChoice);
  void Offer(Request& aRequest);
  void Step(Attempt& aAttempt, std::uint8_t aChoice);
  void StepCreate(Attempt& aAttempt, std::uint8_t aChoice);
  void StepReadBack(Attempt& aAttempt, std::uint8_t aChoice);
  void StepHandOver(Attempt& aAttempt, std::uint8_t aChoice);
  void StepRelease(Release& aRelease);
  void EndAttempt(Attempt& aAttempt);
  void RefuseNotRun(Attempt& aAttempt);
  Result<std::uint64_t> Create(const std::string& aKey,
                               const ClaimRecord& aRecord);
  void Tell(Request& aRequest);

  ClaimMechanisms mMechanisms;
  History mHistory;
  std::map<std::string, Stored> mPlatform;
  std::vector<Delayed> mDelayed;
  std::vector<std::unique_ptr<Request>> mRequests;
  std::vector<std::unique_ptr<Attempt>> mAttempts;
  std::vector<std::unique_ptr<Release>> mReleases;
  std::uint64_t mRevision = 0;
  int mNextNonce = 0;
};

} // namespace shuntjunction::state::history
