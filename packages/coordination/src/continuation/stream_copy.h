#pragma once

// Private to coordination: the copy of a run's memory at a second engine.

#include <memory>

#include "relay_endpoint_choice.h"

namespace shuntjunction::coordination {

/// A copy of the memory of a run, which the engine of the run keeps at another
/// engine while it runs. Counts its tokens there for as long as it exists.
///
/// Thread safety: none; owned by the traffic thread.
class StreamCopy
{
public:
  StreamCopy(RelayEndpointPtr aEndpoint,
             std::uint64_t aWeights,
             std::int64_t aTokens);
  ~StreamCopy();
  StreamCopy(const StreamCopy&) = delete;
  StreamCopy& operator=(const StreamCopy&) = delete;

  /// The engine that holds it.
  const RelayEndpointPtr& Endpoint() const { return mEndpoint; }

  /// Version of the weights that the run used.
  std::uint64_t Weights() const { return mWeights; }

  /// Whether the engine may still have it and accepts work.
  bool IsUsable(const Relay::Core& aCore, state::TimePoint aNow) const;

private:
  RelayEndpointPtr mEndpoint;
  state::EndpointIncarnation mIncarnation;
  std::uint64_t mWeights;
  std::int64_t mTokens;
};

/// Chooses the engine that gets the copy of a run; null if it is not copied.
///
/// @param aChoice  the engine of the run
/// @param aKey  hash of the request
/// @pre  the route streams
std::unique_ptr<StreamCopy>
PlaceStreamCopy(Relay::Core& aCore,
                const EndpointQuery& aQuery,
                const EndpointChoice& aChoice,
                bool aIsResumable,
                std::uint64_t aKey);

} // namespace shuntjunction::coordination
