#pragma once

#include <memory>
#include <vector>

#include "shuntjunction/state/enum_names.h"
#include "shuntjunction/state/window_budget.h"

/// Repeats of requests that may still be on their way to an endpoint.
namespace shuntjunction::state {

/// Who granted a repeat.
enum class RetryGrant : std::uint8_t
{
  kRatio, ///< the budget of the relay's own first requests
  kPool,  ///< the pool of the service's slack
};

/// Names of RetryGrant.
inline constexpr EnumNames<RetryGrant, 2> kRetryGrantNames{ { "ratio",
                                                              "pool" } };

/// A repeat that counts against a budget until all sends of its request have
/// arrived or never will.
///
/// Held by the sends whose arrival is not known; settled with the last of them.
/// Thread safety: none; used on the thread of its budget.
class RetryCharge
{
public:
  /// @param aBudget     has this repeat open if it granted it
  /// @param aGrantedAt  when the repeat was granted
  /// @param aClock      outlives this
  RetryCharge(std::shared_ptr<WindowBudget> aBudget,
              RetryGrant aGrant,
              TimePoint aGrantedAt,
              const Clock& aClock);
  ~RetryCharge();
  RetryCharge(const RetryCharge&) = delete;
  RetryCharge& operator=(const RetryCharge&) = delete;

  /// Who granted the repeat.
  RetryGrant Grant() const { return mGrant; }

  /// When the repeat was granted.
  TimePoint GrantedAt() const { return mGrantedAt; }

private:
  std::shared_ptr<WindowBudget> mBudget;
  RetryGrant mGrant;
  TimePoint mGrantedAt;
  const Clock& mClock;
};

using RetryChargePtr = std::shared_ptr<RetryCharge>;

/// Charges of sends to one endpoint whose arrival is not known, because it has
/// sent nothing since.
///
/// Thread safety: none.
class UnsettledCharges
{
public:
  /// Adds a charge of a send that ended without an answer.
  void Add(RetryChargePtr aCharge, TimePoint aNow);

  /// Settles all, since the endpoint responds again, or is gone.
  void Clear() { mCharges.clear(); }

  /// Settles those that were added long ago: nothing shows any more whether the
  /// endpoint receives them.
  void Expire(TimePoint aNow);

  /// Whether there are none.
  bool IsEmpty() const { return mCharges.empty(); }

private:
  struct Entry
  {
    RetryChargePtr mCharge;
    TimePoint mAddedAt;
  };

  std::vector<Entry> mCharges; ///< the oldest first
};

} // namespace shuntjunction::state
