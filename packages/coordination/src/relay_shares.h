#pragma once

// Private to coordination: how a relay reserves amounts of limits whose shares
// companions own.

#include <functional>
#include <vector>

#include "shuntjunction/coordination/relay.h"
#include "shuntjunction/state/clock.h"
#include "shuntjunction/state/limit_shares.h"

namespace shuntjunction::coordination {

/// Amount that a relay reserved from a share of a limit.
struct ReservedUsage
{
  state::ShareSource mSource;
  std::uint32_t mAmount = 0;
};

/// An amount that is requested from a limit.
struct UsageRequest
{
  state::LimitHash mHash = 0;
  state::UsageLimit mLimit;   ///< the whole limit
  std::uint64_t mVersion = 0; ///< of the configuration that set the limit
  std::uint32_t mAmount = 0;
};

/// Result of requesting usage from a limit's companions.
struct UsageReservation
{
  /// Shares whose companions answered, or that are known to be empty.
  int mAnswered = 0;
  int mSilent = 0; ///< shares whose companions did not answer
  std::uint32_t mReserved = 0;
  state::Millis mRefill{ 0 }; ///< until one of them has more
  std::vector<ReservedUsage> mShares;
};

/// Reserves amounts from the companions that own a limit's shares.
///
/// Thread safety: none; owned by the traffic thread.
class RelayShares
{
public:
  /// @param aDependencies  outlives this
  explicit RelayShares(const RelayDependencies& aDependencies);

  /// The companions that own shares.
  state::ShareDirectory& Directory() { return mDirectory; }
  const state::ShareDirectory& Directory() const { return mDirectory; }

  /// Asks the limit's companions, one after the other, until enough is
  /// reserved; whatever was granted is in the result.
  ///
  /// @param aIsWanted  asked before each request whether it is still needed
  transport::Task<UsageReservation> Reserve(UsageRequest aRequest,
                                            std::function<bool()> aIsWanted);

  /// Returns what was reserved and not used.
  void Return(const std::vector<ReservedUsage>& aReserved) const;

private:
  const RelayDependencies& mDependencies;
  state::ShareDirectory mDirectory;
};

} // namespace shuntjunction::coordination
