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

/// Simulates routers, companions and a platform that run non-repeatable
/// requests, step by step as a schedule says.
namespace shuntjunction::state::history {

/// Mechanisms that can be disabled, to show that the guarantee then fails.
struct ClaimMechanisms
{
  bool mClaims = true;      ///< a claim precedes the execution
  bool mReadsBack = true;   ///< a lost response is resolved by reading back
  bool mChecksNonce = true; ///< a release deletes only its own record
  bool mTracksUncertainty = true; ///< a possible run is not reported as not run
  bool mChecksDeadline = true;    ///< a paused companion checks the deadline
};

/// Runs one schedule.
///
/// Each pair of bytes of a schedule is one step: a new request, an attempt, a
/// step of a companion whose call is answered, lost or delayed, a crash, a
/// timeout, or a delayed write that takes effect.
class ClaimSimulation
{
public:
  explicit ClaimSimulation(const ClaimMechanisms& aMechanisms);
  ~ClaimSimulation();
  ClaimSimulation(const ClaimSimulation&) = delete;
  ClaimSimulation& operator=(const ClaimSimulation&) = delete;

  /// Runs the whole schedule and reports to every caller how its request ended.
  History Run(const std::vector<std::uint8_t>& aSchedule);

private:
  struct StoredClaim
  {
    ClaimRecord mRecord;
    std::uint64_t mRevision = 0;
  };
  struct DelayedCreate
  {
    std::string mKey;
    ClaimRecord mRecord;
  };
  struct Request;
  struct Attempt;
  struct Release;

  void StartRequest(std::uint8_t aChoice);
  void SendAttempt(Request& aRequest);
  void Step(Attempt& aAttempt, std::uint8_t aChoice);
  void StepCreate(Attempt& aAttempt, std::uint8_t aChoice);
  void StepReadBack(Attempt& aAttempt, std::uint8_t aChoice);
  void StepExecute(Attempt& aAttempt, std::uint8_t aChoice);
  void StepRelease(Release& aRelease);
  void EndAttempt(Attempt& aAttempt);
  void RefuseNotRun(Attempt& aAttempt);
  Result<std::uint64_t> Create(const std::string& aKey,
                               const ClaimRecord& aRecord);
  void ReportOutcome(Request& aRequest);

  ClaimMechanisms mMechanisms;
  History mHistory;
  std::map<std::string, StoredClaim> mPlatform;
  std::vector<DelayedCreate> mDelayedCreates;
  std::vector<std::unique_ptr<Request>> mRequests;
  std::vector<std::unique_ptr<Attempt>> mAttempts;
  std::vector<std::unique_ptr<Release>> mReleases;
  std::uint64_t mRevision = 0;
  int mNextNonce = 0;
};

} // namespace shuntjunction::state::history
