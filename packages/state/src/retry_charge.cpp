#include "shuntjunction/state/retry_charge.h"

#include <algorithm>

#include "shuntjunction/state/retry_pool.h"

namespace shuntjunction::state {

namespace {

/// Longest time for which a charge waits for its endpoint to respond.
constexpr Millis kMaxUnsettledTime{ 20000 };

} // namespace

RetryCharge::RetryCharge(std::shared_ptr<WindowBudget> aBudget,
                         RetryGrant aGrant,
                         TimePoint aGrantedAt,
                         const Clock& aClock)
  : mBudget(std::move(aBudget))
  , mGrant(aGrant)
  , mGrantedAt(aGrantedAt)
  , mClock(aClock)
{
}

RetryCharge::~RetryCharge()
{
  const auto now = mClock.Now();
  if (mGrant == RetryGrant::kRatio) {
    mBudget->Settle(now);
  } else if (now - mGrantedAt > kLatestPooledArrival) {
    // The pool has granted others in its place by now.
    mBudget->NoteRepeat(now);
  }
}

void
UnsettledCharges::Add(RetryChargePtr aCharge, TimePoint aNow)
{
  mCharges.push_back({ std::move(aCharge), aNow });
}

void
UnsettledCharges::Expire(TimePoint aNow)
{
  const auto isOld = [&](const Entry& aEntry) {
    return aNow - aEntry.mAddedAt >= kMaxUnsettledTime;
  };
  mCharges.erase(mCharges.begin(),
                 std::find_if_not(mCharges.begin(), mCharges.end(), isOld));
}

} // namespace shuntjunction::state
