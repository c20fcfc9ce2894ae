#pragma once

#include <algorithm>
#include <cstdint>

/// How many connections a process may hold, by whom they are with.
namespace shuntjunction::state {

/// What a process may open, and what it needs beside callers and endpoints.
struct DescriptorSettings
{
  std::int64_t mTotal = 4096;   ///< that the process may hold
  std::int64_t mReserved = 300; ///< for neither callers nor endpoints
};

/// Divides a process's descriptors among callers, endpoints and peers.
///
/// Peers and the store have theirs reserved. Of the rest callers get at most
/// half, since each may need a connection to an endpoint; endpoints get what
/// callers leave. Without it a burst takes them all, and a caller whose
/// connection can be neither taken nor refused waits in the kernel.
/// Thread safety: none; owned by the traffic thread.
class DescriptorBudget
{
public:
  explicit DescriptorBudget(const DescriptorSettings& aSettings)
    : mSettings(aSettings)
  {
  }

  /// Sets how many peers this process keeps a connection to.
  void SetPeers(std::int64_t aPeers) { mPeers = aPeers; }

  /// Callers that may be connected at once.
  std::int64_t MaxCallers() const { return Shared() / 2; }

  /// Connections to endpoints that may be open beside so many callers.
  std::int64_t MaxEndpointConnections(std::int64_t aCallers) const
  {
    return Shared() - std::min(aCallers, MaxCallers());
  }

private:
  /// What callers and endpoints have together; one each at least.
  std::int64_t Shared() const
  {
    return std::max<std::int64_t>(
      2, mSettings.mTotal - mSettings.mReserved - mPeers);
  }

  DescriptorSettings mSettings;
  std::int64_t mPeers = 0;
};

} // namespace shuntjunction::state
