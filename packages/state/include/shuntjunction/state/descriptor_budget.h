#pragma once

#include <algorithm>
#include <cstdint>

/// Limits on a process's open connections, by kind of peer.
namespace shuntjunction::state {

/// Number of descriptors of a process, and how many are reserved for other uses
/// than callers and endpoints.
struct DescriptorSettings
{
  std::int64_t mTotal = 4096;   ///< file descriptors the process may open
  std::int64_t mReserved = 300; ///< for uses other than callers and endpoints
};

/// Divides a process's file descriptors among callers, endpoints and peers.
///
/// Descriptors for peers and the store are reserved. Callers get at most half
/// of the rest, since each may need a connection to an endpoint; endpoints get
/// what the callers leave. Without these limits a burst of callers would use up
/// all descriptors, and a connection that can be neither accepted nor refused
/// would wait in the kernel.
/// Thread safety: none; owned by the traffic thread.
class DescriptorBudget
{
public:
  explicit DescriptorBudget(const DescriptorSettings& aSettings)
    : mSettings(aSettings)
  {
  }

  /// Sets the number of peers that this process is connected to.
  void SetPeers(std::int64_t aPeers) { mPeers = aPeers; }

  /// Maximum number of connected callers.
  std::int64_t MaxCallers() const { return Shared() / 2; }

  /// Maximum number of endpoint connections while aCallers callers are
  /// connected.
  std::int64_t MaxEndpointConnections(std::int64_t aCallers) const
  {
    return Shared() - std::min(aCallers, MaxCallers());
  }

private:
  /// Descriptors shared by callers and endpoints; at least one for each.
  std::int64_t Shared() const
  {
    return std::max<std::int64_t>(
      2, mSettings.mTotal - mSettings.mReserved - mPeers);
  }

  DescriptorSettings mSettings;
  std::int64_t mPeers = 0;
};

} // namespace shuntjunction::state
